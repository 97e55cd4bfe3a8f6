"""Messages between entry instances and agents for the placement of new flows."""

from enum import IntEnum
from types import MappingProxyType
from typing import Final, NamedTuple

from persimmonreach.core import AgentId, FlowKey
from persimmonreach.rules import ServiceLimits


class RefusalReason(IntEnum):
    """Why an agent refuses a new flow.

    ``OVERLOADED`` only answers a ``ClassedOffer``, since agents and entry instances of
    earlier versions do not know it.
    """

    FULL = 1
    COLD = 2
    DRAINING = 3
    DOWN = 4
    ZONE_OUT = 5
    OTHER_SERVICE = 6
    STOPPING = 7
    BUSY = 8
    OVERLOADED = 9


class FlowOffer(NamedTuple):
    """Offer of a new flow to an agent.

    Attributes
    ----------
    limits
        Service at the destination address, and the limits of that service.
    packet
        SYN as received from the caller.
    admit_if_busy
        Whether the agent accepts the flow even if its backend server is busy.
        Set only in a second offer to an agent that refused the flow as busy: after
        several such refusals, or if no other agent is left in this round.

    """

    limits: ServiceLimits
    packet: bytes
    admit_if_busy: bool = False


class FlowAccepted(NamedTuple):
    """Acceptance of a flow: its backend server has sent a SYN-ACK.

    Attributes
    ----------
    key
        Key of the flow.
    agent
        Agent that holds the flow.
    sequence
        Initial sequence number of the backend server.

    """

    key: FlowKey
    agent: AgentId
    sequence: int


class FlowRefused(NamedTuple):
    """Refusal of a flow, none of whose requests has been processed.

    Attributes
    ----------
    key
        Key of the flow.
    agent
        Agent that refuses the flow.
    reason
        Reason for the refusal.
    load
        Number of occupying flows per slot of the backend server; 0 if its number
        of slots is not known.

    """

    key: FlowKey
    agent: AgentId
    reason: RefusalReason
    load: float = 0


MESSAGE_TYPES: Final = MappingProxyType(
    {20: FlowOffer, 21: FlowAccepted, 22: FlowRefused},
)
