"""IPv4 and TCP header codec, frames, and packets between own processes."""

from persimmonreach.packets._format import LABEL_BYTES, PacketFormat
from persimmonreach.packets._frames import (
    FrameCodec,
    FrameError,
    MsgpackFrameCodec,
    UnknownFrameError,
)
from persimmonreach.packets._header import (
    ACK,
    FIN,
    PSH,
    RST,
    SYN,
    HeaderCodec,
    Ipv4TcpCodec,
    PacketError,
    PacketHeader,
)
from persimmonreach.packets.messages import (
    AnswerFrame,
    CancelFrame,
    ForwardedPacket,
    Outcome,
    RefusalFrame,
    RequestFrame,
)

__all__ = (
    'ACK',
    'FIN',
    'PSH',
    'RST',
    'SYN',
    'AnswerFrame',
    'CancelFrame',
    'ForwardedPacket',
    'FrameCodec',
    'FrameError',
    'HeaderCodec',
    'LABEL_BYTES',
    'Ipv4TcpCodec',
    'MsgpackFrameCodec',
    'Outcome',
    'PacketError',
    'PacketFormat',
    'PacketHeader',
    'RefusalFrame',
    'RequestFrame',
    'UnknownFrameError',
)
