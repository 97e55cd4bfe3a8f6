"""TCP segments in IPv4 packets, and the interface of packet formats."""

from persimmonreach.packets._format import LABEL_BYTES, PacketFormat
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
    Segment,
)

__all__ = (
    'ACK',
    'FIN',
    'LABEL_BYTES',
    'PSH',
    'RST',
    'SYN',
    'HeaderCodec',
    'Ipv4TcpCodec',
    'PacketError',
    'PacketFormat',
    'PacketHeader',
    'Segment',
)
