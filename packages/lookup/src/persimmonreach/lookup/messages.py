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


class FlowsQueried(NamedTuple):
    """Question to an agent which of some flows it holds, without packets.

    Attributes
    ----------
    number
        Number of the question, repeated in the answer.
    keys
        Flows that are searched for.

    """

    number: int
    keys: tuple[FlowKey, ...]


class FlowsAnswered(NamedTuple):
    """Answer to ``FlowsQueried``; all flows that it does not name are missing.

    Attributes
    ----------
    number
        Number of the question.
    agent
        Agent that answers.
    held
        Flows that it holds.
    unsure
        Flows of which only a packet can show whether it holds them.

    """

    number: int
    agent: AgentId
    held: tuple[FlowKey, ...] = ()
    unsure: tuple[FlowKey, ...] = ()


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
        34: FlowsQueried,
        35: FlowsAnswered,
        36: HoldingsPublished,
        37: HolderAsked,
        38: HolderTold,
    },
)
