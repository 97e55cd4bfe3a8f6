"""Events and actions of discovery."""

from typing import NamedTuple

from persimmonreach.core import Endpoint, Zone
from persimmonreach.discovery.messages import AgentState, RegisteredAgent, RegisteredEntry


class AgentsDiscovered(NamedTuple):
    """Event: agents were read from the store or received from a peer.

    Attributes
    ----------
    agents
        Agents, some of which may be known already.
    is_complete
        Whether these are all registered agents.

    """

    agents: tuple[RegisteredAgent, ...]
    is_complete: bool = True


class EntriesDiscovered(NamedTuple):
    """Event: the registered entry instances were read from the store."""

    entries: tuple[RegisteredEntry, ...]


class LoadChanged(NamedTuple):
    """Event: the state or the load of the local backend server has changed.

    Attributes
    ----------
    state
        Availability for flows; a change is sent to entry instances immediately.
    flows
        Number of flows that the agent holds.
    busy
        Number of flows with a request that waits for its response.
    slots
        Number of requests that the backend server processes concurrently.
    cold_ms
        Remaining time for which the backend server is cold, in milliseconds.

    """

    state: AgentState
    flows: int = 0
    busy: int = 0
    slots: int = 1
    cold_ms: int = 0


class RulesRefreshed(NamedTuple):
    """Event: the rules in force at this entry instance have changed.

    Attributes
    ----------
    revision
        Revision of the store that the rules reflect.
    version
        Version of the configuration.
    zones_out
        Availability zones that are out of service.

    """

    revision: int
    version: int
    zones_out: tuple[Zone, ...]


class RefreshRegistrations(NamedTuple):
    """Action: read the registrations again, since an agent is unresponsive."""


class PeersChanged(NamedTuple):
    """Action: the addresses of the other entry instances have changed."""

    endpoints: tuple[Endpoint, ...]


class ZonesReported(NamedTuple):
    """Action: an entry instance reported its configuration.

    Attributes
    ----------
    version
        Version of the configuration.
    zones_out
        Availability zones that are out of service.

    """

    version: int
    zones_out: tuple[Zone, ...]
