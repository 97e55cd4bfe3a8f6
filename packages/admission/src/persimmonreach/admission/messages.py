"""Messages between the agents of a service about new flows and load."""

from enum import StrEnum
from types import MappingProxyType
from typing import Final, NamedTuple

from persimmonreach.core import AgentId, FlowKey, Incarnation, ServiceId


class Verdict(StrEnum):
    """Answer of an agent that was asked to take a new flow."""

    ACCEPTED = 'accepted'
    FULL = 'full'
    DRAINING = 'draining'


class PlaceFlow(NamedTuple):
    """The owner of the bucket asks the receiver to take a new flow.

    Attributes
    ----------
    service
        Service of the flow.
    key
        The new flow.
    packet
        First packet of the flow.
    agent
        Agent that asks.
    incarnation
        Incarnation of the agent that asks.
    number
        Number of the choice; the same in each repetition of the message.
    target_incarnation
        Incarnation of the receiver that was chosen. Once it is over, the owner
        may have placed the flow elsewhere.

    """

    service: ServiceId
    key: FlowKey
    packet: bytes
    agent: AgentId
    incarnation: Incarnation
    number: int
    target_incarnation: Incarnation


class PlaceAnswer(NamedTuple):
    """Answer to :class:`PlaceFlow`.

    Attributes
    ----------
    key
        The new flow.
    agent
        Agent that answers.
    number
        Number of the choice that is answered.
    verdict
        Whether the flow was accepted.
    flows
        Flows on the backend server of the answering agent.
    flow_limit
        Flows that it takes at present.

    """

    key: FlowKey
    agent: AgentId
    number: int
    verdict: Verdict
    flows: int
    flow_limit: int


class LoadReport(NamedTuple):
    """Load of an agent's backend server.

    Attributes
    ----------
    agent
        Agent that reports.
    incarnation
        Its incarnation.
    flows
        Flows on its backend server.
    flow_limit
        Flows that it takes at present.
    sequence
        Rises with each report of the incarnation; a lower one is late.

    """

    agent: AgentId
    incarnation: Incarnation
    flows: int
    flow_limit: int
    sequence: int


MESSAGE_TYPES: Final = MappingProxyType({60: PlaceFlow, 61: PlaceAnswer, 62: LoadReport})
