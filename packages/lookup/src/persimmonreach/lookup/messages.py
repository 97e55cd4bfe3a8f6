"""Messages of the search for the agent that holds a flow."""

from types import MappingProxyType
from typing import Final, NamedTuple

from persimmonreach.core import AgentId, FlowKey


class PacketQuery(NamedTuple):
    """Query that carries a packet of a flow whose holder is unknown.

    The holder delivers the packet and responds with ``FlowFound``; any other
    agent responds with ``FlowNotFound``. An agent that cannot tell delivers the
    packet, responds with ``FlowUnconfirmed``, and later with ``FlowFound`` or
    ``PacketReturned``.
    """

    packet: bytes


class FlowFound(NamedTuple):
    """Positive response to ``PacketQuery``: the agent has delivered the packet.

    The backend server has shown that it holds the flow.
    """

    key: FlowKey
    agent: AgentId


class FlowNotFound(NamedTuple):
    """Negative response to ``PacketQuery``: the agent does not hold the flow."""

    key: FlowKey
    agent: AgentId


class FlowUnconfirmed(NamedTuple):
    """Indeterminate response to ``PacketQuery``: the agent has delivered the packet.

    The backend server has neither rejected it nor sent a packet of the flow.
    """

    key: FlowKey
    agent: AgentId


class PacketReturned(NamedTuple):
    """Routed packet that an agent returns because it does not hold the flow."""

    agent: AgentId
    packet: bytes


class FlowsQuery(NamedTuple):
    """Query to an agent for several flows, by their keys and without packets.

    Attributes
    ----------
    query_id
        Id of the query, repeated in the response.
    keys
        Flows to look up.

    """

    query_id: int
    keys: tuple[FlowKey, ...]


class FlowsResponse(NamedTuple):
    """Response to ``FlowsQuery``; negative for the flows that it does not list.

    Attributes
    ----------
    query_id
        Id of the query.
    agent
        Agent that sends the response.
    held
        Flows that the agent holds.
    indeterminate
        Flows of which the agent needs a packet to decide whether it holds them.

    """

    query_id: int
    agent: AgentId
    held: tuple[FlowKey, ...] = ()
    indeterminate: tuple[FlowKey, ...] = ()


class FlowsPublished(NamedTuple):
    """Open flows of an agent, published to the directories of these flows."""

    agent: AgentId
    keys: tuple[FlowKey, ...]


class HolderQuery(NamedTuple):
    """Query to a directory for the holder of a flow."""

    key: FlowKey


class HolderResponse(NamedTuple):
    """Response of a directory; ``agent`` is empty if the flow is not published."""

    key: FlowKey
    agent: AgentId


MESSAGE_TYPES: Final = MappingProxyType(
    {
        30: PacketQuery,
        31: FlowFound,
        32: FlowNotFound,
        33: PacketReturned,
        34: FlowsQuery,
        35: FlowsResponse,
        36: FlowsPublished,
        37: HolderQuery,
        38: HolderResponse,
        39: FlowUnconfirmed,
    },
)
