"""Task of a backend server: flows, requests, pushes."""

import random
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
    AnswerFrame,
    CancelFrame,
    FrameError,
    Ipv4TcpCodec,
    MsgpackFrameCodec,
    Outcome,
    PacketError,
    PacketHeader,
    RefusalFrame,
    RequestFrame,
)
from persimmonreach.packets.builder import Segment, build_outbound, build_reset
from persimmonreach.runtime import Task, UdpSocket
from persimmonreach.standins._answers import answer_to, split_answer
from persimmonreach.standins._backend_journal import (
    BackendJournal,
    new_journal,
    note_flow,
    note_run,
)
from persimmonreach.standins._capacity import (
    Capacity,
    CapacitySettings,
    ServerState,
    Verdict,
)
from persimmonreach.standins._endpoint import SequenceState

_SEQUENCE_BITS: Final = 32
_MS_PER_S: Final = 1000
_IDLE_TICK_S: Final = 1.0


class BackendSettings(NamedTuple):
    """Settings of a backend server; port 0 lets the system choose one.

    Attributes
    ----------
    state
        State at the start.
    push_period_s
        Seconds between pushes on a flow; 0 for none.

    """

    instance: str
    host: str = '127.0.0.1'
    port: int = 0
    http_port: int = 0
    state: ServerState = ServerState.WARM
    push_period_s: float = 0
    seed: int = 1
    capacity: CapacitySettings = CapacitySettings()


class Arrival(NamedTuple):
    """A packet from the agent."""

    packet: bytes
    sender: Endpoint


class RunEnded(NamedTuple):
    """The service time of a run, or its deadline, has passed."""

    number: int
    in_time: bool


class _Run(NamedTuple):
    key: FlowKey
    frame: RequestFrame
    timer: Any


class BackendTask(Task):
    """Owns the socket, flows and requests of a backend server.

    Parameters
    ----------
    settings
        Settings of the backend server.
    clock
        Clock of all times in the journal.

    """

    def __init__(self, settings: BackendSettings, clock: Clock) -> None:
        super().__init__(settings.push_period_s or _IDLE_TICK_S)
        self._settings = settings
        self._clock = clock
        self.capacity = Capacity(settings.capacity)
        self._journal = new_journal(settings.instance)
        self._headers = Ipv4TcpCodec()
        self._frames = MsgpackFrameCodec()
        self._flows: dict[FlowKey, SequenceState] = {}
        self._runs: dict[int, _Run] = {}
        self._numbers = count(1)
        self._rng = random.Random(settings.seed)
        self._socket: Any = None
        self._agent: Endpoint | None = None

    @property
    def port(self) -> int:
        """UDP port."""
        return int(self._socket.endpoint.port)

    @property
    def connections(self) -> list[str]:
        """Open flows."""
        return [key.hex() for key in self._flows]

    @property
    def journal(self) -> BackendJournal:
        """What the backend server has seen."""
        record = self.capacity.record
        self._journal['largest_cold'] = record.largest_cold
        self._journal['largest_warm'] = record.largest_warm
        self._journal['overloads'] = record.overloads
        return self._journal

    def start(self) -> None:
        """Bind the socket and start."""
        self.capacity.set_state(self._settings.state, self._clock.now())
        self._socket = UdpSocket(Endpoint(self._settings.host, self._settings.port))
        self._resources.callback(self._socket.close)
        self._spawn(self._listen)
        super().start()

    def receive(self, message: Any) -> None:
        """Handle one message from the mailbox."""
        now = self._clock.now()
        if isinstance(message, ServerState):
            self.capacity.set_state(message, now)
        elif isinstance(message, RunEnded):
            self._end_run(message, now)
        else:
            self._accept(message, now)

    def tick(self) -> None:
        """Push a message on all flows older than one period."""
        period, now = self._settings.push_period_s, self._clock.now()
        if not period or self.capacity.is_silent(now):
            return
        for key, flow in self._flows.items():
            if now - self._journal['flows'][key.hex()] >= period:
                payload = b'push %d' % next(self._numbers)
                self._reply(key, flow.segment(PSH | ACK, payload))

    def _listen(self) -> None:
        while self._socket is not None:
            self.post(Arrival(*self._socket.receive()))

    def _accept(self, arrival: Arrival, now: float) -> None:
        self._agent = arrival.sender
        self._journal['last_packet_at'] = now
        if self.capacity.is_silent(now):
            return
        try:
            header = self._headers.read_inbound(arrival.packet)
        except PacketError:
            return
        if header.is_first:
            self._open(header, now)
        elif header.key in self._flows:
            self._continue(header, arrival.packet, now)
        elif not header.flags & RST:
            self._send(build_reset(header))

    def _open(self, header: PacketHeader, now: float) -> None:
        flow = self._flows.get(header.key)
        if flow is None:
            flow = SequenceState(self._rng.getrandbits(_SEQUENCE_BITS))
            self._flows[header.key] = flow
            note_flow(self._journal, header.key, now)
        flow.observe(header)
        self._reply(header.key, flow.opening(SYN | ACK))

    def _continue(self, header: PacketHeader, packet: bytes, now: float) -> None:
        flow = self._flows[header.key]
        if header.flags & RST:
            self._flows.pop(header.key)
            return
        if flow.observe(header):
            self._reply(header.key, flow.segment(ACK))
        if header.payload_size:
            self._read_frame(header, packet, now)
        if header.flags & FIN:
            self._flows.pop(header.key)
            self._reply(header.key, flow.segment(FIN | ACK))

    def _read_frame(self, header: PacketHeader, packet: bytes, now: float) -> None:
        start = header.payload_offset
        try:
            frame = self._frames.decode(packet[start : start + header.payload_size])
        except FrameError:
            return
        if isinstance(frame, RequestFrame):
            self._request(header.key, frame, now)
        elif isinstance(frame, CancelFrame):
            self._cancel(header.key, frame, now)

    def _request(self, key: FlowKey, frame: RequestFrame, now: float) -> None:
        verdict = self.capacity.start(now)
        if verdict == Verdict.SHED:
            self._journal['shed'] += 1
            self._refuse(key, frame, Outcome.NOT_RUN, 'saturated')
        elif verdict == Verdict.RUN:
            note_run(self._journal, key, frame, now)
            service_s = self.capacity.service_s(now)
            deadline_s = frame.deadline_ms / _MS_PER_S
            number = next(self._numbers)
            ended = RunEnded(number, service_s <= deadline_s)
            delay_s = min(service_s, deadline_s)
            timer = gevent.spawn_later(delay_s, self.post, ended)
            self._runs[number] = _Run(key, frame, timer)

    def _cancel(self, key: FlowKey, frame: CancelFrame, now: float) -> None:
        for number, run in list(self._runs.items()):
            if run.key == key and run.frame.request_id == frame.request_id:
                run.timer.kill(block=False)
                self._runs.pop(number)
                self.capacity.end(now)
                self._refuse(key, run.frame, Outcome.UNKNOWN, 'cancelled')

    def _end_run(self, ended: RunEnded, now: float) -> None:
        run = self._runs.pop(ended.number, None)
        if run is None:
            return
        self.capacity.end(now)
        if not ended.in_time:
            self._refuse(run.key, run.frame, Outcome.UNKNOWN, 'deadline')
            return
        frame = run.frame
        parts = split_answer(answer_to(frame.request_id, frame.body))
        for part, body in enumerate(parts):
            self._send_frame(
                run.key,
                AnswerFrame(frame.request_id, frame.attempt, part, len(parts), body),
            )

    def _refuse(
        self, key: FlowKey, frame: RequestFrame, outcome: Outcome, reason: str
    ) -> None:
        refusal = RefusalFrame(frame.request_id, frame.attempt, outcome, reason)
        self._send_frame(key, refusal)

    def _send_frame(self, key: FlowKey, frame: Any) -> None:
        flow = self._flows.get(key)
        if flow is not None:
            self._reply(key, flow.segment(PSH | ACK, self._frames.encode(frame)))

    def _reply(self, key: FlowKey, segment: Segment) -> None:
        self._send(build_outbound(key, segment))

    def _send(self, packet: bytes) -> None:
        if self._agent and not self.capacity.is_silent(self._clock.now()):
            self._socket.send(packet, self._agent)
