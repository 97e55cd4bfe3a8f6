"""Path of the packets of local flows between callers and the backend server."""

from typing import Any, Final, NamedTuple

from persimmonreach.core import Action, Count, Deliver, FlowKey, Reply, StateMachine
from persimmonreach.flows import BackendPacket, CallerPacket, FlowTable, OpenFlow
from persimmonreach.packets import (
    ACK,
    FIN,
    PSH,
    RST,
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
    UnknownFrameError,
)
from persimmonreach.packets.builder import Segment, build_inbound, build_outbound
from persimmonreach.requests import (
    BackendAnswered,
    BackendRefused,
    CancelArrived,
    CancelAttempt,
    ReplyFrame,
    RequestArrived,
    RunAttempt,
)
from persimmonreach.routing._delegated import Attempt, DelegatedAttempts

_FRAME_FLAGS: Final = PSH | ACK
_CLOSING_FLAGS: Final = FIN | RST


class _Unreadable(NamedTuple):
    """Payload with the prefix of a frame that cannot be read."""


class Codecs(NamedTuple):
    """Codecs of packets and of the frames inside them."""

    headers: HeaderCodec
    frames: FrameCodec


class PacketPath:
    """Moves packets of local flows and takes the frames out of them.

    A frame of an unknown type is passed through, since caller and backend
    server may use a later version of the frames. A malformed frame of a known
    type is dropped in both directions: a backend server that reads it more
    leniently would run a request that is not on record.

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
        self._delegated = DelegatedAttempts()

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
        frame = self._decode(header, packet) if header.payload_size else None
        if frame is None:
            return (Deliver(packet), *noted)
        key = header.key
        if isinstance(frame, RequestFrame):
            arrived = RequestArrived(key, frame, self._flows.is_adopted(key))
            return noted + self._requests.handle(arrived, now)
        if isinstance(frame, CancelFrame):
            return noted + self._requests.handle(CancelArrived(key, frame), now)
        return (_count_dropped(frame), *noted)

    def from_backend(self, packet: bytes, now: float) -> tuple[Action, ...]:
        """Send a packet toward its caller, or hand its frame to the requests."""
        try:
            header = self._codecs.headers.read_outbound(packet)
        except PacketError:
            return (Count('packets_malformed'),)
        noted = self._flows.handle(BackendPacket(header), now)
        frame = self._decode(header, packet) if header.payload_size else None
        if isinstance(frame, AnswerFrame | RefusalFrame):
            return noted + self._from_attempt(header.key, frame, now)
        if frame is not None:
            return (_count_dropped(frame), *noted)
        if header.key == self._own_key:
            if header.flags & _CLOSING_FLAGS:
                self._own_flow_open = False
            return noted
        return (Reply(packet), *noted)

    def run_attempt(self, action: RunAttempt, now: float) -> tuple[Action, ...]:
        """Hand an attempt to the backend server on the right flow."""
        frame = action.frame
        if self._flows.holds(action.key):
            return (self._deliver_frame(action.key, frame),)
        attempt = Attempt(action.key, frame.request_id, frame.attempt)
        number = self._delegated.number(attempt, now)
        carried = self._deliver_frame(self._own_key, frame._replace(attempt=number))
        if self._own_flow_open:
            return (carried,)
        self._own_flow_open = True
        return (Deliver(build_inbound(self._own_key, Segment(SYN))), carried)

    def cancel_attempt(self, action: CancelAttempt, now: float) -> tuple[Action, ...]:
        """Tell the backend server that no answer is needed."""
        frame = action.frame
        attempt = Attempt(action.key, frame.request_id, frame.attempt)
        number = self._delegated.find_number(attempt)
        if number is None:
            return (self._deliver_frame(action.key, frame),)
        return (self._deliver_frame(self._own_key, frame._replace(attempt=number)),)

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
        except UnknownFrameError:
            return None
        except FrameError:
            return _Unreadable()

    def _from_attempt(
        self,
        key: FlowKey,
        frame: AnswerFrame | RefusalFrame,
        now: float,
    ) -> tuple[Action, ...]:
        if key == self._own_key:
            attempt = self._delegated.find(frame.request_id, frame.attempt)
            if attempt is None:
                return (Count('answers_dropped'),)
            key = attempt.key
            frame = frame._replace(attempt=attempt.attempt)
        if isinstance(frame, AnswerFrame):
            return self._requests.handle(BackendAnswered(key, frame), now)
        return self._requests.handle(BackendRefused(key, frame), now)


def _count_dropped(frame: Any) -> Count:
    if isinstance(frame, _Unreadable):
        return Count('frames_malformed')
    return Count('frames_unexpected')
