"""Simulated processes of entry instances and agents."""

from abc import ABC, abstractmethod
from collections import Counter
from random import Random
from typing import Any, Final

from persimmonreach.core import (
    Action,
    Count,
    Deliver,
    Endpoint,
    LogDecision,
    LogStateChange,
    Received,
    Send,
    SendToCaller,
    StateMachine,
    Tick,
)
from persimmonreach.discovery import AgentState, RegisteredAgent, RegisteredEntry
from persimmonreach.forwarding import (
    AgentForwarder,
    AgentIdentity,
    BackendPacketArrived,
    BackendProbed,
    BackendStatusReported,
    CallerPacketArrived,
    EntryForwarder,
    EntryIdentity,
    ProbeBackend,
)
from persimmonreach.platform.packets import PlatformPackets
from persimmonreach.proof.simulation._backend import BackendServer
from persimmonreach.proof.simulation._fabric import Fabric
from persimmonreach.proof.simulation._network import Network
from persimmonreach.proof.simulation._time import Scheduler

# Interval at which a backend server reports its status to its agent.
REPORT_INTERVAL_S: Final = 0.77
# Delay between an agent and its backend server.
_LOCAL_DELAY_S: Final = 0.0001
# Unix time at which virtual time is 0, in milliseconds.
_EPOCH_MS: Final = 1_700_000_000_000
# Makes virtual time advance when a state machine is due again immediately.
_MIN_WAKE_UP_DELAY_S: Final = 0.0005


class SimulatedProcess(ABC):
    """Runs a state machine; can be paused, killed and restarted.

    Parameters
    ----------
    seed
        Seed of the random numbers.
    scheduler
        Scheduler in virtual time.
    network
        Network that determines delays and losses.
    fabric
        Fabric that delivers messages and packets.

    Attributes
    ----------
    is_paused
        Whether events are queued instead of handled.
    counts
        Sum of the ``Count`` actions, by metric.
    log
        Log actions, with the virtual time of each.

    """

    def __init__(
        self,
        seed: int,
        scheduler: Scheduler,
        network: Network,
        fabric: Fabric,
    ) -> None:
        self._seed = seed
        self._scheduler = scheduler
        self._network = network
        self._fabric = fabric
        self._state_machine: StateMachine | None = None
        self._wake_at: float = 0
        self._incarnation = 0
        self._queued_events: list[Any] = []
        self.is_paused = False
        self.counts: Counter[str] = Counter()
        self.log: list[tuple[float, Action]] = []

    @property
    @abstractmethod
    def endpoint(self) -> Endpoint:
        """Address of the process."""

    @property
    def is_running(self) -> bool:
        """Whether the process exists and is not paused."""
        return self._state_machine is not None and not self.is_paused

    def start(self) -> None:
        """Start the process with a new state machine."""
        self._incarnation += 1
        self._state_machine = self._create_state_machine()
        self._queued_events.clear()
        self.is_paused = False
        self._schedule_wake_up()

    def kill(self) -> None:
        """End the process immediately."""
        self._incarnation += 1
        self._state_machine = None

    def pause(self) -> None:
        """Pause the process; events are queued."""
        self.is_paused = True

    def resume(self) -> None:
        """Resume the process and handle the queued events."""
        self.is_paused = False
        queued_events = tuple(self._queued_events)
        self._queued_events.clear()
        for event in queued_events:
            self.handle(event)
        self._schedule_wake_up()

    def receive_message(self, sender: Endpoint, message: Any) -> None:
        """Receive a message from another process."""
        self.handle(Received(sender, message))

    def handle(self, event: Any) -> None:
        """Pass an event to the state machine and perform its actions."""
        if self._state_machine is None:
            return
        if self.is_paused:
            self._queued_events.append(event)
            return
        for action in self._state_machine.handle(event, self._scheduler.now):
            self._perform(action)
        self._schedule_wake_up()

    @abstractmethod
    def _create_state_machine(self) -> StateMachine:
        """Return the state machine of a new process."""

    def _create_random(self) -> Random:
        return Random(f'{self._seed}/{self.endpoint}/{self._incarnation}')

    def _perform(self, action: Action) -> None:
        match action:
            case Send():
                self._fabric.send_message(self.endpoint, action)
            case SendToCaller():
                self._fabric.send_to_caller(action.packet)
            case Count():
                self.counts[action.name] += action.amount
            case LogDecision() | LogStateChange():
                self.log.append((self._scheduler.now, action))

    def _schedule_wake_up(self) -> None:
        if self._state_machine is None or self.is_paused:
            return
        wake_at = max(
            self._state_machine.wake_at, self._scheduler.now + _MIN_WAKE_UP_DELAY_S
        )
        if wake_at == float('inf') or self._wake_at == wake_at:
            return
        self._wake_at = wake_at
        delay_s = wake_at - self._scheduler.now
        self._scheduler.call_later(delay_s, self._tick, self._incarnation, wake_at)

    def _tick(self, incarnation: int, wake_at: float) -> None:
        if incarnation == self._incarnation and wake_at == self._wake_at:
            self._wake_at = 0
            if self.is_running:
                self.handle(Tick())


class SimulatedEntry(SimulatedProcess):
    """Process of an entry instance.

    Attributes
    ----------
    registration
        Registration of the entry instance.

    """

    def __init__(self, registration: RegisteredEntry, *arguments: Any) -> None:
        super().__init__(*arguments)
        self.registration = registration
        self._network.assign_zone(registration.endpoint.host, registration.zone)

    @property
    def endpoint(self) -> Endpoint:
        """Address of the process."""
        return self.registration.endpoint

    @property
    def is_ready(self) -> bool:
        """Whether the readiness endpoint reports that the process is ready."""
        state_machine = self._state_machine
        return (
            isinstance(state_machine, EntryForwarder)
            and self.is_running
            and state_machine.is_ready
        )

    def receive_packet(self, packet: bytes) -> None:
        """Receive a packet of a caller from the fabric."""
        self.handle(CallerPacketArrived(packet))

    def _create_state_machine(self) -> StateMachine:
        identity = EntryIdentity(self.registration)
        return EntryForwarder(identity, PlatformPackets(), self._create_random())


class SimulatedAgent(SimulatedProcess):
    """Process of an agent, with the backend server on the same instance.

    Attributes
    ----------
    registration
        Registration of the agent.
    backend
        Backend server on the same instance.
    cold_until
        Time at which the backend server becomes warm, in seconds.

    """

    def __init__(
        self,
        registration: RegisteredAgent,
        backend: BackendServer,
        *arguments: Any,
    ) -> None:
        super().__init__(*arguments)
        self.registration = registration
        self.backend = backend
        self.cold_until: float = 0
        self._report_sequence = 0
        self._backend_start_count = 0
        self._held_start = 0
        # Reports that have not arrived, and the time at which they were sent.
        self._held_reports: list[tuple[BackendStatusReported, float]] = []
        self._backend_started_at: float = 0
        self._network.assign_zone(registration.endpoint.host, registration.zone)
        backend.send = self._receive_backend_packet

    @property
    def endpoint(self) -> Endpoint:
        """Address of the process."""
        return self.registration.endpoint

    def start_backend(self, cold_s: float = 0, first_report_s: float = 0) -> None:
        """Start the backend server and its periodic reports.

        Parameters
        ----------
        cold_s
            Seconds for which the backend server is cold.
        first_report_s
            Seconds until the first report; it may get flows before.

        """
        self._backend_start_count += 1
        self._report_sequence = 0
        self._backend_started_at = self._scheduler.now
        agent = self.registration.agent
        self.backend.start(f'{agent}-run-{self._backend_start_count}')
        self.cold_until = self._scheduler.now + cold_s
        if first_report_s:
            self._scheduler.call_later(
                first_report_s, self._report_periodically, self._backend_start_count
            )
        else:
            self._report_periodically(self._backend_start_count)

    def report_backend_status(self) -> None:
        """Report the status of the backend server to the agent."""
        self._report_sequence += 1
        is_draining = self.backend.is_draining
        state = AgentState.DRAINING if is_draining else AgentState.READY
        cold_s = max(0, self.cold_until - self._scheduler.now)
        report = BackendStatusReported(
            self.backend.name,
            _to_unix_ms(self._backend_started_at),
            self._report_sequence,
            state,
            3,
            cold_s,
            self._scheduler.now - self._backend_started_at,
        )
        if self._held_start == self._backend_start_count:
            self._held_reports.append((report, self._scheduler.now))
        else:
            self.handle(report)

    def hold_reports(self) -> None:
        """Hold up the reports of the backend server that is started next."""
        self._held_start = self._backend_start_count + 1

    def release_reports(self) -> None:
        """Let the reports arrive that were held up."""
        held_reports = tuple(self._held_reports)
        self._held_reports.clear()
        for report, held_at in held_reports:
            # The agent derives the age from the start time when the report arrives.
            age_s = report.age_s + self._scheduler.now - held_at
            self.handle(report._replace(age_s=age_s))

    def _report_periodically(self, backend_start: int) -> None:
        if backend_start == self._backend_start_count and self.backend.is_up:
            if not self.backend.is_paused:
                self.report_backend_status()
            self._scheduler.call_later(
                REPORT_INTERVAL_S, self._report_periodically, backend_start
            )

    def _create_state_machine(self) -> StateMachine:
        registration = self.registration
        identity = AgentIdentity(
            registration.agent,
            registration.service,
            registration.zone,
            self._incarnation,
            started_at_ms=_to_unix_ms(self._scheduler.now),
        )
        return AgentForwarder(identity, PlatformPackets(), self._create_random())

    def _perform(self, action: Action) -> None:
        match action:
            case Deliver(packet):
                self._scheduler.call_later(_LOCAL_DELAY_S, self.backend.receive, packet)
            case ProbeBackend():
                probe_result = BackendProbed(self.backend.is_up)
                self._scheduler.call_later(_LOCAL_DELAY_S, self.handle, probe_result)
            case _:
                super()._perform(action)

    def _receive_backend_packet(self, packet: bytes) -> None:
        event = BackendPacketArrived(packet)
        self._scheduler.call_later(_LOCAL_DELAY_S, self.handle, event)


def _to_unix_ms(virtual_time_s: float) -> int:
    return _EPOCH_MS + round(virtual_time_s * 1000)
