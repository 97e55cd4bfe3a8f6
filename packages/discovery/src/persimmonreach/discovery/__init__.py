"""Agents and entry instances that know each other."""

from persimmonreach.discovery._announcer import StatusAnnouncer
from persimmonreach.discovery._directory import AgentDirectory
from persimmonreach.discovery._events import (
    AgentsDoubted,
    AgentsListed,
    EntriesListed,
    LoadChanged,
    PeersChanged,
    RulesSeen,
    ZonesReported,
)
from persimmonreach.discovery._peers import EntryPeers
from persimmonreach.discovery._registration import (
    AGENTS_PREFIX,
    ENTRIES_PREFIX,
    PROCESSES_PREFIX,
    Registration,
    decode_agent,
    decode_entry,
    encode_agent,
    encode_entry,
)
from persimmonreach.discovery._rows import AgentRow
from persimmonreach.discovery.messages import (
    AgentState,
    AgentStatus,
    EntryStatus,
    ListedAgent,
    ListedEntry,
    PeerRows,
    PeerStatus,
)

__all__ = (
    'PeerStatus',
    'PeersChanged',
    'PROCESSES_PREFIX',
    'PeerRows',
    'RulesSeen',
    'EntryPeers',
    'AGENTS_PREFIX',
    'ENTRIES_PREFIX',
    'AgentDirectory',
    'AgentRow',
    'AgentState',
    'AgentStatus',
    'AgentsDoubted',
    'AgentsListed',
    'EntriesListed',
    'EntryStatus',
    'ListedAgent',
    'ListedEntry',
    'LoadChanged',
    'Registration',
    'StatusAnnouncer',
    'ZonesReported',
    'decode_agent',
    'decode_entry',
    'encode_agent',
    'encode_entry',
)
