"""Messages between the agents of a service about attempts and records."""

from enum import StrEnum
from types import MappingProxyType
from typing import Final, NamedTuple

from persimmonreach.core import AgentId, FlowKey, Incarnation, ServiceId
from persimmonreach.packets import RequestFrame


class Ending(StrEnum):
    """How an attempt at another agent ended."""

    ANSWERED = 'answered'
    NOT_RUN = 'not_run'
    UNKNOWN = 'unknown'


class RunElsewhere(NamedTuple):
    """The sender asks the receiver to run one attempt of a request.

    Attributes
    ----------
    service
        Service of the request.
    origin
        Agent that holds the flow.
    target_incarnation
        Incarnation of the receiver that the sender chose. A later incarnation
        has no records of earlier attempts and must not run the attempt.
    key
        Flow of the request.
    frame
        The request with the number of this attempt.

    """

    service: ServiceId
    origin: AgentId
    target_incarnation: Incarnation
    key: FlowKey
    frame: RequestFrame


class RunOutcome(NamedTuple):
    """Outcome of an attempt, or one part of its answer.

    Attributes
    ----------
    agent
        Agent that ran or refused the attempt.
    key, request_id, attempt
        The attempt.
    ending
        How the attempt ended.
    reason
        Reason of a refusal.
    part, parts
        Number of this part from 0, and number of parts.
    body
        Content of this part of the answer.

    """

    agent: AgentId
    key: FlowKey
    request_id: bytes
    attempt: int
    ending: Ending
    reason: str = ''
    part: int = 0
    parts: int = 1
    body: bytes = b''


class CancelElsewhere(NamedTuple):
    """The origin no longer needs the answer of an attempt."""

    origin: AgentId
    key: FlowKey
    request_id: bytes
    attempt: int


class KeepRecords(NamedTuple):
    """A stopping agent asks the receiver to keep the ids of its requests.

    Attributes
    ----------
    agent, incarnation
        Agent that stops; it runs no request any more.
    part, parts
        Number of this part from 0, and number of parts.
    digests
        8-byte hashes of flow and request id; see ``digest_of``.

    """

    agent: AgentId
    incarnation: Incarnation
    part: int
    parts: int
    digests: tuple[int, ...]


class RecordsKept(NamedTuple):
    """The sender keeps this part of the records."""

    agent: AgentId
    incarnation: Incarnation
    part: int


class WantRecords(NamedTuple):
    """A started agent asks for the records of its predecessor.

    Attributes
    ----------
    agent
        Agent that has started.
    incarnation
        Its incarnation.

    """

    agent: AgentId
    incarnation: Incarnation


class HeldRecords(NamedTuple):
    """Answer to :class:`WantRecords`.

    Attributes
    ----------
    keeper
        Agent that answers.
    incarnation
        Incarnation of the asking agent.
    asked
        Highest other incarnation that has asked the keeper; 0 if none has. It
        may have run requests.
    sealed
        Incarnation that sealed the records; 0 if the keeper has none.
    part, parts
        Number of this part from 0, and number of parts.
    digests
        As in :class:`KeepRecords`.

    """

    keeper: AgentId
    incarnation: Incarnation
    asked: Incarnation
    sealed: Incarnation = Incarnation(0)
    part: int = 0
    parts: int = 1
    digests: tuple[int, ...] = ()


MESSAGE_TYPES: Final = MappingProxyType(
    {
        70: RunElsewhere,
        71: RunOutcome,
        72: CancelElsewhere,
        73: KeepRecords,
        74: RecordsKept,
        75: WantRecords,
        76: HeldRecords,
    },
)
