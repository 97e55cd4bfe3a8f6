"""Backend servers: slots, cold capacity, flows, and a journal of runs."""

from collections.abc import Callable
from random import Random
from typing import Any, Final, NamedTuple

from persimmonreach.admission import BackendState
from persimmonreach.core import Endpoint, FlowKey
from persimmonreach.packets import (
    ACK,
    FIN,
    PSH,
    RST,
    SYN,
    AnswerFrame,
    CancelFrame,
    Ipv4TcpCodec,
    MsgpackFrameCodec,
    Outcome,
    PacketHeader,
    RefusalFrame,
    RequestFrame,
)
from persimmonreach.packets.builder import Segment, build_outbound, build_reset, flow_ends
from persimmonreach.proof._journal import Journal, RunRow
from persimmonreach.proof._network import Scheduler
from persimmonreach.proof._settings import COLD_NOTICE_S
from persimmonreach.standins._answers import answer_to, split_answer
from persimmonreach.standins._endpoint import SequenceState

_SEQUENCE_BITS: Final = 32
_LINK_S: Final = 0.001
_RUN_S: Final = 0.15
_COLD_RUN_S: Final = 0.4
_COLD_SLOTS: Final = 1
_WARM_AFTER_S: Final = 3
# Time for the caller's last acknowledgement; a copy of the first packet opens
# no new flow meanwhile (RFC 9293, state LAST-ACK).
_LAST_ACK_S: Final = 1
# Agents' own flows to their backend servers come from these addresses.
OWN_NETWORK: Final = '127.'


class ServerPlan(NamedTuple):
    """Identity and slots of a backend server."""

    name: str
    address: Endpoint
    slots: int


class BackendServer:
    """Runs requests beside one agent.

    Parameters
    ----------
    plan
        Identity and slots.
    scheduler
        Virtual time.
    rng
        Source of sequence numbers.
    journal
        Receives all runs and flows.

    """

    def __init__(
        self,
        plan: ServerPlan,
        scheduler: Scheduler,
        rng: Random,
        journal: Journal,
    ) -> None:
        self.plan = plan
        self.alive = True
        self.draining_since: float | None = None
        self.send: Callable[[bytes], None] | None = None
        self._scheduler = scheduler
        self._rng = rng
        self._journal = journal
        self._headers = Ipv4TcpCodec()
        self._frames = MsgpackFrameCodec()
        self._flows: dict[FlowKey, SequenceState] = {}
        self._closed: dict[FlowKey, float] = {}
        self._running: set[tuple[FlowKey, bytes, int]] = set()
        self._cold_since = float('-inf')

    @property
    def connections(self) -> tuple[FlowKey, ...]:
        """Open flows."""
        return tuple(self._flows)

    @property
    def running(self) -> int:
        """Number of requests that run."""
        return len(self._running)

    @property
    def state(self) -> BackendState:
        """State that the backend server reports."""
        if self.draining_since is not None:
            return BackendState.DRAINING
        return BackendState.COLD if self._is_cold else BackendState.WARM

    @property
    def load(self) -> float:
        """Share of the slots in use."""
        return min(1, self.running / self.plan.slots)

    def turn_cold(self) -> None:
        """Lose all caches and the requests that run, as a restart inside does."""
        self._cold_since = self._scheduler.now
        for key, request_id, attempt in tuple(self._running):
            self._abort(key, CancelFrame(request_id, attempt), 'failed')

    def drain(self) -> None:
        """Report draining from now on."""
        if self.draining_since is None:
            self.draining_since = self._scheduler.now

    def die(self) -> None:
        """End with all flows and requests."""
        self.alive = False
        self._flows.clear()
        self._running.clear()

    def deliver(self, packet: bytes) -> None:
        """Take a packet from the agent."""
        self._scheduler.after(_LINK_S, self._accept, packet)

    @property
    def _is_cold(self) -> bool:
        return self._scheduler.now < self._cold_since + _WARM_AFTER_S

    def _accept(self, packet: bytes) -> None:
        if not self.alive:
            return
        header = self._headers.read_inbound(packet)
        self._journal.delivered(self.plan, flow_ends(header.key).service)
        if header.is_first:
            self._open(header)
        elif header.key in self._flows:
            self._continue(header, packet)
        elif not header.flags & RST:
            self._transmit(build_reset(header))

    def _open(self, header: PacketHeader) -> None:
        flow = self._flows.get(header.key)
        closed_at = self._closed.get(header.key, float('-inf'))
        if self._scheduler.now < closed_at + _LAST_ACK_S:
            return
        if flow is None:
            flow = SequenceState(self._rng.getrandbits(_SEQUENCE_BITS))
            self._flows[header.key] = flow
            if not flow_ends(header.key).caller.host.startswith(OWN_NETWORK):
                self._journal.opened(header.key, self.plan.name, self.draining_since)
        flow.observe(header)
        self._transmit(build_outbound(header.key, flow.opening(SYN | ACK)))

    def _continue(self, header: PacketHeader, packet: bytes) -> None:
        key, flow = header.key, self._flows[header.key]
        if header.flags & RST:
            self._flows.pop(key)
            return
        if flow.observe(header):
            self._transmit(build_outbound(key, flow.segment(ACK)))
        if header.payload_size:
            start = header.payload_offset
            frame = self._frames.decode(packet[start : start + header.payload_size])
            if isinstance(frame, RequestFrame):
                self._start(key, frame)
            elif isinstance(frame, CancelFrame):
                self._abort(key, frame, 'cancelled')
        if header.flags & FIN:
            self._flows.pop(key)
            self._closed[key] = self._scheduler.now
            self._transmit(build_outbound(key, flow.segment(FIN | ACK)))

    def _start(self, key: FlowKey, frame: RequestFrame) -> None:
        if self.running >= self._capacity():
            self._refuse(key, frame, Outcome.NOT_RUN, 'saturated')
            return
        run = (key, frame.request_id, frame.attempt)
        self._running.add(run)
        now = self._scheduler.now
        row = RunRow(self.plan.name, frame.attempt, now, frame.idempotent)
        self._journal.started(frame.request_id, row)
        duration = _COLD_RUN_S if self._is_cold else _RUN_S
        self._scheduler.after(duration, self._finish, run, frame)

    def _capacity(self) -> int:
        if not self._is_cold:
            return self.plan.slots
        # A backend server that drains reports only that, so its agent cannot
        # know that it has turned cold.
        is_known = (
            self._scheduler.now > self._cold_since + COLD_NOTICE_S
            and self.state is BackendState.COLD
        )
        if is_known and self.running >= _COLD_SLOTS:
            self._journal.overloaded(self.plan.name)
        return _COLD_SLOTS

    def _abort(self, key: FlowKey, frame: CancelFrame, reason: str) -> None:
        run = (key, frame.request_id, frame.attempt)
        if run in self._running:
            self._running.discard(run)
            self._refuse(key, frame, Outcome.UNKNOWN, reason)

    def _finish(self, run: tuple[FlowKey, bytes, int], frame: RequestFrame) -> None:
        if run not in self._running:
            return
        self._running.discard(run)
        self._journal.answered.add(frame.request_id)
        parts = split_answer(answer_to(frame.request_id, frame.body))
        for part, body in enumerate(parts):
            answer = AnswerFrame(frame.request_id, frame.attempt, part, len(parts), body)
            self._send_frame(run[0], answer)

    def _refuse(self, key: FlowKey, frame: Any, outcome: Outcome, reason: str) -> None:
        refusal = RefusalFrame(frame.request_id, frame.attempt, outcome, reason)
        self._send_frame(key, refusal)

    def _send_frame(self, key: FlowKey, frame: Any) -> None:
        flow = self._flows.get(key)
        if flow is not None:
            segment: Segment = flow.segment(PSH | ACK, self._frames.encode(frame))
            self._transmit(build_outbound(key, segment))

    def _transmit(self, packet: bytes) -> None:
        if self.send is not None:
            self._scheduler.after(_LINK_S, self.send, packet)
