"""Search for the agent that holds a flow."""

from persimmonreach.lookup._directories import FlowDirectory
from persimmonreach.lookup._events import (
    EntriesChanged,
    HolderFound,
    HolderMissing,
    SearchHolder,
)
from persimmonreach.lookup._publisher import (
    DirectoryProcess,
    HoldingsPublisher,
    PublishRound,
)
from persimmonreach.lookup._search import HolderSearch
from persimmonreach.lookup.messages import (
    FlowFound,
    FlowMissing,
    FlowsAnswered,
    FlowsQueried,
    HolderAsked,
    HolderTold,
    HoldingsPublished,
    PacketReturned,
    QueriedPacket,
)

__all__ = (
    'DirectoryProcess',
    'EntriesChanged',
    'FlowDirectory',
    'FlowFound',
    'FlowMissing',
    'FlowsAnswered',
    'FlowsQueried',
    'HolderAsked',
    'HolderFound',
    'HolderMissing',
    'HolderSearch',
    'HolderTold',
    'HoldingsPublished',
    'HoldingsPublisher',
    'PacketReturned',
    'PublishRound',
    'QueriedPacket',
    'SearchHolder',
)
