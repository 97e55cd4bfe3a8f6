"""Identifiers of instances, services, availability zones and flows."""

from typing import NamedTuple, NewType

AgentId = NewType('AgentId', str)
EntryId = NewType('EntryId', str)
ServiceId = NewType('ServiceId', int)
ServiceName = NewType('ServiceName', str)
BucketId = NewType('BucketId', int)
Incarnation = NewType('Incarnation', int)
Zone = NewType('Zone', str)

# Packed addresses and ports of the caller and of the service. The layout depends on
# the packet format: 13 bytes with the protocol in IPv4 packets, 12 bytes on the
# platform.
FlowKey = NewType('FlowKey', bytes)


class Endpoint(NamedTuple):
    """IP address and port of a UDP or TCP endpoint.

    Attributes
    ----------
    host
        IP address, not a host name: instances run without a DNS resolver.
    port
        Port number.

    """

    host: str
    port: int
