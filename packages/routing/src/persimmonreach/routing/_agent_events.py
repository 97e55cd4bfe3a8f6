"""Events of an agent's packet path."""

from typing import NamedTuple

from persimmonreach.core import FlowKey


class BackendPacketArrived(NamedTuple):
    """Event: the backend server sent an IP packet toward a caller."""

    packet: bytes


class ConnectionsRead(NamedTuple):
    """Event: the backend server listed its open connections."""

    keys: tuple[FlowKey, ...]


class BackendServerLost(NamedTuple):
    """Event: the backend server no longer answers its health endpoint."""


class DrainRequested(NamedTuple):
    """Event: the agent is asked to stop gracefully."""
