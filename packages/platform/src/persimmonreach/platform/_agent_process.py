"""Process of an agent on the platform."""

from collections.abc import Mapping
from contextlib import ExitStack

from persimmonreach.forwarding import AgentPolicy
from persimmonreach.forwarding.tasks import BackendLink, CallerLink
from persimmonreach.platform._endpoints import ReportEndpoint
from persimmonreach.platform._links import PlatformBackendLink, PlatformCallerLink
from persimmonreach.platform._reload import reload_settings
from persimmonreach.platform._settings import AgentProcessSettings, read_agent_settings
from persimmonreach.platform.packets import PlatformPackets
from persimmonreach.platform.store import PlatformStore
from persimmonreach.process import BaseAgentProcess
from persimmonreach.runtime import MessageCodec, PlainCodec, UdpSocket
from persimmonreach.store import Store


class AgentProcess(BaseAgentProcess):
    """Agent that uses the packet format, reports and store of the platform.

    Parameters
    ----------
    settings
        Validated settings.
    path
        Path of the settings file.

    """

    def __init__(self, settings: AgentProcessSettings, path: str) -> None:
        super().__init__(
            settings.common_settings,
            PlatformPackets(),
            AgentPolicy(shares_clock_with_backend=True),
        )
        self._settings = settings
        self._path = path

    def _make_backend_link(self) -> BackendLink:
        datagram_socket = UdpSocket(self._settings.backend_bind)
        return PlatformBackendLink(datagram_socket, self._settings.backend)

    def _make_caller_link(self) -> CallerLink:
        bind = self._common_settings.registration.endpoint._replace(port=0)
        return PlatformCallerLink(UdpSocket(bind), self._settings.caller_port)

    def _start_backend_reports(self, stack: ExitStack) -> None:
        report_endpoint = ReportEndpoint(
            self._settings.report_bind,
            self._common_settings.registration.service,
            self._forwarding_task.submit_report,
            self._dispatch,
        )
        report_endpoint.start()
        stack.callback(report_endpoint.stop)

    def _make_store(self, stack: ExitStack) -> Store:
        store = PlatformStore(self._settings.store)
        stack.callback(store.close)
        return store

    def _make_codec(self, message_types: Mapping[int, type]) -> MessageCodec:
        return PlainCodec(message_types)

    def _reload(self) -> str:
        outcome, settings = reload_settings(
            read_agent_settings,
            self._path,
            self._settings,
        )
        self._settings = settings
        return outcome


def run(path: str) -> None:
    """Run an agent until SIGTERM or SIGINT.

    Parameters
    ----------
    path
        Path of the settings file.

    Raises
    ------
    FindingsError
        With all findings, if the settings are unreadable or invalid.
    OSError
        If an address of the settings cannot be bound.

    """
    AgentProcess(read_agent_settings(path), path).run()
