"""Callers: long, quiet and one-request flows, and what became of them."""

from collections.abc import Callable
from itertools import count
from random import Random
from typing import Any, Final

from persimmonreach.core import Endpoint, FlowKey, Tick
from persimmonreach.packets import Ipv4TcpCodec
from persimmonreach.packets.builder import FlowEnds, flow_key
from persimmonreach.proof._journal import Journal, flow_label, request_label
from persimmonreach.proof._network import Scheduler
from persimmonreach.standins._caller_events import (
    Close,
    Ended,
    FlowPlan,
    Inbound,
    Opened,
    RequestEnded,
    RequestSent,
    Transmit,
)
from persimmonreach.standins._caller_flow import CallerFlow
from persimmonreach.standins._caller_journal import CallOutcome

DEADLINE_S: Final = 5
_HOST: Final = '10.0.0.1'
_FIRST_PORT: Final = 2000


class FlowRow:
    """One flow as its caller sees it.

    Parameters
    ----------
    plan
        What the caller does.
    machine
        Decisions of the caller.

    """

    def __init__(self, plan: FlowPlan, machine: CallerFlow) -> None:
        self.plan = plan
        self.machine = machine
        self.opened_at: float | None = None
        self.ended_at: float | None = None
        self.reason = ''

    @property
    def is_open(self) -> bool:
        """Whether the flow is established."""
        return self.opened_at is not None and self.ended_at is None


class RequestRow:
    """One request id as its caller sees it.

    Parameters
    ----------
    key
        Flow of the request.
    sent
        What the caller reported at the first transmission.
    at
        Time of the first transmission, in seconds.
    owner
        Agent that was expected to own the bucket of the flow.

    """

    def __init__(self, key: FlowKey, sent: RequestSent, at: float, owner: str) -> None:
        self.key = key
        self.order = sent.order
        self.idempotent = sent.idempotent
        self.sent_at = at
        self.owner = owner
        self.ended_at: float | None = None
        self.outcome = CallOutcome.OPEN


class Callers:
    """All callers of a case.

    Parameters
    ----------
    scheduler
        Virtual time.
    rng
        Source of sequence numbers and pauses.
    journal
        Receives facts.
    transmit
        Hands a packet to the fabric.
    owner_of
        Returns the agent expected to own the bucket of a flow.

    """

    def __init__(
        self,
        scheduler: Scheduler,
        rng: Random,
        journal: Journal,
        transmit: Callable[[bytes], None],
        owner_of: Callable[[FlowKey], str],
    ) -> None:
        self.flows: dict[FlowKey, FlowRow] = {}
        self.requests: dict[bytes, RequestRow] = {}
        self.forgotten: dict[FlowKey, float] = {}
        self._active: dict[FlowKey, FlowRow] = {}
        self._scheduler = scheduler
        self._rng = rng
        self._journal = journal
        self._transmit = transmit
        self._owner_of = owner_of
        self._headers = Ipv4TcpCodec()
        self._ports = count(_FIRST_PORT)

    def open(self, service: Endpoint, period_s: float, *, single: bool) -> FlowKey:
        """Open a flow; return its key."""
        key = flow_key(FlowEnds(Endpoint(_HOST, next(self._ports)), service))
        plan = FlowPlan(key, single, period_s, DEADLINE_S)
        row = FlowRow(plan, CallerFlow(plan, self._rng))
        self.flows[key] = row
        self._active[key] = row
        self._handle(key, row, Tick())
        return key

    def close_all(self) -> None:
        """End all flows once their requests have ended."""
        for key, row in tuple(self._active.items()):
            self._handle(key, row, Close())

    def receive(self, packet: bytes) -> None:
        """Take a packet from the fabric."""
        key = self._headers.read_outbound(packet).key
        row = self._active.get(key)
        if row is not None and key not in self.forgotten:
            self._handle(key, row, Inbound(packet))

    def tick(self) -> None:
        """Act on elapsed time."""
        for key, row in tuple(self._active.items()):
            self._handle(key, row, Tick())

    def _handle(self, key: FlowKey, row: FlowRow, event: Any) -> None:
        for action in row.machine.handle(event, self._scheduler.now):
            self._perform(key, row, action)

    def _perform(self, key: FlowKey, row: FlowRow, action: Any) -> None:
        now = self._scheduler.now
        match action:
            case Transmit():
                if key not in self.forgotten:
                    self._transmit(action.packet)
            case Opened():
                row.opened_at = now
            case Ended():
                row.ended_at = now
                row.reason = action.reason
                self._active.pop(key)
                label = flow_label(key)
                self._journal.note(f'caller {label} ended {action.reason}')
            case RequestSent():
                request = RequestRow(key, action, now, self._owner_of(key))
                self.requests[action.request_id] = request
            case RequestEnded():
                self._end_request(action, now)

    def _end_request(self, action: RequestEnded, now: float) -> None:
        request = self.requests[action.request_id]
        request.ended_at = now
        request.outcome = action.outcome
        if action.outcome != CallOutcome.ANSWERED:
            label = request_label(action.request_id)
            flow = flow_label(request.key)
            self._journal.note(f'request {label} of {flow} {action.outcome}')
