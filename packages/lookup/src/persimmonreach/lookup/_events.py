"""Events and actions of the search for the holder of a flow."""

from typing import NamedTuple

from persimmonreach.core import AgentId, FlowKey, ServiceName
from persimmonreach.discovery import RegisteredEntry


class FindHolder(NamedTuple):
    """Event: a packet of a flow whose holder is unknown has arrived.

    Attributes
    ----------
    key
        Key of the flow.
    service
        Service that gets new flows of the destination address; its agents are
        queried before those of other services.
    packet
        Packet as received from the caller.
    not_held_by
        Agent that is already known not to hold the flow; None if there is none.

    """

    key: FlowKey
    service: ServiceName
    packet: bytes
    not_held_by: AgentId | None = None


class EntriesChanged(NamedTuple):
    """Event: the known entry instances have changed; this instance is among them."""

    entries: tuple[RegisteredEntry, ...]


class HolderFound(NamedTuple):
    """Action: ``agent`` holds the flow.

    Attributes
    ----------
    key
        Key of the flow.
    agent
        Holder of the flow.
    packets
        Packets queued during the search that the holder has not received.

    """

    key: FlowKey
    agent: AgentId
    packets: tuple[bytes, ...]


class HolderNotFound(NamedTuple):
    """Action: every agent that may hold flows has responded negatively.

    Attributes
    ----------
    key
        Key of the flow.
    packet
        Latest packet of the caller.

    """

    key: FlowKey
    packet: bytes
