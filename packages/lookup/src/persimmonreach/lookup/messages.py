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
    """The flow is held by this agent, which has delivered a queried packet."""

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


class FlowQueried(NamedTuple):
    """Question to an agent whether it holds a flow, without a packet.

    Answered by ``FlowFound``, ``FlowMissing`` or ``FlowUnsure``.
    """

    key: FlowKey


class FlowUnsure(NamedTuple):
    """Only a packet of the flow can show whether this agent holds it."""

    key: FlowKey
    agent: AgentId


class HoldingsPublished(NamedTuple):
    """Open flows that an agent holds, sent to their directories."""

    agent: AgentId
    keys: tuple[FlowKey, ...]


class HolderAsked(NamedTuple):
    """Question to a directory of a flow for its holder."""

    key: FlowKey


class HolderTold(NamedTuple):
    """Answer of a directory; ``agent`` is empty if it knows no holder."""

    key: FlowKey
    agent: AgentId


MESSAGE_TYPES: Final = MappingProxyType(
    {
        30: QueriedPacket,
        31: FlowFound,
        32: FlowMissing,
        33: PacketReturned,
        34: FlowQueried,
        35: FlowUnsure,
        36: HoldingsPublished,
        37: HolderAsked,
        38: HolderTold,
    },
)
