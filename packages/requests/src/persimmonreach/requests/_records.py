"""Records of the requests that an agent has seen."""

import heapq
from collections.abc import Iterator
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


class RecordTable:
    """Bounded table of records.

    Open records are never dropped. When the table is full, the oldest finished
    record loses its answer and becomes a tombstone, so that copies of its
    request still do not run.

    Parameters
    ----------
    max_records
        Open and finished records.
    max_tombstones
        Tombstones.

    """

    def __init__(self, max_records: int, max_tombstones: int) -> None:
        self._max_records = max_records
        self._max_tombstones = max_tombstones
        self._open: dict[RecordId, Record] = {}
        self._finished: dict[RecordId, Record] = {}
        self._tombstones: dict[RecordId, Record] = {}
        self._expiries: list[tuple[float, RecordId]] = []

    def __len__(self) -> int:
        """Return the number of records and tombstones."""
        return len(self._open) + len(self._finished) + len(self._tombstones)

    @property
    def has_open(self) -> bool:
        """Whether a request has no outcome yet."""
        return bool(self._open)

    def open_records(self) -> Iterator[Record]:
        """Iterate over a copy of the records without outcome."""
        return iter(tuple(self._open.values()))

    def find(self, name: RecordId) -> Record | None:
        """Return the record."""
        ended = self._finished.get(name) or self._tombstones.get(name)
        return self._open.get(name) or ended

    def add(self, record: Record) -> bool:
        """Add an open record and return whether there was room."""
        if len(self._open) + len(self._finished) >= self._max_records:
            if not self._finished or not self._has_tombstone_room:
                return False
            oldest = next(iter(self._finished))
            self._entomb(self._finished.pop(oldest))
        self._finished.pop(record.name, None)
        self._tombstones.pop(record.name, None)
        self._open[record.name] = record
        heapq.heappush(self._expiries, (record.expires_at, record.name))
        return True

    def add_tombstone(self, record: Record) -> bool:
        """Add a refused request and return whether there was room."""
        if not self._has_tombstone_room:
            return False
        self._entomb(record)
        heapq.heappush(self._expiries, (record.expires_at, record.name))
        return True

    def update(self, record: Record) -> None:
        """Replace an open record."""
        self._open[record.name] = record

    def finish(self, record: Record) -> None:
        """Keep a record that now has its verdict for copies of the request."""
        self._open.pop(record.name)
        self._finished[record.name] = record._replace(answer=AnswerParts())

    def expire(self, now: float) -> None:
        """Drop finished records of which no copy can arrive any more."""
        while self._expiries and self._expiries[0][0] <= now:
            name = heapq.heappop(self._expiries)[1]
            self._finished.pop(name, None)
            self._tombstones.pop(name, None)

    @property
    def _has_tombstone_room(self) -> bool:
        return len(self._tombstones) < self._max_tombstones

    def _entomb(self, record: Record) -> None:
        verdict = record.verdict
        if verdict.outcome is None:
            # The answer is gone, so the outcome is no longer known here.
            verdict = Verdict(Outcome.UNKNOWN, 'answer_dropped', verdict.attempt)
        self._tombstones[record.name] = record._replace(
            frame=record.frame._replace(body=b''),
            verdict=verdict,
        )


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
