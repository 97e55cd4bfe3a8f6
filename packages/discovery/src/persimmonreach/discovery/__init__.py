"""Discovery of agents and entry instances: registration, membership and status."""

from persimmonreach.discovery._agent_table import AgentTable
from persimmonreach.discovery._announcer import KnownEntry, StatusAnnouncer
from persimmonreach.discovery._events import (
    AgentsDiscovered,
    EntriesDiscovered,
    LoadChanged,
    PeersChanged,
    RefreshRegistrations,
    RulesRefreshed,
    ZonesReported,
)
from persimmonreach.discovery._peers import EntryPeers
from persimmonreach.discovery._records import AgentRecord
from persimmonreach.discovery._registration import (
    AGENTS_PREFIX,
    ENTRIES_PREFIX,
    PROCESSES_PREFIX,
    Registration,
)
from persimmonreach.discovery.codecs import (
    decode_agent,
    decode_entry,
    encode_agent,
    encode_entry,
)
from persimmonreach.discovery.messages import (
    AgentState,
    AgentStatus,
    EntryStatus,
    PeerMembership,
    PeerStatus,
    RegisteredAgent,
    RegisteredEntry,
)

__all__ = (
    'AGENTS_PREFIX',
    'ENTRIES_PREFIX',
    'PROCESSES_PREFIX',
    'AgentRecord',
    'AgentState',
    'AgentStatus',
    'AgentTable',
    'AgentsDiscovered',
    'EntriesDiscovered',
    'EntryPeers',
    'EntryStatus',
    'KnownEntry',
    'LoadChanged',
    'PeerMembership',
    'PeerStatus',
    'PeersChanged',
    'RefreshRegistrations',
    'RegisteredAgent',
    'RegisteredEntry',
    'Registration',
    'RulesRefreshed',
    'StatusAnnouncer',
    'ZonesReported',
    'decode_agent',
    'decode_entry',
    'encode_agent',
    'encode_entry',
)
