"""State machine of an entry instance."""

from collections.abc import Iterable
from math import inf
from random import Random
from typing import Any, Final, NamedTuple

from persimmonreach.core import (
    Action,
    Count,
    Endpoint,
    Event,
    FlowKey,
    Incarnation,
    Received,
    StateMachine,
    Tick,
)
from persimmonreach.discovery import (
    AgentRecord,
    AgentsDiscovered,
    AgentStatus,
    AgentTable,
    EntriesDiscovered,
    EntryPeers,
    EntryStatus,
    PeerMembership,
    PeersChanged,
    PeerStatus,
    RefreshRegistrations,
    RegisteredEntry,
    RulesRefreshed,
)
from persimmonreach.forwarding._caller_path import CallerPath, RouteExplanation
from persimmonreach.forwarding._events import CallerPacketArrived, StopRequested
from persimmonreach.load import AgentLoad
from persimmonreach.lookup import EntriesChanged, PacketReturned
from persimmonreach.lookup.messages import MESSAGE_TYPES as LOOKUP_TYPES
from persimmonreach.packets import PacketFormat
from persimmonreach.placement import FlowAccepted, FlowRefused
from persimmonreach.queueing import FlowDeferred, FlowQueued
from persimmonreach.rules import RulesChanged, TrafficRules

_TICK_INTERVAL_S: Final = 0.1
# Each entry instance reads the registrations at an interval while an agent is
# unresponsive. The interval grows with the number of entry instances, so that all of
# them together read at most ten times a second.
MIN_REFRESH_INTERVAL_S: Final = 1.2
REFRESH_INTERVAL_PER_ENTRY_S: Final = 0.1
# Every codec encodes integers of this size without loss.
_INCARNATION_BITS: Final = 53
_SEARCH_MESSAGES: Final = tuple(LOOKUP_TYPES.values())


class EntryIdentity(NamedTuple):
    """Registration of an entry instance, and its seed addresses.

    Attributes
    ----------
    registration
        Id, availability zone and address of this entry instance.
    seeds
        Addresses of entry instances that receive the status of this one while no
        peer is known.

    """

    registration: RegisteredEntry
    seeds: tuple[Endpoint, ...] = ()


class EntryForwarder(StateMachine):
    """State machine that routes the packets of callers to agents.

    Events: ``CallerPacketArrived``, ``RulesChanged``, ``AgentsDiscovered``,
    ``EntriesDiscovered``, ``Received``, ``StopRequested``, ``Tick``. Actions:
    ``Send``, ``SendToCaller``, ``Count``, ``LogDecision``, ``LogStateChange``,
    ``RulesOutdated``, ``WatchAssigned``, ``PeersChanged``, ``RefreshRegistrations``.

    Parameters
    ----------
    identity
        Identity of this entry instance.
    packet_format
        Codec of the packets of the front end.
    random
        Source of the incarnation number and of the selection of peers.

    """

    def __init__(
        self,
        identity: EntryIdentity,
        packet_format: PacketFormat,
        random: Random,
    ) -> None:
        registration = identity.registration
        self._status = EntryStatus(
            registration.entry,
            registration.zone,
            incarnation=Incarnation(random.getrandbits(_INCARNATION_BITS)),
        )
        self._agent_table = AgentTable(self._status)
        self._peers = EntryPeers(registration, self._agent_table, identity.seeds, random)
        self._path = CallerPath(packet_format, self._agent_table, registration.entry)
        self._path.on_search_event(EntriesChanged(self._peers.entries), 0)
        self._next_tick_at: float = 0
        self._refresh_due_at: float = 0
        self._last_packet_at = -inf

    @property
    def is_ready(self) -> bool:
        """Whether callers' packets can be routed."""
        is_configured = self._path.is_loaded and self._agent_table.is_loaded
        return is_configured and not self._status.leaving

    @property
    def rules(self) -> TrafficRules:
        """Rules in force."""
        return self._path.rules

    @property
    def agents(self) -> Iterable[AgentRecord]:
        """Known agents."""
        return self._agent_table.records

    @property
    def entries(self) -> tuple[RegisteredEntry, ...]:
        """All known entry instances, including this one, sorted by id."""
        return self._peers.entries

    @property
    def last_packet_at(self) -> float:
        """Time of the latest packet of a caller, in seconds."""
        return self._last_packet_at

    @property
    def wake_at(self) -> float:
        """Time at which the next ``Tick`` is due."""
        return min(self._path.wake_at, self._next_tick_at)

    @property
    def gauges(self) -> dict[str, float]:
        """Current values of the gauges, by metric name."""
        rules = self._path.rules
        return {
            'flows_known': self._path.flows_known,
            'flows_published': self._path.flows_published,
            'agents_known': len(self._agent_table),
            'agents_in_load_table': len(self._path.load_table),
            'configuration_version': rules.version,
            'agents_ejected': self._path.outliers.ejected_count,
            'zones_out_of_service': len(rules.zones_out),
            'watches_closely': int(self._peers.is_watcher),
            'ready': int(self.is_ready),
        }

    def explain(self, key: FlowKey, now: float) -> RouteExplanation:
        """Return the routing decision for a flow."""
        return self._path.explain(key, now)

    def handle(self, event: Event, now: float) -> tuple[Action, ...]:
        """Return the actions that ``event`` causes."""
        match event:
            case CallerPacketArrived(packet):
                self._last_packet_at = now
                return self._path.on_packet(packet, now)
            case Received(_, message):
                return self._on_message(event, message, now)
            case Tick():
                return self._on_tick(event, now)
            case _:
                return self._on_control_event(event, now)

    def _on_control_event(self, event: Event, now: float) -> tuple[Action, ...]:
        match event:
            case RulesChanged():
                return self._on_rules_changed(event, now)
            case AgentsDiscovered():
                self._refresh_due_at = now + MIN_REFRESH_INTERVAL_S
                return self._agent_table.handle(event, now)
            case EntriesDiscovered():
                return self._on_peer_event(event, now)
            case StopRequested():
                self._status = self._status._replace(leaving=True)
                return self._agent_table.announce(self._status)
            case _:
                return (Count('entry_unknown_events'),)

    def _on_message(
        self,
        event: Received,
        message: Any,
        now: float,
    ) -> tuple[Action, ...]:
        match message:
            case AgentStatus() | AgentLoad():
                return self._on_agent_report(event, message, now)
            case FlowAccepted() | FlowQueued() | FlowDeferred():
                return self._path.on_placement_event(event, now)
            case FlowRefused(key, agent):
                self._path.on_flow_refused(key, agent)
                return self._path.on_placement_event(event, now)
            case PacketReturned():
                return self._path.on_packet_returned(message, now)
            case PeerStatus() | PeerMembership():
                return self._on_peer_event(event, now)
            case _ if isinstance(message, _SEARCH_MESSAGES):
                return self._path.on_search_event(event, now)
            case _:
                return (Count('messages_unexpected'),)

    def _on_agent_report(
        self, event: Received, message: AgentStatus | AgentLoad, now: float
    ) -> tuple[Action, ...]:
        if isinstance(message, AgentLoad):
            return self._path.on_agent_load(message, now)
        actions = self._agent_table.handle(event, now)
        self._path.outliers.on_report(message, now)
        return actions

    def _on_peer_event(self, event: Event, now: float) -> tuple[Action, ...]:
        external: list[Action] = []
        for action in self._peers.handle(event, now):
            if isinstance(action, AgentsDiscovered):
                external.extend(self._agent_table.handle(action, now))
            else:
                if isinstance(action, PeersChanged):
                    entries_changed = EntriesChanged(self._peers.entries)
                    self._path.on_search_event(entries_changed, now)
                external.append(action)
        return tuple(external)

    def _on_rules_changed(self, event: RulesChanged, now: float) -> tuple[Action, ...]:
        rules = event.rules
        self._path.load(rules, now)
        self._status = self._status._replace(
            version=rules.version,
            zones_out=tuple(sorted(rules.zones_out)),
        )
        rules_refreshed = RulesRefreshed(
            event.revision, rules.version, self._status.zones_out
        )
        return (
            *self._peers.handle(rules_refreshed, now),
            *self._agent_table.announce(self._status),
        )

    def _on_tick(self, event: Tick, now: float) -> tuple[Action, ...]:
        actions = (
            *self._path.on_placement_event(event, now),
            *self._path.on_search_event(event, now),
        )
        if now < self._next_tick_at:
            return actions
        self._next_tick_at = now + _TICK_INTERVAL_S
        self._path.evict(now)
        return (
            *actions,
            *self._agent_table.handle(event, now),
            *self._path.outliers.tick(now),
            *self._on_peer_event(event, now),
            *self._refresh_registrations(now),
        )

    def _refresh_registrations(self, now: float) -> tuple[Action, ...]:
        """Refresh the registrations at intervals while an agent is unresponsive."""
        if now < self._refresh_due_at or not self._agent_table.has_unresponsive_holder(
            now
        ):
            return ()
        interval_s = len(self._peers.entries) * REFRESH_INTERVAL_PER_ENTRY_S
        self._refresh_due_at = now + max(MIN_REFRESH_INTERVAL_S, interval_s)
        return (RefreshRegistrations(),)
