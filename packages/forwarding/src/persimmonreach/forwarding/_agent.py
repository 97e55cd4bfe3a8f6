"""State machine of an agent."""

from random import Random
from typing import Any, Final

from persimmonreach.core import (
    Action,
    Count,
    Event,
    LogStateChange,
    Received,
    StateMachine,
    Tick,
)
from persimmonreach.discovery import (
    AgentState,
    EntriesDiscovered,
    EntryStatus,
    LoadChanged,
    StatusAnnouncer,
    ZonesReported,
)
from persimmonreach.forwarding._backend_path import BackendPath
from persimmonreach.forwarding._drain_deadline import DrainDeadline
from persimmonreach.forwarding._events import (
    BackendFlowsListed,
    BackendLeft,
    BackendPacketArrived,
    BackendProbed,
    BackendStatusReported,
    ProbeBackend,
    StopRequested,
)
from persimmonreach.forwarding._flow_tracking import track_flows
from persimmonreach.forwarding._identity import (
    DEFAULT_AGENT_POLICY,
    AgentIdentity,
    AgentPolicy,
)
from persimmonreach.forwarding._incarnations import BackendIncarnations
from persimmonreach.forwarding._liveness import BackendLiveness
from persimmonreach.forwarding._load_reports import LoadReports
from persimmonreach.forwarding._publication import make_publish_round
from persimmonreach.forwarding.messages import RoutedPacket
from persimmonreach.lookup import FlowPublisher, FlowsQuery, PacketQuery
from persimmonreach.packets import PacketFormat
from persimmonreach.placement import AdmissionController, FlowOffer
from persimmonreach.queueing import ClassedOffer, OfferWithdrawn

_TICK_INTERVAL_S: Final = 0.1
_MS_PER_S: Final = 1000


class AgentForwarder(StateMachine):
    """State machine that handles the flows and the status of one backend server.

    Events: ``BackendPacketArrived``, ``BackendStatusReported``, ``BackendLeft``,
    ``BackendProbed``, ``BackendFlowsListed``, ``EntriesDiscovered``, ``Received``,
    ``StopRequested``, ``Tick``. Actions: ``Deliver``, ``SendToCaller``, ``Send``,
    ``ProbeBackend``, ``ReportRejected``, ``Count``, ``LogDecision``,
    ``LogStateChange``.

    Parameters
    ----------
    identity
        Identity of this agent.
    packet_format
        Codec of the packets of the front end.
    random
        Source of the jitter of status messages.
    policy
        Settings that depend on the front end.

    """

    def __init__(
        self,
        identity: AgentIdentity,
        packet_format: PacketFormat,
        random: Random,
        policy: AgentPolicy = DEFAULT_AGENT_POLICY,
    ) -> None:
        self._policy = policy
        self._admission_controller = AdmissionController(identity.service, identity.zone)
        self._incarnations = BackendIncarnations(identity.started_at_ms)
        self._liveness = BackendLiveness()
        tracking = track_flows(policy.probing, packet_format)
        self._path = BackendPath(
            identity,
            packet_format,
            self._admission_controller,
            self._incarnations,
            self._liveness,
            tracking,
        )
        self._load_reports = LoadReports(
            tracking, self._admission_controller, self._path.count_waiting
        )
        self._announcer = StatusAnnouncer(identity.first_status, random, identity.seeds)
        self._publisher = FlowPublisher(identity.agent)
        self._next_tick_at: float = 0
        self._drain_deadline = DrainDeadline()
        self._has_backend_left = False
        self._is_stopping = False

    @property
    def is_draining(self) -> bool:
        """Whether the backend server takes no new flows: it is draining or has left."""
        return self._admission_controller.state in {AgentState.DRAINING, AgentState.LEFT}

    @property
    def is_backend_running(self) -> bool:
        """Whether the backend server has not left and is not down."""
        return not (self._has_backend_left or self._liveness.is_down)

    @property
    def is_backend_state_known(self) -> bool:
        """Whether the state of the backend server is known."""
        return self._admission_controller.state is not AgentState.STARTING

    @property
    def configuration_version(self) -> int:
        """Highest version of the configuration that an entry instance has reported."""
        return self._announcer.status.version

    @property
    def is_zone_in_service(self) -> bool:
        """Whether the agent's availability zone is in service."""
        return not self._admission_controller.is_zone_out

    @property
    def flow_count(self) -> int:
        """Number of flows that are not closed."""
        return self._path.flow_count

    @property
    def busy_flow_count(self) -> int:
        """Number of flows with a request that waits for its response."""
        return self._path.busy_flow_count

    @property
    def wake_at(self) -> float:
        """Time at which the next ``Tick`` is due."""
        return min(
            self._path.wake_at,
            self._announcer.wake_at,
            self._liveness.wake_at,
            self._next_tick_at,
        )

    @property
    def is_state_acknowledged(self) -> bool:
        """Whether all known entry instances have acknowledged the current state."""
        return self._announcer.is_state_acknowledged

    @property
    def gauges(self) -> dict[str, float]:
        """Current values of the gauges, by metric name."""
        return {
            **self._path.gauges,
            'state': int(self._admission_controller.state),
            **self._load_reports.gauges,
        }

    def handle(self, event: Event, now: float) -> tuple[Action, ...]:
        """Return the actions that ``event`` causes."""
        return self._on_event(event, now) + self._path.release_waiting(now)

    def _on_event(self, event: Event, now: float) -> tuple[Action, ...]:
        match event:
            case BackendPacketArrived(packet):
                self._liveness.record_activity(now)
                self._incarnations.record_sign(now)
                return self._path.on_backend_packet(packet, now)
            case Received(_, message):
                return self._on_message(event, message, now)
            case Tick():
                return self._on_tick(event, now)
            case _:
                return self._on_control_event(event, now)

    def _on_control_event(self, event: Event, now: float) -> tuple[Action, ...]:
        match event:
            case BackendStatusReported():
                return self._on_backend_status(event, now)
            case BackendProbed(is_up):
                return self._on_probe_result(is_up, now)
            case BackendLeft():
                return self._on_backend_left(event, now)
            case EntriesDiscovered():
                return self._apply_internal(self._announcer.handle(event, now), now)
            case BackendFlowsListed(keys):
                return self._path.adopt(keys, now)
            case StopRequested():
                # A backend server that is still running keeps its flows for
                # the next process of the agent.
                self._is_stopping = True
                is_backend_stopped = self._has_backend_left or self._liveness.is_down
                state = AgentState.LEFT if is_backend_stopped else AgentState.STOPPING
                return self._set_state(state, now)
            case _:
                return (Count('agent_unknown_events'),)

    def _on_backend_left(self, left: BackendLeft, now: float) -> tuple[Action, ...]:
        """End the flows of the backend server, if the call is from its current process.

        A call without start time may be from an earlier process with the same id, unless
        the current one has reported that it drains. A probe decides then.
        """
        if not self._incarnations.is_current(left.backend, left.started_at_ms):
            return self._incarnations.reject(left.backend)
        self._has_backend_left = True
        if not (left.started_at_ms or self.is_draining):
            self._liveness.expect_response(0, now)
            return ()
        return self._set_state(AgentState.LEFT, now)

    def _on_message(
        self,
        event: Received,
        message: Any,
        now: float,
    ) -> tuple[Action, ...]:
        match message:
            case RoutedPacket(packet):
                return self._path.on_routed_packet(event.sender, packet, now)
            case FlowOffer() | ClassedOffer():
                self._load_reports.on_offer(message, now)
                return self._path.on_offer(event.sender, message, now)
            case OfferWithdrawn(key):
                return self._path.on_withdrawn(key)
            case PacketQuery(packet):
                return self._path.on_packet_query(event.sender, packet, now)
            case FlowsQuery():
                return self._path.on_key_query(event.sender, message, now)
            case EntryStatus():
                self._load_reports.on_entry_status(event.sender, message.incarnation)
                return self._apply_internal(self._announcer.handle(event, now), now)
            case _:
                return (Count('messages_unexpected'),)

    def _enforce_drain_deadline(self, now: float) -> tuple[Action, ...]:
        """Reset all flows once the backend server exceeds its drain deadline."""
        is_exceeded = self._drain_deadline.is_exceeded(
            is_draining=self.is_draining,
            limit_s=self._admission_controller.limits.drain_deadline_s,
            now=now,
        )
        return self._path.reset_both_ends(now) if is_exceeded else ()

    def _on_backend_status(
        self, event: BackendStatusReported, now: float
    ) -> tuple[Action, ...]:
        verdict = self._incarnations.observe(event, now)
        if not verdict.is_newest:
            if verdict.is_accepted:
                return (Count('reports_of_former_runs'),)
            return self._incarnations.reject(event.backend)
        self._liveness.record_activity(now)
        self._has_backend_left = False
        actions = self._path.reset_lost_callers(verdict.flows_lost_before, now)
        state = AgentState.STOPPING if self._is_stopping else event.state
        self._admission_controller.set_state(state, now + event.cold_remaining_s)
        self._admission_controller.set_slots(event.slots)
        self._load_reports.on_backend_status(event)
        return (*actions, *self._announce(event.slots, now))

    def _on_probe_result(self, is_up: bool | None, now: float) -> tuple[Action, ...]:
        was_down = self._liveness.is_down
        went_down = self._liveness.record_probe_result(is_up, now)
        if is_up:
            self._incarnations.record_sign(now)
        if went_down:
            self._incarnations.record_down(now)
            return (
                LogStateChange(
                    'backend_down', self._incarnations.backend, 'connection refused'
                ),
                *self._path.reset_callers(now),
                *self._set_state(AgentState.DOWN, now),
            )
        if is_up and was_down:
            return (
                LogStateChange(
                    'backend_up', self._incarnations.backend, 'connection accepted'
                ),
                *self._set_state(AgentState.STARTING, now),
            )
        return self._path.on_tick(now)

    def _set_state(self, state: AgentState, now: float) -> tuple[Action, ...]:
        self._admission_controller.set_state(state, self._incarnations.cold_until)
        return self._announce(self._announcer.status.slots, now)

    def _announce(self, slots: int, now: float) -> tuple[Action, ...]:
        cold_remaining_s = max(0, self._incarnations.cold_until - now)
        load = LoadChanged(
            self._admission_controller.state,
            self._path.flow_count,
            self._path.busy_flow_count,
            slots,
            int(cold_remaining_s * _MS_PER_S),
        )
        previous_state = self._announcer.status.state
        actions = self._apply_internal(self._announcer.handle(load, now), now)
        if previous_state == self._admission_controller.state:
            return actions
        state = self._admission_controller.state.name.lower()
        return (LogStateChange('state', self._incarnations.backend, state), *actions)

    def _on_tick(self, event: Tick, now: float) -> tuple[Action, ...]:
        actions: list[Action] = list(self._path.on_tick(now))
        if self._liveness.start_probe_if_due(now):
            actions.append(ProbeBackend())
        actions.extend(self._apply_internal(self._announcer.handle(event, now), now))
        if now >= self._next_tick_at:
            self._next_tick_at = now + _TICK_INTERVAL_S
            self._load_reports.measure(now)
            actions.extend(self._path.sweep(now))
            actions.extend(self._enforce_drain_deadline(now))
            actions.extend(self._announce(self._announcer.status.slots, now))
            entries = self._announcer.entries
            publish_round = make_publish_round(self._path.open_flows, entries)
            actions.extend(self._publisher.handle(publish_round, now))
        return tuple(actions)

    def _apply_internal(
        self, actions: tuple[Action, ...], now: float
    ) -> tuple[Action, ...]:
        external: list[Action] = []
        for action in actions:
            if isinstance(action, ZonesReported):
                external.extend(self._on_zones_reported(action, now))
            else:
                external.extend(self._load_reports.follow(action, now))
        return tuple(external)

    def _on_zones_reported(
        self, reported: ZonesReported, now: float
    ) -> tuple[Action, ...]:
        was_zone_out = self._admission_controller.is_zone_out
        self._admission_controller.set_zones_out(reported.zones_out)
        if was_zone_out == self._admission_controller.is_zone_out:
            return ()
        state = 'in service' if was_zone_out else 'out of service'
        change = LogStateChange('zone', ', '.join(reported.zones_out), state)
        if was_zone_out or not self._policy.ends_flows_on_zone_out:
            return (change,)
        return (change, *self._path.reset_both_ends(now))
