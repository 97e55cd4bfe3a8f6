"""Tasks that own the sockets of the packet path."""

from abc import ABC, abstractmethod
from collections import Counter
from collections.abc import Callable, Mapping
from typing import Any, Final, NamedTuple

import gevent
from gevent.event import AsyncResult

from persimmonreach.core import (
    Action,
    Clock,
    Count,
    Deliver,
    Send,
    SendToCaller,
    StateMachine,
)
from persimmonreach.forwarding._agent import AgentForwarder
from persimmonreach.forwarding._events import (
    BackendPacketArrived,
    BackendProbed,
    CallerPacketArrived,
    ProbeBackend,
    ReportRejected,
)
from persimmonreach.runtime import BATCH_SIZE, PeerTransport, StateMachineTask

# A backend server ignores a response to its report that takes longer than 1 s.
REPORT_TIMEOUT_S: Final = 0.9


class CallerLink(ABC):
    """Exchanges packets with callers."""

    @abstractmethod
    def receive(self) -> bytes:
        """Block until a packet of a caller arrives and return it."""

    @abstractmethod
    def send(self, packet: bytes) -> None:
        """Send a packet to its caller, without guarantee of delivery."""

    @abstractmethod
    def close(self) -> None:
        """Close the sockets."""


class BackendLink(ABC):
    """Exchanges packets with the backend server beside an agent."""

    @abstractmethod
    def receive(self) -> bytes:
        """Block until a packet of the backend server arrives and return it."""

    @abstractmethod
    def deliver(self, packet: bytes) -> None:
        """Deliver a packet to the backend server, without guarantee of delivery."""

    @abstractmethod
    def probe(self) -> bool | None:
        """Return whether the backend server accepts connections.

        Blocks until the connection is accepted or refused; returns None on a
        timeout and on other network errors, which do not prove a crash.
        """

    @abstractmethod
    def close(self) -> None:
        """Close the sockets."""


class ForwardingTask(StateMachineTask):
    """Runs the state machine of a packet path and performs its actions.

    Parameters
    ----------
    machine
        State machine of the packet path.
    clock
        Source of the current time.
    caller_link
        Link to the callers; closed with the task.
    peer_transport
        Transport to other processes of the load balancer.
    sink
        Receives the actions that are not packets, messages or counts.

    """

    def __init__(
        self,
        machine: StateMachine,
        clock: Clock,
        caller_link: CallerLink,
        peer_transport: PeerTransport,
        sink: Callable[[Action], None],
    ) -> None:
        super().__init__(machine, clock)
        self._caller_link = caller_link
        self._peer_transport = peer_transport
        self._sink = sink
        self._counts: Counter[str] = Counter()
        self._resources.callback(caller_link.close)

    @property
    def counts(self) -> Mapping[str, int]:
        """Counters of the state machine, by metric name."""
        return self._counts

    def start(self) -> None:
        """Start receiving messages and packets."""
        super().start()
        self._spawn(self._receive_packets)

    def _perform(self, action: Action) -> None:
        match action:
            case Send():
                self._peer_transport.send(action.to, action.message)
            case SendToCaller():
                self._caller_link.send(action.packet)
            case Count():
                self._counts[action.name] += action.amount
            case _:
                self._sink(action)

    def _receive_packets(self) -> None:
        while True:
            for _ in range(BATCH_SIZE):
                self.receive(self._next_event())
            # Reading from a socket that always has a packet never yields to other
            # greenlets.
            gevent.sleep(0)

    @abstractmethod
    def _next_event(self) -> Any:
        """Block until a packet arrives and return the event that carries it."""


class EntryTask(ForwardingTask):
    """Task that owns the flows of an entry instance and the link to its callers."""

    def _next_event(self) -> CallerPacketArrived:
        return CallerPacketArrived(self._caller_link.receive())


class _SubmittedReport(NamedTuple):
    report: Any
    is_accepted: AsyncResult


class AgentTask(ForwardingTask):
    """Task that owns the flows of an agent and the link to its backend server.

    Parameters
    ----------
    backend_link
        Link to the backend server; closed with the task.

    """

    def __init__(
        self, machine: AgentForwarder, backend_link: BackendLink, *args: Any
    ) -> None:
        super().__init__(machine, *args)
        self._backend_link = backend_link
        self._resources.callback(backend_link.close)
        self._is_report_rejected = False

    def submit_report(self, report: Any) -> bool | None:
        """Post a report of the backend server and block until it has been handled.

        Returns
        -------
        bool or None
            Whether the report is in force; None if it was not handled in time.

        """
        submitted = _SubmittedReport(report, AsyncResult())
        self.post(submitted)
        return submitted.is_accepted.wait(REPORT_TIMEOUT_S)

    def receive(self, message: Any) -> None:
        """Pass one message to the state machine and perform the actions."""
        if not isinstance(message, _SubmittedReport):
            super().receive(message)
            return
        self._is_report_rejected = False
        super().receive(message.report)
        message.is_accepted.set(not self._is_report_rejected)

    def _perform(self, action: Action) -> None:
        if isinstance(action, Deliver):
            self._backend_link.deliver(action.packet)
        elif isinstance(action, ReportRejected):
            self._is_report_rejected = True
        elif isinstance(action, ProbeBackend):
            self._spawn(self._probe)
        else:
            super()._perform(action)

    def _probe(self) -> None:
        self.receive(BackendProbed(self._backend_link.probe()))

    def _next_event(self) -> BackendPacketArrived:
        return BackendPacketArrived(self._backend_link.receive())
