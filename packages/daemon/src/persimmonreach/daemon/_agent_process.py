"""Composition root of an agent."""

from collections.abc import Mapping
from contextlib import ExitStack

from persimmonreach.core import AgentId, Endpoint, ServiceName, Zone
from persimmonreach.daemon._links import BackendServerLink, GatewayLink
from persimmonreach.daemon._monitor import BackendHttpClient, BackendMonitorTask
from persimmonreach.daemon._settings import AgentSettings, shared_keys
from persimmonreach.daemon._wire import make_codec
from persimmonreach.discovery import RegisteredAgent
from persimmonreach.forwarding import AgentPolicy
from persimmonreach.forwarding.tasks import BackendLink, CallerLink
from persimmonreach.observability import AGENT_METRICS, list_counter_names
from persimmonreach.packets.ipv4 import Ipv4Packets
from persimmonreach.process import BaseAgentProcess, CommonAgentSettings
from persimmonreach.runtime import MessageCodec, UdpSocket


class AgentProcess(BaseAgentProcess):
    """Agent that forwards IP packets and polls its backend server over HTTP.

    Parameters
    ----------
    settings
        Validated settings.

    """

    def __init__(self, settings: AgentSettings) -> None:
        common_settings = CommonAgentSettings(
            RegisteredAgent(
                AgentId(settings.instance),
                ServiceName(settings.service),
                Zone(settings.zone),
                Endpoint(settings.host, settings.peer_port),
            ),
            settings.seeds,
            Endpoint(settings.host, settings.http_port),
            settings.shutdown_s,
        )
        policy = AgentPolicy(ends_flows_on_zone_out=True, probing=settings.probing)
        initial_counters = list_counter_names(AGENT_METRICS)
        super().__init__(common_settings, Ipv4Packets(), policy, initial_counters)
        self._settings = settings

    @property
    def _backend_http_endpoint(self) -> Endpoint:
        return Endpoint(self._settings.backend.host, self._settings.backend.http_port)

    def _make_backend_link(self) -> BackendLink:
        backend = self._settings.backend
        packet_endpoint = Endpoint(backend.host, backend.port)
        return BackendServerLink(
            self._open_ephemeral_socket(), packet_endpoint, self._backend_http_endpoint
        )

    def _make_caller_link(self) -> CallerLink:
        return GatewayLink(self._open_ephemeral_socket(), self._settings.fabric)

    def _make_store(self, stack: ExitStack) -> None:
        """Return None: an agent announces itself to its seeds, not through the store."""

    def _start_backend_reports(self, stack: ExitStack) -> None:
        http_client = BackendHttpClient(self._backend_http_endpoint)
        monitor = BackendMonitorTask(
            http_client, self._forwarding_task.post, self._dispatch
        )
        stack.enter_context(monitor)

    def _make_codec(self, message_types: Mapping[int, type]) -> MessageCodec:
        keys = shared_keys(self._settings)
        return make_codec(keys, self._settings.message_window_s)

    def _open_ephemeral_socket(self) -> UdpSocket:
        return UdpSocket(Endpoint(self._settings.host, 0))
