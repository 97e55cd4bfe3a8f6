"""Events and actions of discovery."""

from typing import NamedTuple

from persimmonreach.core import AgentId, Endpoint, EntryId, ServiceName, Zone
from persimmonreach.discovery.messages import AgentState


class ListedAgent(NamedTuple):
    """Registration of an agent in the store."""

    agent: AgentId
    service: ServiceName
    zone: Zone
    endpoint: Endpoint


class ListedEntry(NamedTuple):
    """Registration of an entry instance in the store."""

    entry: EntryId
    zone: Zone
    endpoint: Endpoint


class AgentsListed(NamedTuple):
    """Event: the registered agents were read from the store."""

    agents: tuple[ListedAgent, ...]


class EntriesListed(NamedTuple):
    """Event: the registered entry instances were read from the store."""

    entries: tuple[ListedEntry, ...]


class LoadChanged(NamedTuple):
    """Event: what the local backend server does at present.

    Attributes
    ----------
    state
        What the agent can do for new flows; a change is announced at once.
    flows
        Flows on record.
    busy
        Flows on which a request waits for its answer.
    slots
        Requests that the backend server runs at once.
    cold_ms
        Milliseconds for which the backend server stays cold.

    """

    state: AgentState
    flows: int = 0
    busy: int = 0
    slots: int = 1
    cold_ms: int = 0


class ZonesReported(NamedTuple):
    """Action: an entry instance reported its configuration.

    Attributes
    ----------
    version
        Version of the configuration.
    zones_out
        Availability zones out of service.

    """

    version: int
    zones_out: tuple[Zone, ...]
