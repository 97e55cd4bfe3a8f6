"""Slots that the attempts at the local backend server hold."""

from typing import Final, NamedTuple

from persimmonreach.admission import AttemptResult, ConcurrencyLimit
from persimmonreach.core import FlowKey
from persimmonreach.requests._records import RecordId

_NEVER: Final = float('inf')


class AttemptId(NamedTuple):
    """Identity of an attempt toward the backend server."""

    key: FlowKey
    request_id: bytes
    attempt: int


class _Slot(NamedTuple):
    owner: RecordId
    started_at: float
    result: AttemptResult = AttemptResult.COMPLETED
    release_at: float = _NEVER


class AttemptSlots:
    """Attempts that hold a slot.

    An abandoned attempt keeps its slot for a short time, because the backend
    server may still be running it.

    Parameters
    ----------
    limit
        Limit on the attempts that run at once.

    """

    def __init__(self, limit: ConcurrencyLimit) -> None:
        self._limit = limit
        self._slots: dict[AttemptId, _Slot] = {}

    @property
    def limit(self) -> ConcurrencyLimit:
        """Limit on the attempts that run at once."""
        return self._limit

    @property
    def in_use(self) -> int:
        """Slots held, including those of abandoned attempts."""
        return len(self._slots)

    def owner(self, attempt: AttemptId) -> RecordId | None:
        """Return the record that waits for ``attempt``."""
        slot = self._slots.get(attempt)
        if slot is None or slot.release_at < _NEVER:
            return None
        return slot.owner

    def start(self, attempt: AttemptId, owner: RecordId, now: float) -> bool:
        """Take a slot and return whether one was free."""
        if attempt in self._slots or not self._limit.try_acquire(now):
            return False
        self._slots[attempt] = _Slot(owner, now)
        return True

    def end(self, attempt: AttemptId, result: AttemptResult, now: float) -> bool:
        """Free the slot of ``attempt`` and return whether it held one."""
        slot = self._slots.pop(attempt, None)
        if slot is None:
            return False
        if slot.release_at < _NEVER:
            result = slot.result
        self._limit.release(result, now - slot.started_at, now)
        return True

    def abandon(
        self,
        attempt: AttemptId,
        result: AttemptResult,
        release_at: float,
    ) -> None:
        """Free the slot at ``release_at`` unless the attempt ends before."""
        slot = self._slots.get(attempt)
        if slot is not None:
            kept = slot._replace(result=result, release_at=release_at)
            self._slots[attempt] = kept

    def expire(self, now: float) -> None:
        """Free the slots of abandoned attempts that are due."""
        due = [attempt for attempt, slot in self._slots.items() if slot.release_at <= now]
        for attempt in due:
            self.end(attempt, AttemptResult.TIMED_OUT, now)

    def end_all(self, now: float) -> None:
        """Free all slots, because the backend server is gone."""
        for attempt in tuple(self._slots):
            self.end(attempt, AttemptResult.TIMED_OUT, now)
