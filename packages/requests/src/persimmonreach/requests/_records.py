"""Records of the requests that an agent has seen."""

from enum import StrEnum
from typing import Final, NamedTuple

from persimmonreach.core import AgentId, Endpoint, FlowKey
from persimmonreach.membership import Member
from persimmonreach.packets import Outcome, RequestFrame
from persimmonreach.requests._answers import AnswerParts

_MS_PER_S: Final = 1000


class RequestState(StrEnum):
    """Progress of a request."""

    QUEUED = 'queued'
    RUNNING = 'running'
    ELSEWHERE = 'elsewhere'
    DONE = 'done'


class RecordId(NamedTuple):
    """Identity of a record.

    Attributes
    ----------
    key, request_id
        Flow of the request and its id within the flow.
    origin, attempt
        For an attempt on behalf of another agent: that agent and the attempt.

    """

    key: FlowKey
    request_id: bytes
    origin: AgentId = AgentId('')
    attempt: int = 0


class Verdict(NamedTuple):
    """Final outcome of a request.

    Attributes
    ----------
    outcome
        What is known of a request without answer; None if it was answered.
    reason
        Reason of the refusal.
    attempt
        Attempt that ended the request.
    body
        Content of the answer.

    """

    outcome: Outcome | None
    reason: str
    attempt: int
    body: bytes = b''


class Ends(NamedTuple):
    """Longest deadline in milliseconds, and lifetime of copies in seconds."""

    largest_deadline_ms: int
    copy_lifetime_s: float


class Record(NamedTuple):
    """One request, or one attempt on behalf of another agent.

    Attributes
    ----------
    name
        Identity of the record.
    frame
        The request.
    deadline
        Time of the local clock at which the caller gives up, in seconds.
    expires_at
        Time until which copies of the request may arrive.
    answer
        Parts of the answer of the present attempt.
    state
        Progress.
    attempt
        Number of the last attempt.
    may_have_run
        Whether an attempt has not been proved not to have run.
    cancelled_at
        Time at which the caller cancelled the request.
    gives_up_at
        Time at which the running attempt is given up.
    origin
        Where to send the outcome of an attempt for another agent.
    target
        Agent that runs the present attempt.
    sent_at
        Time at which ``target`` was asked last.
    tried
        Agents that have been asked.
    verdict
        Final outcome.

    """

    name: RecordId
    frame: RequestFrame
    deadline: float
    expires_at: float
    gives_up_at: float
    answer: AnswerParts
    state: RequestState = RequestState.QUEUED
    attempt: int = 0
    may_have_run: bool = False
    cancelled_at: float | None = None
    origin: Endpoint | None = None
    target: Member | None = None
    sent_at: float = 0
    tried: frozenset[AgentId] = frozenset()
    verdict: Verdict | None = None

    @property
    def is_cancelled(self) -> bool:
        """Whether the caller has cancelled the request."""
        return self.cancelled_at is not None


def open_record(name: RecordId, frame: RequestFrame, now: float, ends: Ends) -> Record:
    """Return the record of a request that has just arrived."""
    deadline = now + min(frame.deadline_ms, ends.largest_deadline_ms) / _MS_PER_S
    return Record(
        name=name,
        frame=frame,
        deadline=deadline,
        expires_at=deadline + ends.copy_lifetime_s,
        gives_up_at=deadline,
        answer=AnswerParts(),
    )
