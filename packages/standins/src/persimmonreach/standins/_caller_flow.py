"""State machine of one flow of a caller."""

import random
from enum import Enum, auto
from typing import Any, Final

from persimmonreach.core import Action, Event, StateMachine, Tick
from persimmonreach.packets import (
    ACK,
    FIN,
    PSH,
    RST,
    SYN,
    Ipv4TcpCodec,
    PacketError,
    PacketHeader,
    Segment,
)
from persimmonreach.packets.builder import build_inbound
from persimmonreach.standins._caller_events import (
    CloseFlow,
    FlowEnded,
    FlowOpened,
    FlowPlan,
    PacketReceived,
    PushReceived,
    RequestEnded,
    RequestSent,
    SendPacket,
)
from persimmonreach.standins._caller_journal import RequestOutcome
from persimmonreach.standins._caller_request import (
    ID_BYTES,
    RETRANSMIT_PERIOD_S,
    CallerRequest,
    RequestSettings,
)
from persimmonreach.standins._frame_types import ErrorFrame, ResponseFrame
from persimmonreach.standins._frames import FrameError, MsgpackFrameCodec
from persimmonreach.standins._sequence_state import SequenceState

_SEQUENCE_BITS: Final = 32
# A flow without a response to its FIN counts as closed after this time.
_CLOSE_TIMEOUT_S: Final = 1.0
# Delay before a request that was not run is retried.
_RETRY_DELAY_S: Final = 0.25


class _Phase(Enum):
    OPENING = auto()
    ESTABLISHED = auto()
    CLOSING = auto()
    ENDED = auto()


class CallerFlow(StateMachine):
    """Opens a flow, sends requests and checks their responses.

    Handles the events ``Tick``, ``PacketReceived`` and ``CloseFlow``.

    Parameters
    ----------
    plan
        How the flow is used.
    rng
        Source of the sequence number, request ids and delays.

    """

    def __init__(self, plan: FlowPlan, rng: random.Random) -> None:
        self._plan = plan
        self._rng = rng
        self._headers = Ipv4TcpCodec()
        self._frames = MsgpackFrameCodec()
        self._sequences = SequenceState(rng.getrandbits(_SEQUENCE_BITS))
        self._phase = _Phase.OPENING
        self._phase_ends_at = float('inf')
        self._sent_at = float('-inf')
        self._request: CallerRequest | None = None
        self._request_segment: Segment | None = None
        self._retry: RequestSettings | None = None
        self._next_request_at = float('inf')
        self._is_close_requested = False

    def handle(self, event: Event, now: float) -> tuple[Action, ...]:
        """Return the actions that ``event`` causes."""
        if isinstance(event, PacketReceived):
            return tuple(self._handle_packet(event.packet, now))
        if isinstance(event, CloseFlow):
            self._is_close_requested = True
        elif isinstance(event, Tick):
            return tuple(self._tick(now))
        return ()

    def _tick(self, now: float) -> list[Action]:
        if self._phase == _Phase.OPENING:
            return self._continue_opening(now)
        if self._phase == _Phase.ESTABLISHED:
            return self._continue_requests(now)
        if self._phase == _Phase.CLOSING:
            return self._continue_closing(now)
        return []

    def _continue_opening(self, now: float) -> list[Action]:
        self._phase_ends_at = min(self._phase_ends_at, now + self._plan.deadline_s)
        if now >= self._phase_ends_at:
            return self._end_flow('unopened')
        if now < self._sent_at + RETRANSMIT_PERIOD_S:
            return []
        self._sent_at = now
        return [self._send_segment(self._sequences.syn_segment(SYN))]

    def _continue_requests(self, now: float) -> list[Action]:
        if self._request is not None:
            if self._request.is_timed_out(now):
                return self._end_request(RequestOutcome.NO_REPLY, now)
            return self._send_request(self._request, now)
        if self._is_close_requested:
            self._phase = _Phase.CLOSING
            self._phase_ends_at = now + _CLOSE_TIMEOUT_S
            return self._continue_closing(now)
        if now >= self._next_request_at:
            return self._start_request(now)
        return []

    def _continue_closing(self, now: float) -> list[Action]:
        if now >= self._phase_ends_at:
            return self._end_flow('closed')
        if now < self._sent_at + RETRANSMIT_PERIOD_S:
            return []
        self._sent_at = now
        return [self._send_segment(self._sequences.next_segment(FIN | ACK))]

    def _start_request(self, now: float) -> list[Action]:
        settings = self._retry or RequestSettings(
            self._rng.randbytes(ID_BYTES),
            self._rng.random() < self._plan.idempotent_share,
            now + self._plan.deadline_s,
            self._plan.response_bytes,
        )
        self._retry = None
        self._request = CallerRequest(settings, self._rng)
        action = RequestSent(
            self._request.request_id, settings.operation_id, settings.idempotent
        )
        return [action, *self._send_request(self._request, now)]

    def _send_request(self, request: CallerRequest, now: float) -> list[Action]:
        frame = request.due_frame(now)
        if frame is None:
            return []
        if self._request_segment is None:
            payload = self._frames.encode(frame)
            self._request_segment = self._sequences.next_segment(PSH | ACK, payload)
        return [self._send_segment(self._request_segment)]

    def _end_request(self, outcome: RequestOutcome, now: float) -> list[Action]:
        request = self._request
        if request is None:
            return []
        self._request = None
        self._request_segment = None
        delay_s = self._plan.period_s * (self._rng.random() + 0.5)
        # Only a request that was not run may be retried under another id.
        retry_at = now + _RETRY_DELAY_S
        if outcome == RequestOutcome.NOT_RUN and retry_at < request.settings.deadline_at:
            self._retry = request.settings
            delay_s = _RETRY_DELAY_S
        elif self._plan.is_single_request:
            self._is_close_requested = True
        self._next_request_at = now + delay_s
        return [RequestEnded(request.request_id, outcome)]

    def _handle_packet(self, packet: bytes, now: float) -> list[Action]:
        try:
            header = self._headers.read_outbound(packet)
        except PacketError:
            return []
        if header.key != self._plan.key or self._phase == _Phase.ENDED:
            return []
        if header.flags & RST:
            return self._handle_reset(header, now)
        actions: list[Action] = []
        if self._sequences.observe(header):
            actions.append(self._send_segment(self._sequences.next_segment(ACK)))
        if header.flags & SYN:
            actions.extend(self._handle_syn_ack(now))
        if header.payload_size:
            actions.extend(self._handle_payload(header, packet, now))
        if header.flags & FIN:
            actions.extend(self._handle_fin())
        return actions

    def _handle_reset(self, header: PacketHeader, now: float) -> list[Action]:
        if self._phase == _Phase.OPENING:
            # A reset that does not acknowledge the SYN is dropped (RFC 9293, 3.10.7.3).
            is_acceptable = self._sequences.is_acknowledged_by(header)
            is_refused = header.flags & ACK and is_acceptable
            return self._end_flow('refused') if is_refused else []
        reason = 'closed' if self._phase == _Phase.CLOSING else 'reset'
        return [*self._end_request(RequestOutcome.RESET, now), *self._end_flow(reason)]

    def _handle_syn_ack(self, now: float) -> list[Action]:
        acknowledgement = self._send_segment(self._sequences.next_segment(ACK))
        if self._phase != _Phase.OPENING:
            return [acknowledgement]
        self._phase = _Phase.ESTABLISHED
        delay_s = (
            0
            if self._plan.is_single_request
            else self._rng.random() * self._plan.period_s
        )
        self._next_request_at = now + delay_s
        return [acknowledgement, FlowOpened()]

    def _handle_payload(
        self, header: PacketHeader, packet: bytes, now: float
    ) -> list[Action]:
        start = header.payload_offset
        frame = self._decode_frame(packet[start : start + header.payload_size])
        if frame is None:
            return [PushReceived(), self._send_segment(self._sequences.next_segment(ACK))]
        if self._request is None or not isinstance(frame, ResponseFrame | ErrorFrame):
            return []
        outcome = self._request.outcome_of(frame)
        return [] if outcome is None else self._end_request(outcome, now)

    def _decode_frame(self, payload: bytes) -> Any:
        try:
            return self._frames.decode(payload)
        except FrameError:
            return b''

    def _handle_fin(self) -> list[Action]:
        acknowledgement = self._send_segment(self._sequences.next_segment(ACK))
        is_closing = self._phase == _Phase.CLOSING
        return [
            acknowledgement,
            *self._end_flow('closed' if is_closing else 'finished_by_server'),
        ]

    def _end_flow(self, reason: str) -> list[Action]:
        self._phase = _Phase.ENDED
        return [FlowEnded(reason)]

    def _send_segment(self, segment: Any) -> SendPacket:
        return SendPacket(build_inbound(self._plan.key, segment))
