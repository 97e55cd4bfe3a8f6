"""Path of the packets of local flows between callers and the backend server."""

from typing import Any, Final, NamedTuple

from persimmonreach.core import Action, Count, Deliver, FlowKey, Reply, StateMachine
from persimmonreach.flows import BackendPacket, CallerPacket, FlowTable, OpenFlow
from persimmonreach.packets import (
    ACK,
    PSH,
    SYN,
    AnswerFrame,
    CancelFrame,
    FrameCodec,
    FrameError,
    HeaderCodec,
    PacketError,
    PacketHeader,
    RefusalFrame,
    RequestFrame,
    Segment,
    build_inbound,
    build_outbound,
)
from persimmonreach.requests import (
    BackendAnswered,
    BackendRefused,
    CancelArrived,
    CancelAttempt,
    ReplyFrame,
    RequestArrived,
    RunAttempt,
)

_FRAME_FLAGS: Final = PSH | ACK
# Attempts for other agents whose replies are awaited; older ones have long
# passed their deadline.
_LARGEST_DELEGATED: Final = 4096


class Codecs(NamedTuple):
    """Codecs of packets and of the frames inside them."""

    headers: HeaderCodec
    frames: FrameCodec


class PacketPath:
    """Moves packets of local flows and takes the frames out of them.

    Parameters
    ----------
    codecs
        Codecs of packets and frames.
    flows
        Table of the local flows.
    requests
        State machine that decides on requests.
    own_key
        Flow of the agent itself to its backend server, which carries the
        attempts that run for other agents.

    """

    def __init__(
        self,
        codecs: Codecs,
        flows: FlowTable,
        requests: StateMachine,
        own_key: FlowKey,
    ) -> None:
        self._codecs = codecs
        self._flows = flows
        self._requests = requests
        self._own_key = own_key
        self._own_flow_open = False
        self._delegated: dict[tuple[bytes, int], FlowKey] = {}

    def open_flow(self, key: FlowKey, packet: bytes, now: float) -> tuple[Action, ...]:
        """Open a new flow and deliver its first packet."""
        opened = self._flows.handle(OpenFlow(key), now)
        header = self._codecs.headers.read_inbound(packet)
        return opened + self.from_caller(header, packet, now)

    def from_caller(
        self,
        header: PacketHeader,
        packet: bytes,
        now: float,
    ) -> tuple[Action, ...]:
        """Deliver a caller's packet, or hand its frame to the requests."""
        noted = self._flows.handle(CallerPacket(header), now)
        if not header.payload_size:
            return (Deliver(packet), *noted)
        frame = self._decode(header, packet)
        if frame is None:
            return (Deliver(packet), *noted)
        key = header.key
        if isinstance(frame, RequestFrame):
            arrived = RequestArrived(key, frame, self._flows.is_adopted(key))
            return noted + self._requests.handle(arrived, now)
        if isinstance(frame, CancelFrame):
            return noted + self._requests.handle(CancelArrived(key, frame), now)
        return (Count('frames_unexpected'), *noted)

    def from_backend(self, packet: bytes, now: float) -> tuple[Action, ...]:
        """Send a packet toward its caller, or hand its frame to the requests."""
        try:
            header = self._codecs.headers.read_outbound(packet)
        except PacketError:
            return (Count('packets_malformed'),)
        noted = self._flows.handle(BackendPacket(header), now)
        frame = self._decode(header, packet) if header.payload_size else None
        if isinstance(frame, AnswerFrame):
            answered = BackendAnswered(self._origin(header.key, frame), frame)
            return noted + self._requests.handle(answered, now)
        if isinstance(frame, RefusalFrame):
            refused = BackendRefused(self._origin(header.key, frame), frame)
            return noted + self._requests.handle(refused, now)
        if header.key == self._own_key:
            return noted
        return (Reply(packet), *noted)

    def run_attempt(self, action: RunAttempt, now: float) -> tuple[Action, ...]:
        """Hand an attempt to the backend server on the right flow."""
        if self._flows.holds(action.key):
            return (self._deliver_frame(action.key, action.frame),)
        if len(self._delegated) >= _LARGEST_DELEGATED:
            self._delegated.pop(next(iter(self._delegated)))
        self._delegated[action.frame.request_id, action.frame.attempt] = action.key
        carried = self._deliver_frame(self._own_key, action.frame)
        if self._own_flow_open:
            return (carried,)
        self._own_flow_open = True
        return (Deliver(build_inbound(self._own_key, Segment(SYN))), carried)

    def cancel_attempt(self, action: CancelAttempt, now: float) -> tuple[Action, ...]:
        """Tell the backend server that no answer is needed."""
        local = self._flows.holds(action.key)
        return (
            self._deliver_frame(action.key if local else self._own_key, action.frame),
        )

    def reply_frame(self, action: ReplyFrame, now: float) -> tuple[Action, ...]:
        """Send a frame toward the caller."""
        payload = self._codecs.frames.encode(action.frame)
        segment = Segment(_FRAME_FLAGS, payload=payload)
        return (Reply(build_outbound(action.key, segment)),)

    def _deliver_frame(self, key: FlowKey, frame: Any) -> Deliver:
        payload = self._codecs.frames.encode(frame)
        return Deliver(build_inbound(key, Segment(_FRAME_FLAGS, payload=payload)))

    def _decode(self, header: PacketHeader, packet: bytes) -> Any:
        end = header.payload_offset + header.payload_size
        try:
            return self._codecs.frames.decode(packet[header.payload_offset : end])
        except FrameError:
            return None

    def _origin(self, key: FlowKey, frame: AnswerFrame | RefusalFrame) -> FlowKey:
        if key != self._own_key:
            return key
        return self._delegated.get((frame.request_id, frame.attempt), key)
