"""Composition root of an entry instance."""

import time
from collections.abc import Mapping
from contextlib import ExitStack
from typing import Any, Final

import gevent

from persimmonreach.configuration import (
    HeadRulesSource,
    Publisher,
    PublisherSettings,
    TimeSource,
)
from persimmonreach.control.adapters import ControlServer
from persimmonreach.core import Action, Endpoint, EntryId, Zone
from persimmonreach.daemon._entry_status import (
    EntryComponents,
    EntryOperatorService,
    EntryStatusReporter,
)
from persimmonreach.daemon._links import FabricLink
from persimmonreach.daemon._settings import EntrySettings, shared_keys
from persimmonreach.daemon._wire import make_codec
from persimmonreach.discovery import PeersChanged, RegisteredEntry
from persimmonreach.forwarding.tasks import CallerLink
from persimmonreach.observability import ENTRY_METRICS, list_counter_names
from persimmonreach.packets.ipv4 import Ipv4Packets
from persimmonreach.platform.store import PlatformStore
from persimmonreach.process import BaseEntryProcess, CommonEntrySettings
from persimmonreach.rules import RulesChanged, RulesSource, WatchAssigned
from persimmonreach.rules.tasks import RulesWatchTask
from persimmonreach.runtime import MessageCodec, PeerTask, UdpSocket
from persimmonreach.store import Store
from persimmonreach.zones import OverrideTable
from persimmonreach.zones.messages import MESSAGE_TYPES as ZONES_TYPES
from persimmonreach.zones.tasks import OverridesTask

# Must exceed the time until the fabric detects that the instance is not ready.
_MAX_SHUTDOWN_S: Final = 5.0
_MS_PER_S: Final = 1000


class EntryProcess(BaseEntryProcess):
    """Entry instance with IP forwarding, zone overrides and operators' calls.

    Parameters
    ----------
    settings
        Validated settings.

    """

    def __init__(self, settings: EntrySettings) -> None:
        common_settings = CommonEntrySettings(
            RegisteredEntry(
                EntryId(settings.instance),
                Zone(settings.zone),
                Endpoint(settings.host, settings.peer_port),
            ),
            settings.seeds,
            Endpoint(settings.host, settings.http_port),
            _MAX_SHUTDOWN_S,
        )
        super().__init__(
            common_settings, Ipv4Packets(), list_counter_names(ENTRY_METRICS)
        )
        self._settings = settings
        self._override_table = OverrideTable(self._random)
        self._overrides_task: Any = None
        self._fabric_link: Any = None

    def _make_caller_link(self) -> CallerLink:
        fabric_endpoint = Endpoint(self._settings.host, self._settings.fabric_port)
        self._fabric_link = FabricLink(UdpSocket(fabric_endpoint), None)
        return self._fabric_link

    def _make_store(self, stack: ExitStack) -> Store:
        store = PlatformStore(self._settings.store)
        stack.callback(store.close)
        return store

    def _make_rules_source(self) -> RulesSource:
        return HeadRulesSource()

    def _make_codec(self, message_types: Mapping[int, type]) -> MessageCodec:
        keys = shared_keys(self._settings)
        return make_codec(keys, self._settings.message_window_s)

    def _dispatch_rules_action(self, action: Action) -> None:
        """Pass rules from the store to the overrides task, which puts them in force."""
        if isinstance(action, RulesChanged):
            self._overrides_task.post(action)
        else:
            self._dispatch(action)

    def _set_receivers(self, rules_task: RulesWatchTask) -> None:
        super()._set_receivers(rules_task)
        self._dispatcher.set_receivers(
            {WatchAssigned: (rules_task, self._overrides_task)}
        )
        self._dispatcher.set_receivers({PeersChanged: (self._overrides_task,)})

    def _start_additional_tasks(self, stack: ExitStack, peer_task: PeerTask) -> None:
        publisher = Publisher(
            PublisherSettings(self._settings.instance),
            self._make_store(stack),
            TimeSource(self._clock, _wall_clock_ms, gevent.sleep),
            self._random,
        )
        self._overrides_task = OverridesTask(
            self._override_table,
            self._clock,
            peer_task,
            self._dispatch,
            publisher,
        )
        peer_task.add_routes(dict.fromkeys(ZONES_TYPES.values(), self._overrides_task))
        stack.enter_context(self._overrides_task)

    def _start_servers(self, stack: ExitStack, peer_task: PeerTask) -> None:
        components = EntryComponents(
            self._settings,
            self._clock,
            self._forwarder,
            self._rules,
            self._override_table,
        )
        reporter = EntryStatusReporter(components)
        http_server = self._start_http(
            stack,
            self._common_settings.http_endpoint,
            reporter,
            (peer_task, self._forwarding_task),
        )
        control_server = ControlServer(
            EntryOperatorService(components, reporter, self._overrides_task),
            Endpoint(self._settings.host, self._settings.control_port),
        )
        control_server.start()
        stack.callback(control_server.stop)
        self._logger.info(
            'listening',
            fabric=self._fabric_link.endpoint.port,
            peer=peer_task.endpoint.port,
            http=http_server.endpoint.port,
            control=control_server.endpoint.port,
        )


def _wall_clock_ms() -> int:
    return int(time.time() * _MS_PER_S)
