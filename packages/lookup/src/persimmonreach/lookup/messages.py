"""Messages of the search for the agent that holds a flow."""

from types import MappingProxyType
from typing import Final, NamedTuple

from persimmonreach.core import AgentId, FlowKey


class QueriedPacket(NamedTuple):
    """A packet of a flow whose holder the entry instance does not know.

    The holder delivers it and answers ``FlowFound``; the others answer
    ``FlowMissing``.
    """

    packet: bytes


class FlowFound(NamedTuple):
    """The flow is held by this agent, which has delivered the packet."""

    key: FlowKey
    agent: AgentId


class FlowMissing(NamedTuple):
    """The flow is not held by this agent."""

    key: FlowKey
    agent: AgentId


class PacketReturned(NamedTuple):
    """A packet of a flow that the agent was thought to hold, and does not."""

    agent: AgentId
    packet: bytes


MESSAGE_TYPES: Final = MappingProxyType(
    {30: QueriedPacket, 31: FlowFound, 32: FlowMissing, 33: PacketReturned},
)
