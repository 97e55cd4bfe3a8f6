"""Task of a backend server: flows, requests and pushed messages."""

import random
from collections import deque
from itertools import count
from typing import Any, Final, NamedTuple

import gevent

from persimmonreach.core import Clock, Endpoint, FlowKey
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
from persimmonreach.packets.builder import build_outbound, build_reset_response
from persimmonreach.runtime import Task, UdpSocket
from persimmonreach.standins._backend_journal import (
    BackendJournal,
    new_journal,
    record_established,
    record_flow,
    record_run,
)
from persimmonreach.standins._capacity import (
    Admission,
    CapacityModel,
    CapacitySettings,
    ServerState,
)
from persimmonreach.standins._frame_types import (
    CancelFrame,
    ErrorFrame,
    Outcome,
    RequestFrame,
    ResponseFrame,
)
from persimmonreach.standins._frames import FrameError, MsgpackFrameCodec
from persimmonreach.standins._responses import response_body, split_response
from persimmonreach.standins._sequence_state import SequenceState

_SEQUENCE_BITS: Final = 32
_MS_PER_S: Final = 1000
_IDLE_TICK_PERIOD_S: Final = 1.0


class BackendSettings(NamedTuple):
    """Settings of a backend server; port 0 lets the system choose one.

    Attributes
    ----------
    state
        Initial state.
    push_period_s
        Seconds between pushed messages on a flow; 0 for none.
    seed
        Seed of the initial sequence numbers, together with ``instance``.

    """

    instance: str
    host: str = '127.0.0.1'
    port: int = 0
    http_port: int = 0
    state: ServerState = ServerState.WARM
    push_period_s: float = 0
    seed: int = 1
    capacity: CapacitySettings = CapacitySettings()


class ReceivedPacket(NamedTuple):
    """A packet from an agent, and the endpoint that sent it."""

    packet: bytes
    sender: Endpoint


class RunEnded(NamedTuple):
    """A run has reached the end of its service time, or its deadline if earlier."""

    run_id: int
    is_in_time: bool


class _AdmittedRequest(NamedTuple):
    key: FlowKey
    frame: RequestFrame
    deadline_at: float


class _SentResponse(NamedTuple):
    sequence: int
    segments: list[Segment]


class _Run(NamedTuple):
    key: FlowKey
    frame: RequestFrame
    timer: Any


class BackendTask(Task):
    """Owns the socket, the flows and the requests of a backend server.

    Parameters
    ----------
    settings
        Settings of the backend server.
    clock
        Clock of all times in the journal.

    """

    def __init__(self, settings: BackendSettings, clock: Clock) -> None:
        super().__init__(settings.push_period_s or _IDLE_TICK_PERIOD_S)
        self._settings = settings
        self._clock = clock
        self.capacity = CapacityModel(settings.capacity)
        self._journal = new_journal(settings.instance)
        self._headers = Ipv4TcpCodec()
        self._frames = MsgpackFrameCodec()
        self._flows: dict[FlowKey, SequenceState] = {}
        self._responses: dict[FlowKey, _SentResponse] = {}
        self._runs: dict[int, _Run] = {}
        self._waiting_requests: deque[_AdmittedRequest] = deque()
        self._ids = count(1)
        # The sequence numbers of two backend servers must differ (RFC 6528). With equal
        # ones the caller's ACK completes the handshake at each server that received a
        # copy of the SYN.
        self._rng = random.Random(f'{settings.instance}/{settings.seed}')
        self._socket: Any = None
        self._agent: Endpoint | None = None

    @property
    def port(self) -> int:
        """UDP port."""
        return int(self._socket.endpoint.port)

    @property
    def connections(self) -> list[str]:
        """Keys of the established flows, in hexadecimal."""
        established = self._journal['established']
        return [flow for key in self._flows if (flow := key.hex()) in established]

    @property
    def journal(self) -> BackendJournal:
        """Journal, updated with the statistics of the capacity model."""
        statistics = self.capacity.statistics
        self._journal['largest_cold'] = statistics.largest_cold
        self._journal['largest_warm'] = statistics.largest_warm
        self._journal['overloads'] = statistics.overloads
        return self._journal

    def start(self) -> None:
        """Bind the socket and start to receive packets."""
        self.capacity.set_state(self._settings.state, self._clock.now())
        self._socket = UdpSocket(Endpoint(self._settings.host, self._settings.port))
        self._resources.callback(self._socket.close)
        self._spawn(self._receive_packets)
        super().start()

    def receive(self, message: Any) -> None:
        """Handle one message from the mailbox."""
        now = self._clock.now()
        if isinstance(message, ServerState):
            self.capacity.set_state(message, now)
        elif isinstance(message, RunEnded):
            self._end_run(message, now)
        else:
            self._handle_packet(message, now)

    def tick(self) -> None:
        """Push a message on each flow established for at least one period."""
        period_s, now = self._settings.push_period_s, self._clock.now()
        if not period_s or self.capacity.is_silent(now):
            return
        for key, flow in self._flows.items():
            established_at = self._journal['established'].get(key.hex(), now)
            if now - established_at >= period_s:
                payload = b'push %d' % next(self._ids)
                self._send_segment(key, flow.next_segment(PSH | ACK, payload))

    def _receive_packets(self) -> None:
        while self._socket is not None:
            self.post(ReceivedPacket(*self._socket.receive()))

    def _handle_packet(self, received: ReceivedPacket, now: float) -> None:
        self._agent = received.sender
        self._journal['last_packet_at'] = now
        if self.capacity.is_silent(now):
            return
        try:
            header = self._headers.read_inbound(received.packet)
        except PacketError:
            return
        if header.is_syn:
            self._handle_syn(header, now)
        elif header.key in self._flows:
            self._handle_segment(header, received.packet, now)
        elif not header.flags & RST:
            self._send_packet(build_reset_response(header))

    def _handle_syn(self, header: PacketHeader, now: float) -> None:
        flow = self._flows.get(header.key)
        if flow is None:
            flow = SequenceState(self._rng.getrandbits(_SEQUENCE_BITS))
            self._flows[header.key] = flow
            record_flow(self._journal, header.key, now)
        flow.observe(header)
        self._send_segment(header.key, flow.syn_segment(SYN | ACK))

    def _handle_segment(self, header: PacketHeader, packet: bytes, now: float) -> None:
        flow = self._flows[header.key]
        if header.flags & RST:
            self._remove_flow(header.key)
            return
        if not flow.is_acknowledged_by(header):
            # The caller opened the flow with another backend server, which
            # responded to a copy of the SYN (RFC 9293, 3.10.7.4).
            self._remove_flow(header.key)
            self._send_packet(build_reset_response(header))
            return
        record_established(self._journal, header.key, now)
        is_retransmission = flow.is_retransmission(header)
        if flow.observe(header):
            self._send_segment(header.key, flow.next_segment(ACK))
        if is_retransmission:
            self._resend_response(header)
        elif header.payload_size:
            self._handle_frame(header, packet, now)
        if header.flags & FIN:
            self._remove_flow(header.key)
            self._send_segment(header.key, flow.next_segment(FIN | ACK))

    def _remove_flow(self, key: FlowKey) -> None:
        self._flows.pop(key)
        self._responses.pop(key, None)

    def _resend_response(self, header: PacketHeader) -> None:
        """Send the response to a retransmitted request again: it may have been lost."""
        response = self._responses.get(header.key)
        if response is not None and response.sequence == header.sequence:
            for segment in response.segments:
                self._send_segment(header.key, segment)

    def _handle_frame(self, header: PacketHeader, packet: bytes, now: float) -> None:
        start = header.payload_offset
        try:
            frame = self._frames.decode(packet[start : start + header.payload_size])
        except FrameError:
            return
        if isinstance(frame, RequestFrame):
            self._responses[header.key] = _SentResponse(header.sequence, [])
            self._handle_request(header.key, frame, now)
        elif isinstance(frame, CancelFrame):
            self._handle_cancel(header.key, frame, now)

    def _handle_request(self, key: FlowKey, frame: RequestFrame, now: float) -> None:
        admission = self.capacity.admit(now)
        if admission == Admission.SHED:
            self._journal['shed'] += 1
            self._send_error(key, frame, Outcome.NOT_RUN, 'saturated')
        elif admission == Admission.RESET:
            self._journal['failed'].append(key.hex())
            self._send_segment(key, self._flows[key].next_segment(RST | ACK))
            self._remove_flow(key)
        elif admission != Admission.SILENT:
            deadline_at = now + frame.deadline_ms / _MS_PER_S
            request = _AdmittedRequest(key, frame, deadline_at)
            if admission == Admission.RUN:
                self._start_run(request, now)
            else:
                self._waiting_requests.append(request)

    def _start_run(self, request: _AdmittedRequest, now: float) -> None:
        record_run(self._journal, request.key, request.frame, now)
        service_time_s = self.capacity.service_time_s(now)
        remaining_s = max(request.deadline_at - now, 0)
        run_id = next(self._ids)
        ended = RunEnded(run_id, service_time_s <= remaining_s)
        timer = gevent.spawn_later(min(service_time_s, remaining_s), self.post, ended)
        self._runs[run_id] = _Run(request.key, request.frame, timer)

    def _start_waiting(self, now: float) -> None:
        while self._waiting_requests and self.capacity.take_waiting(now):
            self._start_run(self._waiting_requests.popleft(), now)

    def _handle_cancel(self, key: FlowKey, frame: CancelFrame, now: float) -> None:
        for request in tuple(self._waiting_requests):
            if request.key == key and request.frame.request_id == frame.request_id:
                self._waiting_requests.remove(request)
                self.capacity.remove_waiting()
                self._send_error(key, request.frame, Outcome.NOT_RUN, 'cancelled')
        for run_id, run in list(self._runs.items()):
            if run.key == key and run.frame.request_id == frame.request_id:
                run.timer.kill(block=False)
                self._runs.pop(run_id)
                self.capacity.release(now)
                self._send_error(key, run.frame, Outcome.UNKNOWN, 'cancelled')
        self._start_waiting(now)

    def _end_run(self, ended: RunEnded, now: float) -> None:
        run = self._runs.pop(ended.run_id, None)
        if run is None:
            return
        self.capacity.release(now)
        self._start_waiting(now)
        if not ended.is_in_time:
            self._send_error(run.key, run.frame, Outcome.UNKNOWN, 'deadline')
            return
        frame = run.frame
        parts = split_response(response_body(frame.request_id, frame.body))
        for part, body in enumerate(parts):
            self._send_frame(
                run.key,
                ResponseFrame(frame.request_id, frame.attempt, part, len(parts), body),
            )

    def _send_error(
        self, key: FlowKey, frame: RequestFrame, outcome: Outcome, reason: str
    ) -> None:
        error = ErrorFrame(frame.request_id, frame.attempt, outcome, reason)
        self._send_frame(key, error)

    def _send_frame(self, key: FlowKey, frame: Any) -> None:
        flow = self._flows.get(key)
        if flow is None:
            return
        segment = flow.next_segment(PSH | ACK, self._frames.encode(frame))
        if key in self._responses:
            self._responses[key].segments.append(segment)
        self._send_segment(key, segment)

    def _send_segment(self, key: FlowKey, segment: Segment) -> None:
        self._send_packet(build_outbound(key, segment))

    def _send_packet(self, packet: bytes) -> None:
        if self._agent and not self.capacity.is_silent(self._clock.now()):
            self._socket.send(packet, self._agent)
