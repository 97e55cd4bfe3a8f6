"""Packet format of TCP segments in IPv4 packets."""

from ipaddress import IPv4Address
from typing import Final

from persimmonreach.core import Endpoint, FlowKey
from persimmonreach.packets._format import PacketFormat
from persimmonreach.packets._header import RST, Ipv4TcpCodec, PacketHeader, Segment
from persimmonreach.packets.builder import (
    build_inbound,
    build_outbound,
    build_reset_response,
)

# The last 6 bytes of an IPv4 flow key: address and port of the service.
_KEY_DESTINATION: Final = slice(-6, None)
# The address of the caller follows the protocol number.
_KEY_SOURCE: Final = slice(1, 5)
_NO_LABEL: Final = b''


class Ipv4Packets(Ipv4TcpCodec, PacketFormat):
    """TCP segments (RFC 9293) in IPv4 packets (RFC 791).

    A backend server resets unknown flows instead of bouncing their packets.
    """

    @property
    def can_bounce(self) -> bool:
        """Whether a backend server bounces packets of unknown flows."""
        return False

    @property
    def can_build_segments(self) -> bool:
        """Whether packets other than resets toward callers can be built."""
        return True

    def extract_destination(self, key: FlowKey) -> bytes:
        """Return the packed destination address and port of a flow."""
        return key[_KEY_DESTINATION]

    def source_host(self, key: FlowKey) -> bytes:
        """Return the packed address of the caller of a flow, without its port."""
        return key[_KEY_SOURCE]

    def pack_destination(self, endpoint: Endpoint) -> bytes:
        """Return an address and port as :meth:`extract_destination` returns them."""
        return IPv4Address(endpoint.host).packed + endpoint.port.to_bytes(2)

    def is_bounced(self, packet: bytes) -> bool:
        """Return False: backend servers do not bounce packets."""
        return False

    def label(self, packet: bytes, label: bytes) -> bytes:
        """Return the packet unchanged: the format has no field for a label."""
        return packet

    def read_label(self, packet: bytes) -> bytes:
        """Return an empty label: the format has no field for one."""
        return _NO_LABEL

    def restore_bounced(self, packet: bytes) -> bytes:
        """Return the packet unchanged."""
        return packet

    def build_reset(self, key: FlowKey, sequence: int) -> bytes:
        """Return a reset toward the caller."""
        return build_outbound(key, Segment(RST, sequence))

    def build_reset_response(self, header: PacketHeader) -> bytes:
        """Return the reset toward the caller in response to its packet.

        A caller accepts the reset of its SYN only if it acknowledges the SYN
        (RFC 9293, 3.10.7.3).
        """
        return build_reset_response(header)

    def build_inbound(self, key: FlowKey, segment: Segment) -> bytes:
        """Return a packet with a segment from the caller to the service."""
        return build_inbound(key, segment)

    def build_outbound(self, key: FlowKey, segment: Segment) -> bytes:
        """Return a packet with a segment from the service to the caller."""
        return build_outbound(key, segment)
