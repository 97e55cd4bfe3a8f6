"""Headers of TCP segments in IPv4 packets: the fields that routing decisions need."""

from abc import ABC, abstractmethod
from struct import Struct
from typing import Any, Final, NamedTuple

from persimmonreach.core import FlowKey

# TCP flags, which RFC 9293 (3.1) calls control bits.
FIN: Final = 0x01
SYN: Final = 0x02
RST: Final = 0x04
PSH: Final = 0x08
ACK: Final = 0x10

_MIN_IPV4_HEADER_BYTES: Final = 20
_MIN_TCP_HEADER_BYTES: Final = 20
_TCP_PROTOCOL: Final = 6
_WORD_BYTES: Final = 4
# More Fragments flag and fragment offset; both are 0 in an unfragmented packet.
_FRAGMENT_MASK: Final = 0x3FFF
# Version and header length, total length, flags and fragment offset, protocol,
# source and destination address.
_IPV4_HEADER: Final = Struct('!BxHxxHxBxx4s4s')
# Source and destination port, sequence number, acknowledgement number, data
# offset, TCP flags.
_TCP_HEADER: Final = Struct('!2s2sIIBB')
_KEY_PROTOCOL: Final = bytes((6,))
_SEQUENCE_MODULUS: Final = 0x100000000
_HEADER_LENGTH_MASK: Final = 0x0F
_IPV4_VERSION: Final = 4


class PacketError(ValueError):
    """A packet is malformed, of a kind that is not routed, or cannot be built.

    Fragments and packets of protocols other than TCP are not routed.
    """


class PacketHeader(NamedTuple):
    """Header fields of a packet with one TCP segment.

    Attributes
    ----------
    key
        Flow key in the direction from the caller to the service.
    flags
        TCP flags.
    sequence
        Sequence number of the first payload byte, or of the SYN if that flag is set.
    acknowledgement
        Acknowledgement number.
    payload_offset
        Offset of the payload in the packet, in bytes.
    payload_size
        Size of the payload, in bytes.

    """

    key: FlowKey
    flags: int
    sequence: int
    acknowledgement: int
    payload_offset: int
    payload_size: int

    @property
    def is_syn(self) -> bool:
        """Whether the packet is a SYN without an ACK, which opens a flow."""
        return self.flags & (SYN | ACK) == SYN

    @property
    def next_sequence(self) -> int:
        """Sequence number after the segment; a SYN or FIN counts as one byte."""
        syn_fin_length = 1 if self.flags & (SYN | FIN) else 0
        return (self.sequence + self.payload_size + syn_fin_length) % _SEQUENCE_MODULUS


class Segment(NamedTuple):
    """Fields of a TCP segment to build.

    Attributes
    ----------
    flags
        TCP flags.
    sequence
        Sequence number.
    acknowledgement
        Acknowledgement number.
    payload
        Bytes after the TCP header.

    """

    flags: int
    sequence: int = 0
    acknowledgement: int = 0
    payload: bytes = b''

    @classmethod
    def pure_ack(cls, sequence: int, acknowledgement: int) -> 'Segment':
        """Return a segment without a payload and with no flag but ACK."""
        return cls(ACK, sequence, acknowledgement)


class HeaderCodec(ABC):
    """Reads the packet headers of one format."""

    @abstractmethod
    def read_inbound(self, packet: bytes) -> PacketHeader:
        """Read the header of a packet from a caller.

        Raises
        ------
        PacketError
            If the packet is not a complete TCP packet of this format.

        """

    @abstractmethod
    def read_outbound(self, packet: bytes) -> PacketHeader:
        """Read the header of a packet to a caller; its flow key is the inbound one.

        Raises
        ------
        PacketError
            If the packet is not a complete TCP packet of this format.

        """


class Ipv4TcpCodec(HeaderCodec):
    """Reads headers of TCP segments (RFC 9293) in IPv4 packets (RFC 791)."""

    def read_inbound(self, packet: bytes) -> PacketHeader:
        """Read the header of a packet from a caller."""
        ip_header = _unpack_ipv4_header(packet)
        tcp_header = _TCP_HEADER.unpack_from(packet, _tcp_offset(ip_header))
        key = _KEY_PROTOCOL + ip_header[4] + tcp_header[0] + ip_header[5] + tcp_header[1]
        return _build_header(ip_header, tcp_header, FlowKey(key))

    def read_outbound(self, packet: bytes) -> PacketHeader:
        """Read the header of a packet to a caller; its flow key is the inbound one."""
        ip_header = _unpack_ipv4_header(packet)
        tcp_header = _TCP_HEADER.unpack_from(packet, _tcp_offset(ip_header))
        key = _KEY_PROTOCOL + ip_header[5] + tcp_header[1] + ip_header[4] + tcp_header[0]
        return _build_header(ip_header, tcp_header, FlowKey(key))


def _unpack_ipv4_header(packet: bytes) -> tuple[Any, ...]:
    if len(packet) < _MIN_IPV4_HEADER_BYTES + _MIN_TCP_HEADER_BYTES:
        raise PacketError(
            'packet is shorter than an IPv4 and a TCP header of 20 bytes each'
        )
    ip_header = _IPV4_HEADER.unpack_from(packet)
    if ip_header[0] >> 4 != _IPV4_VERSION or ip_header[3] != _TCP_PROTOCOL:
        raise PacketError('packet is not an IPv4 packet with protocol TCP')
    if ip_header[2] & _FRAGMENT_MASK:
        raise PacketError('packet is an IPv4 fragment; expected an unfragmented packet')
    if not _tcp_offset(ip_header) + _MIN_TCP_HEADER_BYTES <= ip_header[1] <= len(packet):
        raise PacketError(
            'IPv4 total length exceeds the packet or leaves no room for a TCP header'
        )
    return ip_header


def _tcp_offset(ip_header: tuple[Any, ...]) -> int:
    offset = (ip_header[0] & _HEADER_LENGTH_MASK) * _WORD_BYTES
    if offset < _MIN_IPV4_HEADER_BYTES:
        raise PacketError('IPv4 header length is less than 20 bytes')
    return offset


def _build_header(
    ip_header: tuple[Any, ...], tcp_header: tuple[Any, ...], key: FlowKey
) -> PacketHeader:
    tcp_offset = _tcp_offset(ip_header)
    payload_offset = tcp_offset + (tcp_header[4] >> 4) * _WORD_BYTES
    if not tcp_offset + _MIN_TCP_HEADER_BYTES <= payload_offset <= ip_header[1]:
        raise PacketError('TCP data offset is less than 20 bytes or exceeds the packet')
    return PacketHeader(
        key,
        tcp_header[5],
        tcp_header[2],
        tcp_header[3],
        payload_offset,
        ip_header[1] - payload_offset,
    )
