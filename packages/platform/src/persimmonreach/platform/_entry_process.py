"""Process of an entry instance on the platform."""

from collections.abc import Mapping
from contextlib import ExitStack

from persimmonreach.forwarding.tasks import CallerLink
from persimmonreach.platform._bodies import PlatformRules
from persimmonreach.platform._links import PlatformCallerLink
from persimmonreach.platform._reload import reload_settings
from persimmonreach.platform._settings import EntryProcessSettings, read_entry_settings
from persimmonreach.platform.packets import PlatformPackets
from persimmonreach.platform.store import PlatformStore
from persimmonreach.process import BaseEntryProcess
from persimmonreach.rules import RulesSource
from persimmonreach.runtime import MessageCodec, PlainCodec, UdpSocket
from persimmonreach.store import Store


class EntryProcess(BaseEntryProcess):
    """Entry instance that uses the packet format and store of the platform.

    Parameters
    ----------
    settings
        Validated settings.
    path
        Path of the settings file.

    """

    def __init__(self, settings: EntryProcessSettings, path: str) -> None:
        super().__init__(settings.common_settings, PlatformPackets())
        self._settings = settings
        self._path = path

    def _make_caller_link(self) -> CallerLink:
        bind = self._settings.caller_bind
        return PlatformCallerLink(UdpSocket(bind), bind.port)

    def _make_store(self, stack: ExitStack) -> Store:
        store = PlatformStore(self._settings.store)
        stack.callback(store.close)
        return store

    def _make_rules_source(self) -> RulesSource:
        return PlatformRules()

    def _make_codec(self, message_types: Mapping[int, type]) -> MessageCodec:
        return PlainCodec(message_types)

    def _reload(self) -> str:
        outcome, settings = reload_settings(
            read_entry_settings,
            self._path,
            self._settings,
        )
        self._settings = settings
        return outcome


def run(path: str) -> None:
    """Run an entry instance until SIGTERM or SIGINT.

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
    EntryProcess(read_entry_settings(path), path).run()
