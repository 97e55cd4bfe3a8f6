"""Builds IPv4 flow keys and TCP/IPv4 packets, such as resets and keepalive probes."""

import ipaddress
from struct import Struct
from typing import Final, NamedTuple

import dpkt

from persimmonreach.core import Endpoint, FlowKey
from persimmonreach.packets._header import ACK, RST, PacketHeader, Segment

_TCP_PROTOCOL: Final = 6
_TIME_TO_LIVE_HOPS: Final = 64
_MAX_WINDOW_BYTES: Final = 65_535
_SEQUENCE_MODULUS: Final = 0x100000000
# Protocol, address and port of the caller, address and port of the service.
_IPV4_FLOW_KEY: Final = Struct('!B4sH4sH')


class FlowEndpoints(NamedTuple):
    """Endpoints of a flow."""

    caller: Endpoint
    service: Endpoint


def pack_flow_key(endpoints: FlowEndpoints) -> FlowKey:
    """Return the flow key of a TCP flow over IPv4."""
    return FlowKey(
        _IPV4_FLOW_KEY.pack(
            _TCP_PROTOCOL,
            ipaddress.IPv4Address(endpoints.caller.host).packed,
            endpoints.caller.port,
            ipaddress.IPv4Address(endpoints.service.host).packed,
            endpoints.service.port,
        ),
    )


def unpack_flow_key(key: FlowKey) -> FlowEndpoints:
    """Return the endpoints of an IPv4 flow key.

    Raises
    ------
    ValueError
        If the key does not have the length of an IPv4 flow key.

    """
    if len(key) != _IPV4_FLOW_KEY.size:
        raise ValueError('expected an IPv4 flow key of 13 bytes, found another length')
    _, caller, caller_port, service, service_port = _IPV4_FLOW_KEY.unpack(key)
    return FlowEndpoints(
        Endpoint(str(ipaddress.IPv4Address(caller)), caller_port),
        Endpoint(str(ipaddress.IPv4Address(service)), service_port),
    )


def is_flow_key(key: bytes) -> bool:
    """Return whether ``key`` is the key of a TCP flow over IPv4."""
    return len(key) == _IPV4_FLOW_KEY.size and key[0] == _TCP_PROTOCOL


def build_inbound(key: FlowKey, segment: Segment) -> bytes:
    """Return a packet with a segment from the caller to the service."""
    endpoints = unpack_flow_key(key)
    return _build_packet(endpoints.caller, endpoints.service, segment)


def build_outbound(key: FlowKey, segment: Segment) -> bytes:
    """Return a packet with a segment from the service to the caller."""
    endpoints = unpack_flow_key(key)
    return _build_packet(endpoints.service, endpoints.caller, segment)


def build_reset_response(header: PacketHeader) -> bytes:
    """Return the reset in response to a packet of a caller (RFC 9293, 3.10.7)."""
    if header.flags & ACK:
        segment = Segment(RST, sequence=header.acknowledgement)
    else:
        segment = Segment(
            RST | ACK,
            acknowledgement=header.next_sequence,
        )
    return build_outbound(header.key, segment)


def previous_sequence(sequence: int) -> int:
    """Return the sequence number before ``sequence``."""
    return (sequence - 1) % _SEQUENCE_MODULUS


def _build_packet(source: Endpoint, destination: Endpoint, segment: Segment) -> bytes:
    tcp = dpkt.tcp.TCP(
        sport=source.port,
        dport=destination.port,
        seq=segment.sequence,
        ack=segment.acknowledgement,
        flags=segment.flags,
        win=_MAX_WINDOW_BYTES,
        data=segment.payload,
    )
    datagram = dpkt.ip.IP(
        src=ipaddress.IPv4Address(source.host).packed,
        dst=ipaddress.IPv4Address(destination.host).packed,
        p=dpkt.ip.IP_PROTO_TCP,
        ttl=_TIME_TO_LIVE_HOPS,
        data=tcp,
    )
    datagram.len = len(datagram)
    return bytes(datagram)
