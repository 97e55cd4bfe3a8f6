"""Decisions of an agent."""

from random import Random
from typing import Any, Final, NamedTuple

from persimmonreach.core import (
    Action,
    AgentId,
    Count,
    Event,
    Incarnation,
    Received,
    ServiceName,
    StateChange,
    StateMachine,
    Tick,
    Zone,
)
from persimmonreach.discovery import (
    AgentState,
    AgentStatus,
    EntriesListed,
    EntryStatus,
    LoadChanged,
    StatusAnnouncer,
    ZonesReported,
)
from persimmonreach.forwarding._backend import BackendRun
from persimmonreach.forwarding._backend_path import BackendPath
from persimmonreach.forwarding._events import (
    BackendLeft,
    BackendPacketArrived,
    BackendProbed,
    BackendReported,
    ProbeBackend,
    StopRequested,
)
from persimmonreach.forwarding._liveness import BackendLiveness
from persimmonreach.forwarding.messages import RoutedPacket
from persimmonreach.lookup import QueriedPacket
from persimmonreach.packets import PacketFormat
from persimmonreach.placement import AdmissionGate, FirstPacket

_TICK_S: Final = 0.1
_INCARNATION_BITS: Final = 32
_MS_PER_S: Final = 1000


class AgentIdentity(NamedTuple):
    """Which agent this is."""

    agent: AgentId
    service: ServiceName
    zone: Zone


class AgentForwarder(StateMachine):
    """Decides on every packet, message and change that reaches an agent.

    Events: ``BackendPacketArrived``, ``BackendReported``, ``BackendLeft``,
    ``BackendProbed``, ``EntriesListed``, ``Received``, ``StopRequested``,
    ``Tick``. Actions: ``Deliver``, ``Reply``, ``Send``, ``ProbeBackend``,
    ``Count``, ``Decision``, ``StateChange``.

    Parameters
    ----------
    identity
        Which agent this is.
    packets
        Format of the packets.
    random
        Source of the incarnation number and of jitter.

    """

    def __init__(
        self,
        identity: AgentIdentity,
        packets: PacketFormat,
        random: Random,
    ) -> None:
        self._gate = AdmissionGate(identity.service, identity.zone)
        self._run = BackendRun()
        self._liveness = BackendLiveness()
        self._path = BackendPath(
            identity.agent,
            packets,
            self._gate,
            self._run,
            self._liveness,
        )
        incarnation = Incarnation(random.getrandbits(_INCARNATION_BITS))
        self._announcer = StatusAnnouncer(
            AgentStatus(
                identity.agent,
                incarnation,
                1,
                identity.service,
                identity.zone,
                AgentState.STARTING,
            ),
            random,
        )
        self._tick_at: float = 0

    @property
    def wake_at(self) -> float:
        """Time at which the machine wants a ``Tick``."""
        return min(
            self._path.wake_at,
            self._announcer.wake_at,
            self._liveness.wake_at,
            self._tick_at,
        )

    @property
    def is_announced(self) -> bool:
        """Whether all known entry instances know the present state."""
        return self._announcer.is_confirmed

    @property
    def gauges(self) -> dict[str, float]:
        """Present values to publish, by name."""
        return {
            'flows': self._path.flow_count,
            'flows_busy': self._path.busy,
            'state': int(self._gate.state),
        }

    def handle(self, event: Event, now: float) -> tuple[Action, ...]:
        """Return the actions that ``event`` causes."""
        match event:
            case BackendPacketArrived(packet):
                self._liveness.note_heard(now)
                return self._path.on_backend_packet(packet, now)
            case Received(_, message):
                return self._on_message(event, message, now)
            case Tick():
                return self._on_tick(event, now)
            case _:
                return self._on_change(event, now)

    def _on_change(self, event: Event, now: float) -> tuple[Action, ...]:
        match event:
            case BackendReported():
                return self._on_report(event, now)
            case BackendProbed(is_up):
                return self._on_probe(is_up, now)
            case BackendLeft(backend):
                if self._run.is_current(backend):
                    return self._set_state(AgentState.LEFT, now)
                return (Count('reports_of_former_runs'),)
            case EntriesListed():
                return self._announcer.handle(event, now)
            case StopRequested():
                return self._set_state(AgentState.LEFT, now)
            case _:
                return (Count('agent_unknown_events'),)

    def _on_message(
        self,
        event: Received,
        message: Any,
        now: float,
    ) -> tuple[Action, ...]:
        match message:
            case RoutedPacket(packet):
                return self._path.on_routed(event.sender, packet, now)
            case FirstPacket():
                return self._path.on_first(event.sender, message, now)
            case QueriedPacket(packet):
                return self._path.on_queried(event.sender, packet, now)
            case EntryStatus():
                return self._translate(self._announcer.handle(event, now))
            case _:
                return (Count('messages_unexpected'),)

    def _on_report(self, event: BackendReported, now: float) -> tuple[Action, ...]:
        is_restart, is_current = self._run.observe(event, now)
        if not is_current:
            return (Count('reports_of_former_runs'),)
        self._liveness.note_heard(now)
        actions: tuple[Action, ...] = ()
        if is_restart:
            actions = self._path.reset_all()
        self._gate.set_state(event.state, now + event.cold_s)
        return (*actions, *self._announce(event.slots, now))

    def _on_probe(self, is_up: bool | None, now: float) -> tuple[Action, ...]:
        was_down = self._liveness.is_down
        is_crash = self._liveness.note_probe(is_up, now)
        if is_crash:
            self._run.note_down(now)
            return (
                StateChange('backend_down', self._run.name, 'connection refused'),
                *self._path.reset_all(),
                *self._set_state(AgentState.DOWN, now),
            )
        if is_up and was_down:
            return (
                StateChange('backend_up', self._run.name, 'connection accepted'),
                *self._set_state(AgentState.STARTING, now),
            )
        return self._path.on_probed(now)

    def _set_state(self, state: AgentState, now: float) -> tuple[Action, ...]:
        self._gate.set_state(state, self._run.cold_until)
        return self._announce(self._announcer.status.slots, now)

    def _announce(self, slots: int, now: float) -> tuple[Action, ...]:
        cold_s = max(0, self._run.cold_until - now)
        load = LoadChanged(
            self._gate.state,
            self._path.flow_count,
            self._path.busy,
            slots,
            int(cold_s * _MS_PER_S),
        )
        before = self._announcer.status.state
        actions = self._translate(self._announcer.handle(load, now))
        if before == self._gate.state:
            return actions
        state = self._gate.state.name.lower()
        return (StateChange('state', self._run.name, state), *actions)

    def _on_tick(self, event: Tick, now: float) -> tuple[Action, ...]:
        actions: list[Action] = list(self._path.on_tick(now))
        if self._liveness.take_due(now):
            actions.append(ProbeBackend())
        actions.extend(self._translate(self._announcer.handle(event, now)))
        if now >= self._tick_at:
            self._tick_at = now + _TICK_S
            self._path.forget_idle(now)
            actions.extend(self._announce(self._announcer.status.slots, now))
        return tuple(actions)

    def _translate(self, actions: tuple[Action, ...]) -> tuple[Action, ...]:
        outside: list[Action] = []
        for action in actions:
            if isinstance(action, ZonesReported):
                self._gate.set_zones(action.zones_out)
            else:
                outside.append(action)
        return tuple(outside)
