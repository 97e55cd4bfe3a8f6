"""Messages about new flows that may wait for admission to a backend server."""

from types import MappingProxyType
from typing import Final, NamedTuple

from persimmonreach.core import AgentId, FlowKey
from persimmonreach.rules import ServiceLimits


class OfferedClass(NamedTuple):
    """Class of an offered flow, with times as of the sending of the offer.

    Attributes
    ----------
    priority
        Priority from 0, the most urgent, to 7.
    is_urgent
        Whether no class of the service has a better priority and another one has a
        worse one.
    objective_ms
        Milliseconds until the latency objective of the request is missed; 0 if it is
        missed already.
    open_ms
        Milliseconds until the caller gives up opening the flow.
    time_left_ms
        Milliseconds until the caller gives up its request; 0 if its class declares no
        timeout.
    is_retry
        Whether the caller was rejected shortly before.

    """

    priority: int
    is_urgent: bool = False
    objective_ms: int = 0
    open_ms: int = 0
    time_left_ms: int = 0
    is_retry: bool = False


class ClassedOffer(NamedTuple):
    """Offer of a new flow of a declared class to an agent.

    Attributes
    ----------
    limits
        Service at the destination address, and the limits of that service.
    packet
        SYN as received from the caller.
    offered_class
        Class of the flow, and the time it has left.
    may_wait
        Whether the agent may queue the flow. Otherwise it either admits the flow at
        once or defers it.

    """

    limits: ServiceLimits
    packet: bytes
    offered_class: OfferedClass
    may_wait: bool = False


class FlowQueued(NamedTuple):
    """Response: the flow waits for admission at this agent.

    Attributes
    ----------
    key
        Key of the flow.
    agent
        Agent at which the flow waits.
    wait_ms
        Expected time until the response to its request, in milliseconds.

    """

    key: FlowKey
    agent: AgentId
    wait_ms: int


class FlowDeferred(NamedTuple):
    """Response: the flow was not admitted at once, and does not wait at this agent.

    Attributes
    ----------
    key
        Key of the flow.
    agent
        Agent that deferred the flow.
    wait_ms
        Expected time until the response to its request if it waited here, in
        milliseconds.

    """

    key: FlowKey
    agent: AgentId
    wait_ms: int


class OfferWithdrawn(NamedTuple):
    """The flow was placed elsewhere or has ended; it must not wait any longer."""

    key: FlowKey


MESSAGE_TYPES: Final = MappingProxyType(
    {23: ClassedOffer, 24: FlowQueued, 25: FlowDeferred, 26: OfferWithdrawn},
)
