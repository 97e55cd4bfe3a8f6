"""Messages that place a new flow."""

from enum import IntEnum
from types import MappingProxyType
from typing import Final, NamedTuple

from persimmonreach.core import AgentId, FlowKey, ServiceName


class RefusalReason(IntEnum):
    """Why an agent does not take a new flow."""

    FULL = 1
    COLD = 2
    DRAINING = 3
    DOWN = 4
    ZONE_OUT = 5
    OTHER_SERVICE = 6


class FirstPacket(NamedTuple):
    """First packet of a flow, offered to an agent.

    Attributes
    ----------
    service
        Service that the entry instance found for the destination.
    cold_per_s
        New flows a second that a cold backend server of the service bears; 0
        if no limit is declared.
    packet
        Packet as it came from the caller.

    """

    service: ServiceName
    cold_per_s: float
    packet: bytes


class FlowAccepted(NamedTuple):
    """The backend server has answered the first packet of a flow.

    Attributes
    ----------
    key
        Flow.
    agent
        Agent that holds the flow.
    sequence
        Sequence number that the backend server begins with.

    """

    key: FlowKey
    agent: AgentId
    sequence: int


class FlowRefused(NamedTuple):
    """The agent does not take the flow; nothing has run."""

    key: FlowKey
    agent: AgentId
    reason: RefusalReason


MESSAGE_TYPES: Final = MappingProxyType(
    {20: FirstPacket, 21: FlowAccepted, 22: FlowRefused},
)
