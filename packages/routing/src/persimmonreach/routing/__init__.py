"""Routing table of an entry instance, and the packet path of an agent."""

from persimmonreach.routing._agent import AgentRouter
from persimmonreach.routing._agent_events import (
    BackendPacketArrived,
    BackendServerLost,
    ConnectionsRead,
    DrainRequested,
)
from persimmonreach.routing._entry import (
    EntryRouter,
    Forward,
    RouteDropped,
    RouteExplanation,
)
from persimmonreach.routing._packet_path import Codecs
from persimmonreach.routing._parts import AgentParts
from persimmonreach.routing._state import AgentState

__all__ = (
    'AgentParts',
    'AgentRouter',
    'AgentState',
    'BackendPacketArrived',
    'BackendServerLost',
    'Codecs',
    'ConnectionsRead',
    'DrainRequested',
    'EntryRouter',
    'Forward',
    'RouteDropped',
    'RouteExplanation',
)
