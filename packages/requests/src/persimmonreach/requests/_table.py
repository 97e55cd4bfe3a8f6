"""Bounded table of the requests that an agent has seen."""

import heapq
from collections.abc import Iterator

from persimmonreach.packets import Outcome
from persimmonreach.requests._answers import AnswerParts
from persimmonreach.requests._records import Record, RecordId, Verdict


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
    max_answer_bytes
        Size of all answers that are kept.

    """

    def __init__(
        self,
        max_records: int,
        max_tombstones: int,
        max_answer_bytes: int,
    ) -> None:
        self._max_records = max_records
        self._max_tombstones = max_tombstones
        self._max_answer_bytes = max_answer_bytes
        self._answer_bytes = 0
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
            if not self._drop_oldest_answer():
                return False
        self._drop_finished(record.name)
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
        self._answer_bytes += len(record.verdict.body)
        while self._answer_bytes > self._max_answer_bytes:
            if not self._drop_oldest_answer():
                return

    def postpone(self, seconds: float) -> None:
        """Keep all records longer, after a pause of the process."""
        self._expiries = [(due + seconds, name) for due, name in self._expiries]

    def expire(self, now: float) -> None:
        """Drop finished records of which no copy can arrive any more."""
        while self._expiries and self._expiries[0][0] <= now:
            name = heapq.heappop(self._expiries)[1]
            self._drop_finished(name)
            self._tombstones.pop(name, None)

    @property
    def _has_tombstone_room(self) -> bool:
        return len(self._tombstones) < self._max_tombstones

    def _drop_oldest_answer(self) -> bool:
        oldest = next(iter(self._finished.values()), None)
        if oldest is None or not self._has_tombstone_room:
            return False
        self._drop_finished(oldest.name)
        self._entomb(oldest)
        return True

    def _drop_finished(self, name: RecordId) -> None:
        record = self._finished.pop(name, None)
        if record is not None:
            self._answer_bytes -= len(record.verdict.body)

    def _entomb(self, record: Record) -> None:
        verdict = record.verdict
        if verdict.outcome is None:
            # The answer is gone, so the outcome is no longer known here.
            verdict = Verdict(Outcome.UNKNOWN, 'answer_dropped', verdict.attempt)
        self._tombstones[record.name] = record._replace(
            frame=record.frame._replace(body=b''),
            verdict=verdict,
        )
