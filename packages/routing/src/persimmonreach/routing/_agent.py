"""Packet path and state of an agent: joins the slices' state machines."""

from collections.abc import Mapping
from types import MappingProxyType
from typing import Final

from persimmonreach.admission import (
    BackendReported,
    BackendState,
    FlowsAdopted,
    LimitSettings,
    PlaceFlow,
)
from persimmonreach.configuration import Configuration, ConfigurationChanged
from persimmonreach.core import Action, Count, Event, Pauses, Received, StateMachine, Tick
from persimmonreach.flows import AdoptFlows, EndAllFlows, EndReason
from persimmonreach.membership import (
    LeaseLapsed,
    LeaseRenewed,
    MemberState,
    ReportLoad,
    StateAnnounced,
    ViewChanged,
    ViewConfirmed,
)
from persimmonreach.ownership import LocalFlowsAdopted, PacketArrived
from persimmonreach.packets import ForwardedPacket, PacketError
from persimmonreach.packets.builder import is_flow_key
from persimmonreach.requests import BackendLost, DrainStarted, StopRequested
from persimmonreach.routing._agent_events import (
    BackendPacketArrived,
    BackendServerLost,
    ConnectionsRead,
    DrainRequested,
)
from persimmonreach.routing._packet_path import PacketPath
from persimmonreach.routing._parts import AgentParts, report_flows
from persimmonreach.routing._translation import ActionTranslator

# Ticks come ten times a second; a longer gap is a pause of the process.
_PAUSE_LIMIT_S: Final = 2
# Time in which a process that wakes reads what has waited in its sockets.
_PAUSE_DRAIN_S: Final = 0.5


class AgentRouter(StateMachine):
    """Decides on every packet, message and change that reaches an agent.

    Actions that one slice addresses to another are handled here; only actions
    for the outside (``Send``, ``Deliver``, ``Reply``, ``Count``,
    ``StateChange``, ``StateAnnounced``, ``FlowsCounted``) are returned.

    Parameters
    ----------
    parts
        State machines and settings of the agent.
    wire_routes
        State machine of the slice that receives each wire message type.

    """

    def __init__(
        self,
        parts: AgentParts,
        wire_routes: Mapping[type, StateMachine],
    ) -> None:
        self._parts = parts
        self._path = PacketPath(
            parts.codecs,
            parts.flows,
            parts.requests,
            parts.own_key,
        )
        self._routes = dict(wire_routes)
        self._pauses = Pauses(_PAUSE_LIMIT_S, _PAUSE_DRAIN_S)
        self._is_zone_in_service = True
        self._handlers = MappingProxyType(
            {
                Received: self._on_received,
                BackendPacketArrived: self._on_backend_packet,
                ConnectionsRead: self._on_connections,
                BackendReported: self._on_report,
                BackendServerLost: self._on_backend_lost,
                DrainRequested: self._on_drain,
                StopRequested: self._on_stop,
                ConfigurationChanged: self._on_configuration,
                ViewChanged: self._broadcast,
                ViewConfirmed: self._on_confirmed,
                LeaseRenewed: self._on_lease,
                LeaseLapsed: self._on_lease,
                ReportLoad: self._on_report_load,
                Tick: self._on_tick,
            },
        )
        self._translator = ActionTranslator(parts, self._path)

    @property
    def is_draining(self) -> bool:
        """Whether the agent takes no new work."""
        return self._parts.state.is_draining

    @property
    def has_requests(self) -> bool:
        """Whether requests wait or run."""
        return self._parts.requests.has_work

    @property
    def is_sealed(self) -> bool:
        """Whether nothing runs any more and another agent keeps the records."""
        return self._parts.requests.is_sealed

    @property
    def owned_buckets(self) -> int:
        """Number of buckets whose token this agent holds."""
        return len(self._parts.ownership.owned)

    @property
    def gauges(self) -> dict[str, float]:
        """Present values to publish, by name."""
        limit = self._parts.limit
        return {
            'zone_in_service': int(self._is_zone_in_service),
            'draining': int(self.is_draining),
            'flows': self.flow_count,
            'flow_limit': limit.flow_limit(self._parts.state.service.connections),
            'requests_running': limit.in_use,
            'request_limit': limit.limit,
            'buckets_owned': self.owned_buckets,
        }

    @property
    def flow_count(self) -> int:
        """Number of local flows."""
        return len(self._parts.flows)

    def is_settled(self, now: float) -> bool:
        """Return whether the agent may admit in all buckets meant for it."""
        return self._parts.ownership.is_settled(now)

    def handle(self, event: Event, now: float) -> tuple[Action, ...]:
        """Return the actions for the outside that ``event`` causes."""
        self._pauses.note(now)
        actions = self._handlers[type(event)](event, now)
        return self._translator.translate(actions, now)

    def _on_received(self, event: Received, now: float) -> tuple[Action, ...]:
        message = event.message
        if isinstance(message, ForwardedPacket):
            return self._on_forwarded(message, now)
        if isinstance(message, PlaceFlow) and not self._accepts(message, now):
            return (Count('placements_of_former_owner'),)
        machine = self._routes.get(type(message))
        if machine is None:
            return (Count('messages_unexpected'),)
        return machine.handle(event, now)

    def _accepts(self, message: PlaceFlow, now: float) -> bool:
        """Return whether the sender may still own the bucket of the flow.

        Nothing is answered before the open flows are known: the flow may be
        one of them.
        """
        if not self._parts.state.is_adopted:
            return False
        if self._parts.flows.holds(message.key):
            return True
        owner = (message.agent, message.incarnation)
        return self._parts.ownership.accepts_placement(message.key, owner, now)

    def _on_forwarded(
        self,
        message: ForwardedPacket,
        now: float,
    ) -> tuple[Action, ...]:
        if self._pauses.may_be_stale(now):
            # What waited in the socket may be older than a zone change.
            return (Count('packets_stale'),)
        if message.service != self._parts.state.service.service:
            return (Count('packets_wrong_service'),)
        try:
            header = self._parts.codecs.headers.read_inbound(message.packet)
        except PacketError:
            return (Count('packets_malformed'),)
        if self._parts.flows.holds(header.key):
            return self._path.from_caller(header, message.packet, now)
        arrived = PacketArrived(header, message.packet, message.hops)
        owned = self._parts.ownership.handle(arrived, now)
        if self._is_zone_in_service:
            return owned
        return (Count('packets_zone_out'), *owned)

    def _on_backend_packet(
        self,
        event: BackendPacketArrived,
        now: float,
    ) -> tuple[Action, ...]:
        return self._path.from_backend(event.packet, now)

    def _on_connections(
        self,
        event: ConnectionsRead,
        now: float,
    ) -> tuple[Action, ...]:
        # Only flows that packets can be built for; another key would make
        # each later probe or reset of the flow fail.
        readable = tuple(key for key in event.keys if is_flow_key(key))
        keys = tuple(
            key
            for key in readable
            if key != self._parts.own_key and not self._parts.flows.holds(key)
        )
        self._parts.state.is_adopted = True
        adopted = FlowsAdopted(keys)
        return (
            Count('connections_unreadable', len(event.keys) - len(readable)),
            *self._parts.flows.handle(AdoptFlows(keys), now),
            *self._parts.placement.handle(adopted, now),
            *self._parts.requests.handle(adopted, now),
            *self._parts.ownership.handle(LocalFlowsAdopted(keys), now),
        )

    def _on_report(self, event: BackendReported, now: float) -> tuple[Action, ...]:
        actions = self._parts.requests.handle(event, now)
        if event.state is BackendState.DRAINING:
            return actions + self._on_drain(event, now)
        return actions

    def _on_backend_lost(
        self,
        event: BackendServerLost,
        now: float,
    ) -> tuple[Action, ...]:
        lost = self._parts.requests.handle(BackendLost(), now)
        ended = self._parts.flows.handle(EndAllFlows(EndReason.BACKEND_DOWN), now)
        return lost + ended + self._on_drain(event, now)

    def _on_stop(self, event: Event, now: float) -> tuple[Action, ...]:
        return self._parts.requests.handle(event, now)

    def _on_drain(self, event: Event, now: float) -> tuple[Action, ...]:
        if not self._parts.state.start_draining(now):
            return ()
        started = self._parts.requests.handle(DrainStarted(), now)
        return (
            StateAnnounced(MemberState.DRAINING),
            *started,
            *report_flows(self._parts, now),
        )

    def _on_configuration(
        self,
        event: ConfigurationChanged,
        now: float,
    ) -> tuple[Action, ...]:
        self._apply_service(event.configuration)
        actions = self._broadcast(event, now)
        zones_out = event.configuration.zones_out
        self._is_zone_in_service = self._parts.zone not in zones_out
        if not self._is_zone_in_service:
            ended = self._parts.flows.handle(EndAllFlows(EndReason.ZONE_OUT), now)
            return actions + ended
        return actions

    def _apply_service(self, configuration: Configuration) -> None:
        for service in configuration.services:
            if service.service == self._parts.state.service.service:
                self._parts.state.configure(service)
                limits = LimitSettings(service.slots, service.slow_start_floor)
                self._parts.limit.configure(limits)

    def _on_confirmed(self, event: ViewConfirmed, now: float) -> tuple[Action, ...]:
        owned = self._parts.ownership.handle(event, now)
        return owned + self._parts.requests.handle(event, now)

    def _on_lease(self, event: Event, now: float) -> tuple[Action, ...]:
        owned = self._parts.ownership.handle(event, now)
        return owned + self._parts.placement.handle(event, now)

    def _on_report_load(self, event: ReportLoad, now: float) -> tuple[Action, ...]:
        return self._parts.placement.handle(event, now)

    def _on_tick(self, event: Tick, now: float) -> tuple[Action, ...]:
        actions = self._broadcast(event, now)
        if self._parts.state.is_probing_due(now):
            actions += self._parts.flows.handle(event, now)
        if self._parts.state.is_past_deadline(now):
            ended = EndAllFlows(EndReason.DRAIN_DEADLINE)
            actions += self._parts.flows.handle(ended, now)
        return actions + report_flows(self._parts, now)

    def _broadcast(self, event: Event, now: float) -> tuple[Action, ...]:
        parts = self._parts
        return (
            parts.ownership.handle(event, now)
            + parts.placement.handle(event, now)
            + parts.requests.handle(event, now)
        )
