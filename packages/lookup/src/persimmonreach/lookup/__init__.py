"""Search for the agent that holds a flow."""

from persimmonreach.lookup._directories import FlowDirectory
from persimmonreach.lookup._events import (
    EntriesChanged,
    FindHolder,
    HolderFound,
    HolderNotFound,
)
from persimmonreach.lookup._publisher import (
    DirectoryProcess,
    FlowPublisher,
    PublishRound,
)
from persimmonreach.lookup._search import SEARCH_TIMEOUT_S, HolderSearch
from persimmonreach.lookup.messages import (
    FlowFound,
    FlowNotFound,
    FlowsPublished,
    FlowsQuery,
    FlowsResponse,
    FlowUnconfirmed,
    HolderQuery,
    HolderResponse,
    PacketQuery,
    PacketReturned,
)

__all__ = (
    'SEARCH_TIMEOUT_S',
    'DirectoryProcess',
    'EntriesChanged',
    'FindHolder',
    'FlowDirectory',
    'FlowFound',
    'FlowNotFound',
    'FlowPublisher',
    'FlowUnconfirmed',
    'FlowsPublished',
    'FlowsQuery',
    'FlowsResponse',
    'HolderFound',
    'HolderNotFound',
    'HolderQuery',
    'HolderResponse',
    'HolderSearch',
    'PacketQuery',
    'PacketReturned',
    'PublishRound',
)
