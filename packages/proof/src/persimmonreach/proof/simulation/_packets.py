"""Codec for packets as callers and backend servers build them."""

from struct import Struct
from typing import Final, NamedTuple

from persimmonreach.core import Endpoint
from persimmonreach.platform.packets import HEADER_BYTES, pack_host, unpack_host

# Bits of the flags byte.
SYN: Final = 64
ACK: Final = 2
FIN: Final = 32
RST: Final = 4
BOUNCED: Final = 8
# Sequence number, acknowledgement number, payload size, checksum, flags, padding,
# label, destination port, source address, source port, destination address.
_HEADER: Final = Struct('<IIHIBB4sH4sH4s')
_FLAGS_OFFSET: Final = 14
_PADDING_OFFSET: Final = 15
_NO_LABEL: Final = bytes(4)


class Segment(NamedTuple):
    """Fields of a packet that its sender sets."""

    source: Endpoint
    destination: Endpoint
    flags: int
    sequence: int = 0
    acknowledgement: int = 0
    payload: bytes = b''
    checksum: int = 1


def encode(segment: Segment) -> bytes:
    """Return the packet of a segment."""
    header = _HEADER.pack(
        segment.sequence,
        segment.acknowledgement,
        len(segment.payload),
        segment.checksum,
        segment.flags,
        0,
        _NO_LABEL,
        segment.destination.port,
        pack_host(segment.source.host),
        segment.source.port,
        pack_host(segment.destination.host),
    )
    return header + segment.payload


def decode(packet: bytes) -> Segment:
    """Return the segment of a packet."""
    fields = _HEADER.unpack_from(packet)
    return Segment(
        Endpoint(unpack_host(fields[8]), fields[9]),
        Endpoint(unpack_host(fields[10]), fields[7]),
        fields[4],
        fields[0],
        fields[1],
        packet[HEADER_BYTES:],
        fields[3],
    )


def build_bounced(packet: bytes) -> bytes:
    """Return a packet of a caller as the backend server bounces it."""
    bounced = bytearray(packet)
    bounced[_FLAGS_OFFSET] |= BOUNCED
    bounced[_PADDING_OFFSET] = 0
    return bytes(bounced)
