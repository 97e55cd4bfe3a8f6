"""Fields of IPv4 and TCP headers that the decisions need."""

from abc import ABC, abstractmethod
from struct import Struct
from typing import Final, NamedTuple

from persimmonreach.core import FlowKey

FIN: Final = 0x01
SYN: Final = 0x02
RST: Final = 0x04
PSH: Final = 0x08
ACK: Final = 0x10

_IPV4_MIN_BYTES: Final = 20
_TCP_MIN_BYTES: Final = 20
_TCP_PROTOCOL: Final = 6
_WORD_BYTES: Final = 4
_FRAGMENT_MASK: Final = 0x3FFF
_PORTS: Final = Struct('!HH')
# Both addresses in the IPv4 header.
_ADDRESSES: Final = slice(-8, None)
_SEQUENCES: Final = Struct('!HHIIBB')
_SEQUENCE_MODULUS: Final = 0x100000000
_HEADER_WORDS_MASK: Final = 0x0F
_IPV4_VERSION: Final = 4


class PacketError(ValueError):
    """A packet is malformed or of a kind that is not routed."""


class PacketHeader(NamedTuple):
    """Header fields of one TCP packet.

    Attributes
    ----------
    key
        Flow key in the direction from the caller to the service.
    flags
        TCP flags.
    sequence
        TCP sequence number of the first payload byte.
    acknowledgement
        TCP acknowledgement number.
    payload_offset
        Index of the payload in the packet.
    payload_size
        Bytes of payload.

    """

    key: FlowKey
    flags: int
    sequence: int
    acknowledgement: int
    payload_offset: int
    payload_size: int

    @property
    def is_first(self) -> bool:
        """Whether the packet asks for a new flow."""
        return self.flags & (SYN | ACK) == SYN

    @property
    def next_sequence(self) -> int:
        """Sequence number after this packet."""
        phantom = 1 if self.flags & (SYN | FIN) else 0
        return (self.sequence + self.payload_size + phantom) % _SEQUENCE_MODULUS


class HeaderCodec(ABC):
    """Reads the headers of one packet format."""

    @abstractmethod
    def read_inbound(self, packet: bytes) -> PacketHeader:
        """Read a packet from a caller.

        Raises
        ------
        PacketError
            If the packet is not a whole TCP packet of this format.

        """

    @abstractmethod
    def read_outbound(self, packet: bytes) -> PacketHeader:
        """Read a packet toward a caller; the flow key is the inbound one.

        Raises
        ------
        PacketError
            If the packet is not a whole TCP packet of this format.

        """


class Ipv4TcpCodec(HeaderCodec):
    """IPv4 (RFC 791) with TCP (RFC 9293)."""

    def read_inbound(self, packet: bytes) -> PacketHeader:
        """Read a packet from a caller."""
        offset = _tcp_offset(packet)
        addresses = packet[:_IPV4_MIN_BYTES][_ADDRESSES]
        ports = packet[offset : offset + _WORD_BYTES]
        key = b''.join(
            (
                b'\x06',
                addresses[:4],
                ports[:2],
                addresses[4:],
                ports[2:],
            )
        )
        return _header(packet, offset, FlowKey(key))

    def read_outbound(self, packet: bytes) -> PacketHeader:
        """Read a packet toward a caller; the flow key is the inbound one."""
        offset = _tcp_offset(packet)
        addresses = packet[:_IPV4_MIN_BYTES][_ADDRESSES]
        ports = packet[offset : offset + _WORD_BYTES]
        key = b''.join(
            (
                b'\x06',
                addresses[4:],
                ports[2:],
                addresses[:4],
                ports[:2],
            )
        )
        return _header(packet, offset, FlowKey(key))


def _tcp_offset(packet: bytes) -> int:
    if len(packet) < _IPV4_MIN_BYTES + _TCP_MIN_BYTES:
        raise PacketError('packet is shorter than its headers')
    if packet[0] >> 4 != _IPV4_VERSION or packet[9] != _TCP_PROTOCOL:
        raise PacketError('packet is not TCP over IPv4')
    if int.from_bytes(packet[6:8]) & _FRAGMENT_MASK:
        raise PacketError('packet is a fragment')
    offset = (packet[0] & _HEADER_WORDS_MASK) * _WORD_BYTES
    if offset < _IPV4_MIN_BYTES or len(packet) < offset + _TCP_MIN_BYTES:
        raise PacketError('header length is invalid')
    return offset


def _header(packet: bytes, offset: int, key: FlowKey) -> PacketHeader:
    fields = _SEQUENCES.unpack_from(packet, offset)
    total = int.from_bytes(packet[2:4])
    start = offset + (fields[4] >> 4) * _WORD_BYTES
    if start < offset + _TCP_MIN_BYTES or start > total or total > len(packet):
        raise PacketError('packet is truncated')
    return PacketHeader(
        key=key,
        flags=fields[5],
        sequence=fields[2],
        acknowledgement=fields[3],
        payload_offset=start,
        payload_size=total - start,
    )
