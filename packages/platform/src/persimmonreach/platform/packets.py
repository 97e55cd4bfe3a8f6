"""Packets of the platform."""

from struct import Struct, error
from types import MappingProxyType
from typing import Final

from persimmonreach.core import Endpoint, FlowKey
from persimmonreach.packets import (
    ACK,
    FIN,
    RST,
    SYN,
    PacketError,
    PacketFormat,
    PacketHeader,
)

# Sequence number, acknowledgement, length of the data, checksum, flags,
# padding, label, destination port, source, source port, destination.
_HEADER: Final = Struct('<IIHIBB4sHIHI')
HEADER_BYTES: Final = _HEADER.size
_FLAGS_AT: Final = 14
_LABEL: Final = slice(16, 20)
# Both addresses and ports, in the order of the header.
_ENDS: Final = slice(20, 32)
_DESTINATION_PORT: Final = slice(20, 22)
_SOURCE: Final = slice(22, 26)
_SOURCE_PORT: Final = slice(26, 28)
_DESTINATION: Final = slice(28, 32)
# The same fields within a flow key.
_KEY_PORT: Final = slice(0, 2)
_KEY_SOURCE: Final = slice(2, 6)
_KEY_SOURCE_PORT: Final = slice(6, 8)
_KEY_DESTINATION: Final = slice(8, 12)
# The part of a reset's header before the addresses.
_RESET_HEADER: Final = Struct('<I10xB5x')

_WIRE_SYN: Final = 64
_WIRE_ACK: Final = 2
_WIRE_FIN: Final = 32
_WIRE_RST: Final = 4
_WIRE_BOUNCED: Final = 8
_BYTE_VALUES: Final = 256
# Seconds from a first packet to each of its copies, which are numbered in the
# field of the acknowledgement.
_COPY_AGES_S: Final = (0, 0.2, 0.6)
_NO_LABEL: Final = bytes(4)
_FLAG_NAMES: Final = MappingProxyType(
    {_WIRE_SYN: SYN, _WIRE_ACK: ACK, _WIRE_FIN: FIN, _WIRE_RST: RST},
)


def _flags_of(wire: int) -> int:
    flags = 0
    for bit, flag in _FLAG_NAMES.items():
        if wire & bit:
            flags |= flag
    return flags


_FLAGS: Final = tuple(_flags_of(wire) for wire in range(_BYTE_VALUES))


class PlatformPackets(PacketFormat):
    """Packets with the platform's header of 32 bytes.

    A checksum that the platform alone can make covers the packets, so only
    resets toward callers, which carry none, can be built.
    """

    @property
    def can_bounce(self) -> bool:
        """Whether a backend server sends packets of unknown flows back."""
        return True

    @property
    def can_build(self) -> bool:
        """Whether packets other than resets toward callers can be built."""
        return False

    def read_inbound(self, packet: bytes) -> PacketHeader:
        """Read a packet from a caller."""
        return _read(packet, FlowKey(packet[_ENDS]))

    def read_outbound(self, packet: bytes) -> PacketHeader:
        """Read a packet toward a caller; the flow key is the inbound one."""
        key = (
            packet[_SOURCE_PORT]
            + packet[_DESTINATION]
            + packet[_DESTINATION_PORT]
            + packet[_SOURCE]
        )
        return _read(packet, FlowKey(key))

    def destination_of(self, key: FlowKey) -> bytes:
        """Return the destination address and port of a flow, packed."""
        return key[_KEY_DESTINATION] + key[_KEY_PORT]

    def pack_destination(self, endpoint: Endpoint) -> bytes:
        """Return an address and port in the form of :meth:`destination_of`."""
        return pack_host(endpoint.host) + endpoint.port.to_bytes(2, 'little')

    def is_bounced(self, packet: bytes) -> bool:
        """Return whether the backend server sends the caller's packet back."""
        return len(packet) >= HEADER_BYTES and bool(packet[_FLAGS_AT] & _WIRE_BOUNCED)

    def label(self, packet: bytes, label: bytes) -> bytes:
        """Return the packet with a label."""
        return packet[: _LABEL.start] + label + packet[_LABEL.stop :]

    def read_label(self, packet: bytes) -> bytes:
        """Return the label of a bounced packet."""
        return packet[_LABEL]

    def restore(self, packet: bytes) -> bytes:
        """Return a bounced packet as the caller sent it."""
        restored = bytearray(packet)
        restored[_FLAGS_AT] &= ~_WIRE_BOUNCED
        restored[_LABEL] = _NO_LABEL
        return bytes(restored)

    def first_packet_age(self, header: PacketHeader) -> float:
        """Return the seconds from the caller's first packet to this copy of it."""
        copy = min(header.acknowledgement, len(_COPY_AGES_S) - 1)
        return _COPY_AGES_S[copy]

    def build_reset(self, key: FlowKey, acknowledged: int) -> bytes:
        """Return a reset toward the caller; it carries no checksum."""
        # The source of the key is the destination of the reset.
        ends = (_KEY_SOURCE_PORT, _KEY_DESTINATION, _KEY_PORT, _KEY_SOURCE)
        header = _RESET_HEADER.pack(acknowledged, _WIRE_RST)
        return header + b''.join(key[part] for part in ends)


def caller_host(packet: bytes) -> bytes:
    """Return the packed address of the caller that a packet goes to."""
    return packet[_DESTINATION]


def pack_host(host: str) -> bytes:
    """Return an IPv4 address as a header holds it: the last byte first."""
    return bytes(int(part) for part in reversed(host.split('.')))


def unpack_host(packed: bytes) -> str:
    """Return the text of an address in a header."""
    return '.'.join(str(part) for part in reversed(packed))


def _read(packet: bytes, key: FlowKey) -> PacketHeader:
    try:
        fields = _HEADER.unpack_from(packet)
    except error as problem:
        raise PacketError('packet is shorter than its header') from problem
    size = fields[2]
    if len(packet) < HEADER_BYTES + size:
        raise PacketError('packet is truncated')
    return PacketHeader(
        key,
        _FLAGS[fields[4]],
        fields[0],
        fields[1],
        HEADER_BYTES,
        size,
    )
