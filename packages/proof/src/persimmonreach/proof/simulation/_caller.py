"""Simulated caller that keeps a flow open and sends requests over it."""

from collections.abc import Callable
from enum import StrEnum
from typing import Final

from persimmonreach.core import Endpoint
from persimmonreach.proof.simulation._backend import build_response
from persimmonreach.proof.simulation._packets import (
    ACK,
    FIN,
    RST,
    SYN,
    Segment,
    decode,
    encode,
)
from persimmonreach.proof.simulation._time import Scheduler

# Callers of the platform send each SYN three times, at these delays.
COPY_DELAYS_S: Final = (0, 0.2, 0.6)
_OPEN_TIMEOUT_S: Final = 1.4
_INITIAL_RETRANSMIT_S: Final = 0.2
_MAX_RETRANSMIT_S: Final = 1.6
_SEQUENCE_MODULUS: Final = 0x100000000


class FlowState(StrEnum):
    """State of a flow as its caller sees it.

    Attributes
    ----------
    OPENING
        The SYN waits for its response.
    OPEN
        The backend server has accepted the flow.
    REFUSED
        Reset before it was open.
    UNANSWERED
        The SYN got no response before the timeout.
    RESET
        Reset while it was open.
    CLOSED
        Closed by the caller or by the backend server.

    """

    OPENING = 'opening'
    OPEN = 'open'
    REFUSED = 'refused'
    UNANSWERED = 'unanswered'
    RESET = 'reset'
    CLOSED = 'closed'


class CallerFlow:
    """One flow of a caller, with at most one pending request.

    Parameters
    ----------
    scheduler
        Scheduler in virtual time.
    endpoints
        Address of the caller and destination address of the flow.
    send
        Sends a packet to the fabric.
    think_time_s
        Seconds from a response to the next request.

    Attributes
    ----------
    state
        State of the flow.
    started_at
        Time of creation in seconds.
    opened_at
        Time at which the flow was opened; its time of creation until then.
    request_times
        Time at which each request was first sent.
    responded_at
        Time at which the response to each request arrived.

    """

    def __init__(
        self,
        scheduler: Scheduler,
        endpoints: tuple[Endpoint, Endpoint],
        send: Callable[[bytes], None],
        think_time_s: float,
    ) -> None:
        self._scheduler = scheduler
        self._send = send
        self._think_time_s = think_time_s
        self._peer_initial_sequence = 0
        self._pending_request: bytes | None = None
        self._request_count = 0
        self.endpoints = endpoints
        self.state = FlowState.OPENING
        self.opened_at = scheduler.now
        self.started_at = scheduler.now
        self.responded_at: dict[bytes, float] = {}
        self.request_times: dict[bytes, float] = {}

    @property
    def has_pending_request(self) -> bool:
        """Whether a request waits for its response."""
        return self._pending_request is not None

    def start(self) -> None:
        """Schedule the SYN and its copies."""
        for copy_index, delay_s in enumerate(COPY_DELAYS_S):
            self._scheduler.call_later(delay_s, self._send_syn, copy_index)
        self._scheduler.call_later(_OPEN_TIMEOUT_S, self._expire_opening)

    def close(self) -> None:
        """Close the flow if it is open."""
        if self.state is FlowState.OPEN:
            self.state = FlowState.CLOSED
            self._transmit(FIN | ACK)

    def receive(self, packet: bytes) -> None:
        """Receive a packet of the backend server, or a reset."""
        segment = decode(packet)
        if segment.flags & RST:
            self._handle_reset()
            return
        if segment.flags & SYN:
            self._handle_syn(segment)
        elif self._pending_request and segment.payload == build_response(
            self._pending_request
        ):
            self.responded_at[self._pending_request] = self._scheduler.now
            self._pending_request = None
            self._transmit(ACK)
            self._scheduler.call_later(self._think_time_s, self._send_next_request)
        if segment.flags & FIN and self.state is FlowState.OPEN:
            self.state = FlowState.CLOSED

    def _handle_reset(self) -> None:
        if self.state is FlowState.OPENING:
            self.state = FlowState.REFUSED
        elif self.state is FlowState.OPEN:
            self.state = FlowState.RESET

    def _handle_syn(self, segment: Segment) -> None:
        if self.state is not FlowState.OPENING:
            return
        self.state = FlowState.OPEN
        self.opened_at = self._scheduler.now
        self._peer_initial_sequence = segment.sequence
        self._transmit(ACK)
        self._send_next_request()

    def _send_next_request(self) -> None:
        if self.state is not FlowState.OPEN:
            return
        self._request_count += 1
        caller, _ = self.endpoints
        self._pending_request = (
            f'{caller.host}:{caller.port}/{self._request_count}'.encode()
        )
        self.request_times[self._pending_request] = self._scheduler.now
        self._send_until_response(self._pending_request, _INITIAL_RETRANSMIT_S)

    def _send_until_response(self, request: bytes, wait_s: float) -> None:
        if self.state is FlowState.OPEN and self._pending_request == request:
            self._transmit(ACK, request)
            next_wait_s = min(2 * wait_s, _MAX_RETRANSMIT_S)
            self._scheduler.call_later(
                wait_s, self._send_until_response, request, next_wait_s
            )

    def _transmit(self, flags: int, payload: bytes = b'') -> None:
        acknowledgement = (self._peer_initial_sequence + 1) % _SEQUENCE_MODULUS
        source, destination = self.endpoints
        segment = Segment(source, destination, flags, 1, acknowledgement, payload)
        self._send(encode(segment))

    def _send_syn(self, copy_index: int) -> None:
        if self.state is FlowState.OPENING:
            source, destination = self.endpoints
            # The acknowledgement field of a SYN holds the index of the copy.
            segment = Segment(source, destination, SYN, 0, copy_index)
            self._send(encode(segment))

    def _expire_opening(self) -> None:
        if self.state is FlowState.OPENING:
            self.state = FlowState.UNANSWERED
