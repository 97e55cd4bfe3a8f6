"""Events and actions of bucket ownership."""

from typing import NamedTuple

from persimmonreach.core import AgentId, FlowKey
from persimmonreach.packets import PacketHeader


class PacketArrived(NamedTuple):
    """A packet of the agent's service arrived.

    Attributes
    ----------
    header
        Header fields of the packet.
    packet
        The IP packet.
    hops
        Times the packet was forwarded between agents.

    """

    header: PacketHeader
    packet: bytes
    hops: int


class FlowPlaced(NamedTuple):
    """The choice that :class:`Admit` asked for has been made.

    Attributes
    ----------
    key
        The new flow.
    holder
        Agent that accepted the flow; None if no agent accepted it.

    """

    key: FlowKey
    holder: AgentId | None


class LocalFlowEnded(NamedTuple):
    """A flow of the local backend server has ended."""

    key: FlowKey


class LocalFlowsAdopted(NamedTuple):
    """A restarted agent read these open flows from its backend server."""

    keys: tuple[FlowKey, ...]


class Admit(NamedTuple):
    """Action: choose a backend server for the first packet of a flow."""

    header: PacketHeader
    packet: bytes


class DeliverLocal(NamedTuple):
    """Action: hand the packet to the flow of the local backend server."""

    header: PacketHeader
    packet: bytes


class ResetCaller(NamedTuple):
    """Action: answer the caller's packet with a reset."""

    header: PacketHeader


class EndLocalFlow(NamedTuple):
    """Action: reset a local flow toward both ends."""

    key: FlowKey
    reason: str


class ResetFlow(NamedTuple):
    """Action: reset the caller of a flow that no agent may serve any more.

    Ownership keeps no sequence numbers of the flow, so the reset waits for
    the caller's next packet if the task has none either.
    """

    key: FlowKey
