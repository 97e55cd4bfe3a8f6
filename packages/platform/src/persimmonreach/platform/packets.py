"""Codec for the packet format of the platform."""

from struct import Struct
from struct import error as struct_error
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

# Sequence number, acknowledgement number, payload size, checksum, flags, padding,
# label, destination port, source address, source port, destination address.
_HEADER: Final = Struct('<IIHIBB4sHIHI')
HEADER_BYTES: Final = _HEADER.size
_FLAGS_OFFSET: Final = 14
_LABEL: Final = slice(16, 20)
# The last four fields of the header, which are the inbound flow key.
_ENDPOINTS: Final = slice(20, 32)
_DESTINATION_PORT: Final = slice(20, 22)
_SOURCE: Final = slice(22, 26)
_SOURCE_PORT: Final = slice(26, 28)
_DESTINATION: Final = slice(28, 32)
# The same four fields within a flow key.
_KEY_DESTINATION_PORT: Final = slice(0, 2)
_KEY_SOURCE: Final = slice(2, 6)
_KEY_SOURCE_PORT: Final = slice(6, 8)
_KEY_DESTINATION: Final = slice(8, 12)
# Header of a reset up to the endpoints: sequence number and flags.
_RESET_HEADER: Final = Struct('<I10xB5x')

_WIRE_SYN: Final = 64
_WIRE_ACK: Final = 2
_WIRE_FIN: Final = 32
_WIRE_RST: Final = 4
_WIRE_BOUNCED: Final = 8
_BYTE_VALUE_COUNT: Final = 256
# Seconds from a caller's first SYN to each copy of it; the first SYN is copy 0. The
# acknowledgement field of a SYN holds the index of the copy.
_COPY_DELAYS_S: Final = (0, 0.2, 0.6)
_NO_LABEL: Final = bytes(4)
_TCP_FLAG_BY_WIRE_BIT: Final = MappingProxyType(
    {_WIRE_SYN: SYN, _WIRE_ACK: ACK, _WIRE_FIN: FIN, _WIRE_RST: RST},
)


def _decode_flags(wire_flags: int) -> int:
    tcp_flags = 0
    for wire_bit, tcp_flag in _TCP_FLAG_BY_WIRE_BIT.items():
        if wire_flags & wire_bit:
            tcp_flags |= tcp_flag
    return tcp_flags


# Precomputed for each value of the flags byte.
_TCP_FLAGS: Final = tuple(
    _decode_flags(wire_flags) for wire_flags in range(_BYTE_VALUE_COUNT)
)


class PlatformPackets(PacketFormat):
    """Codec for packets with the 32-byte header of the platform.

    Only resets toward callers can be built: all other packets carry a checksum
    that only the platform can compute.
    """

    @property
    def can_bounce(self) -> bool:
        """Whether a backend server bounces packets of unknown flows."""
        return True

    @property
    def can_build_segments(self) -> bool:
        """Whether packets other than resets toward callers can be built."""
        return False

    def read_inbound(self, packet: bytes) -> PacketHeader:
        """Read the header of a packet from a caller.

        Raises
        ------
        PacketError
            If the packet is shorter than its header and payload.

        """
        return _read_header(packet, FlowKey(packet[_ENDPOINTS]))

    def read_outbound(self, packet: bytes) -> PacketHeader:
        """Read the header of a packet to a caller; its flow key is the inbound one.

        Raises
        ------
        PacketError
            If the packet is shorter than its header and payload.

        """
        key = (
            packet[_SOURCE_PORT]
            + packet[_DESTINATION]
            + packet[_DESTINATION_PORT]
            + packet[_SOURCE]
        )
        return _read_header(packet, FlowKey(key))

    def extract_destination(self, key: FlowKey) -> bytes:
        """Return the packed destination address and port of a flow."""
        return key[_KEY_DESTINATION] + key[_KEY_DESTINATION_PORT]

    def source_host(self, key: FlowKey) -> bytes:
        """Return the packed address of the caller of a flow, without its port."""
        return key[_KEY_SOURCE]

    def pack_destination(self, endpoint: Endpoint) -> bytes:
        """Return an address and port in the form of :meth:`extract_destination`."""
        return pack_host(endpoint.host) + endpoint.port.to_bytes(2, 'little')

    def is_bounced(self, packet: bytes) -> bool:
        """Return whether the backend server bounced this packet of a caller."""
        return len(packet) >= HEADER_BYTES and bool(packet[_FLAGS_OFFSET] & _WIRE_BOUNCED)

    def label(self, packet: bytes, label: bytes) -> bytes:
        """Return the packet with a label of 4 bytes."""
        return packet[: _LABEL.start] + label + packet[_LABEL.stop :]

    def read_label(self, packet: bytes) -> bytes:
        """Return the label of a bounced packet."""
        return packet[_LABEL]

    def restore_bounced(self, packet: bytes) -> bytes:
        """Return a bounced packet in the form in which the caller sent it."""
        restored = bytearray(packet)
        restored[_FLAGS_OFFSET] &= ~_WIRE_BOUNCED
        restored[_LABEL] = _NO_LABEL
        return bytes(restored)

    def syn_age_s(self, header: PacketHeader) -> float:
        """Return the seconds from the caller's first SYN to this copy of it."""
        copy_index = min(header.acknowledgement, len(_COPY_DELAYS_S) - 1)
        return _COPY_DELAYS_S[copy_index]

    def build_reset(self, key: FlowKey, sequence: int) -> bytes:
        """Return a reset toward the caller, which needs no checksum.

        Parameters
        ----------
        key
            Flow to reset.
        sequence
            Sequence number of the reset: the caller's latest acknowledgement number.

        """
        # The reset travels from the flow's destination to its source.
        endpoints = (
            _KEY_SOURCE_PORT,
            _KEY_DESTINATION,
            _KEY_DESTINATION_PORT,
            _KEY_SOURCE,
        )
        header = _RESET_HEADER.pack(sequence, _WIRE_RST)
        return header + b''.join(key[field] for field in endpoints)


def caller_host(packet: bytes) -> bytes:
    """Return the packed address of the caller to which a packet is sent."""
    return packet[_DESTINATION]


def pack_host(host: str) -> bytes:
    """Return an IPv4 address in header form: 4 bytes, little-endian."""
    return bytes(int(octet) for octet in reversed(host.split('.')))


def unpack_host(packed: bytes) -> str:
    """Return the dotted-decimal form of an IPv4 address in a header."""
    return '.'.join(str(octet) for octet in reversed(packed))


def _read_header(packet: bytes, key: FlowKey) -> PacketHeader:
    try:
        fields = _HEADER.unpack_from(packet)
    except struct_error as error:
        raise PacketError('packet is shorter than its 32-byte header') from error
    payload_size = fields[2]
    if len(packet) < HEADER_BYTES + payload_size:
        raise PacketError('packet is shorter than its header and payload')
    return PacketHeader(
        key,
        _TCP_FLAGS[fields[4]],
        fields[0],
        fields[1],
        HEADER_BYTES,
        payload_size,
    )
