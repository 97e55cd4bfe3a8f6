"""Messages of discovery: statuses of agents and entry instances, and membership."""

from enum import IntEnum
from types import MappingProxyType
from typing import Final, NamedTuple

from persimmonreach.core import (
    AgentId,
    Endpoint,
    EntryId,
    Incarnation,
    ServiceName,
    Zone,
)


class AgentState(IntEnum):
    """Availability of an agent and its backend server for flows.

    Attributes
    ----------
    STARTING
        The backend server has not reported its state yet, or not since it was
        down.
    READY
        New flows are accepted.
    DRAINING
        The backend server is leaving: it keeps its flows and accepts no new ones.
    DOWN
        The backend server refuses connections, reports that it is down or no
        longer responds to polls; it counts as holding no flows.
    LEFT
        The backend server has ended, and its flows are lost.
    STOPPING
        The agent process ends, while the backend server continues with its flows.

    """

    STARTING = 0
    READY = 1
    DRAINING = 2
    DOWN = 3
    LEFT = 4
    STOPPING = 5


class AgentStatus(NamedTuple):
    """Periodic status of an agent, sent to each known entry instance.

    Attributes
    ----------
    agent
        Id of the agent.
    incarnation
        Number of the agent process, which differs from that of each earlier
        process of the agent.
    sequence
        Sequence number, which increases with each status of the process.
    service
        Service of the backend server.
    zone
        Availability zone of the agent.
    state
        Availability for flows.
    flows
        Number of flows that the agent holds.
    busy
        Number of flows with a request that waits for its response.
    slots
        Number of requests that the backend server processes concurrently.
    cold_ms
        Remaining time for which the backend server is cold, in milliseconds.
    version
        Highest version of the configuration that an entry instance has reported.
    period_ms
        Interval between two statuses to the same entry instance, in milliseconds.

    """

    agent: AgentId
    incarnation: Incarnation
    sequence: int
    service: ServiceName
    zone: Zone
    state: AgentState
    flows: int = 0
    busy: int = 0
    slots: int = 1
    cold_ms: int = 0
    version: int = 0
    period_ms: int = 500


class EntryStatus(NamedTuple):
    """Status of an entry instance, sent to agents as a response, a probe or an update.

    Attributes
    ----------
    entry
        Id of the entry instance.
    zone
        Availability zone of the entry instance.
    version
        Version of the configuration in force at the entry instance.
    zones_out
        Availability zones that are out of service in its rules.
    acknowledged_sequence
        Sequence number of the agent's status that this one acknowledges; 0 if
        none.
    leaving
        Whether the process is about to end.
    incarnation
        Random number generated at the start of the process; 0 if unknown.

    """

    entry: EntryId
    zone: Zone
    version: int = 0
    zones_out: tuple[Zone, ...] = ()
    acknowledged_sequence: int = 0
    leaving: bool = False
    incarnation: Incarnation = Incarnation(0)


class RegisteredAgent(NamedTuple):
    """Service, zone and address of an agent, from the store or from a peer."""

    agent: AgentId
    service: ServiceName
    zone: Zone
    endpoint: Endpoint


class RegisteredEntry(NamedTuple):
    """Zone and address of an entry instance, from the store or from a peer."""

    entry: EntryId
    zone: Zone
    endpoint: Endpoint


class PeerStatus(NamedTuple):
    """Summary of the state of an entry instance, sent to its peers.

    Attributes
    ----------
    entry
        Id of the sender.
    zone
        Availability zone of the sender.
    agents_hash
        Hash of the ids of the agents that are responsive at the sender.
    revision
        Revision of the store that the sender's rules reflect.
    version
        Version of the sender's configuration.
    zones_out
        Availability zones that are out of service in the sender's rules.
    watches_closely
        Whether the sender watches the store on behalf of its peers.
    response_requested
        Whether the receiver must respond with its own status.

    """

    entry: EntryId
    zone: Zone
    agents_hash: int = 0
    revision: int = 0
    version: int = 0
    zones_out: tuple[Zone, ...] = ()
    watches_closely: bool = True
    response_requested: bool = False


class PeerMembership(NamedTuple):
    """Batch of either agents or entry instances; the other field is empty.

    Attributes
    ----------
    agents
        Some of the agents that are responsive at the sender.
    entries
        Some of the known entry instances, which include the sender.

    """

    agents: tuple[RegisteredAgent, ...]
    entries: tuple[RegisteredEntry, ...]


MESSAGE_TYPES: Final = MappingProxyType(
    {10: AgentStatus, 11: EntryStatus, 12: PeerStatus, 13: PeerMembership},
)
