"""Search for the agent that holds a flow."""

from persimmonreach.lookup._events import HolderFound, HolderMissing, SearchHolder
from persimmonreach.lookup._search import HolderSearch
from persimmonreach.lookup.messages import (
    FlowFound,
    FlowMissing,
    PacketReturned,
    QueriedPacket,
)

__all__ = (
    'FlowFound',
    'FlowMissing',
    'HolderFound',
    'HolderMissing',
    'HolderSearch',
    'PacketReturned',
    'QueriedPacket',
    'SearchHolder',
)
