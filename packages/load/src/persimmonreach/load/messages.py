"""Message with which an agent reports the load of its backend server."""

from types import MappingProxyType
from typing import Final, NamedTuple

from persimmonreach.core import AgentId, Incarnation


class AgentLoad(NamedTuple):
    """Load of a backend server, sent after a status of its agent.

    Attributes
    ----------
    agent
        Id of the agent.
    incarnation
        Incarnation of the agent process, as in its statuses.
    sequence
        Sequence number of the status that this message follows.
    service_ms
        Learned service time of one request in milliseconds; 0 while unknown.
    occupying
        Smoothed number of flows that are being opened or wait for a response.
    waiting
        Number of flows that wait for admission.
    stream_rate
        Requests per second on flows that have carried more than one request.
    requests
        Requests that were completed or have failed, as a decaying sum with a half-life
        of one second.
    failures
        Requests that have failed, as a decaying sum with the same half-life.

    """

    agent: AgentId
    incarnation: Incarnation
    sequence: int
    service_ms: float = 0
    occupying: float = 0
    waiting: int = 0
    stream_rate: float = 0
    requests: float = 0
    failures: float = 0


MESSAGE_TYPES: Final = MappingProxyType({15: AgentLoad})
