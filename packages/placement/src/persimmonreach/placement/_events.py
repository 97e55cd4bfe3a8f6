"""Events and actions of placement."""

from typing import NamedTuple

from persimmonreach.core import AgentId, FlowKey, Zone
from persimmonreach.rules import ServiceLimits


class PlaceFlow(NamedTuple):
    """Event: a new flow needs a backend server.

    Attributes
    ----------
    key
        Flow.
    limits
        Service that the flow is meant for, and its limits.
    packet
        First packet, or the first copy of it that arrived.
    age_s
        Seconds since the caller sent the first packet.

    """

    key: FlowKey
    limits: ServiceLimits
    packet: bytes
    age_s: float = 0


class ZonesChanged(NamedTuple):
    """Event: these availability zones are out of service."""

    zones_out: frozenset[Zone]


class FlowPlaced(NamedTuple):
    """Action: the flow is held by this agent."""

    key: FlowKey
    agent: AgentId


class FlowRejected(NamedTuple):
    """Action: no backend server takes the flow; nothing has run."""

    key: FlowKey
    packet: bytes
