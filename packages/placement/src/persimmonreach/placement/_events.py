"""Events and actions of placement."""

from typing import NamedTuple

from persimmonreach.core import AgentId, FlowKey, Zone
from persimmonreach.rules import ClassOfService, ServiceLimits


class PlaceFlow(NamedTuple):
    """Event: a backend server is needed for a new flow.

    Attributes
    ----------
    key
        Key of the flow.
    limits
        Requested service and its limits.
    packet
        SYN as received; a retransmission of it if that arrived first.
    age_s
        Seconds since the caller first sent the SYN.
    class_of_service
        Class of the flow; None if its service declares no classes.
    source
        Packed address of the caller; empty if it is not known.

    """

    key: FlowKey
    limits: ServiceLimits
    packet: bytes
    age_s: float = 0
    class_of_service: ClassOfService | None = None
    source: bytes = b''


class ZonesChanged(NamedTuple):
    """Event: the set of availability zones that are out of service has changed."""

    zones_out: frozenset[Zone]


class FlowPlaced(NamedTuple):
    """Action: an agent has accepted the flow and holds it."""

    key: FlowKey
    agent: AgentId


class FlowRejected(NamedTuple):
    """Action: no backend server accepts the flow; no request has been processed."""

    key: FlowKey
    packet: bytes
