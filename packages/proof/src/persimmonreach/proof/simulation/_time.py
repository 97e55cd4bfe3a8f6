"""Event scheduler in virtual time."""

import heapq
from collections.abc import Callable
from itertools import count
from typing import Any, TypeAlias

from persimmonreach.core import ManualClock

# Due time, sequence number that orders calls due at the same time, callback and its
# arguments.
_ScheduledCall: TypeAlias = tuple[float, int, Callable[..., None], Any]


class Scheduler:
    """Runs callbacks in the order of their due times, without waiting."""

    def __init__(self) -> None:
        self._clock = ManualClock()
        self._sequence_numbers = count()
        self._queue: list[_ScheduledCall] = []

    @property
    def now(self) -> float:
        """Current virtual time in seconds."""
        return self._clock.now()

    def call_later(
        self, delay_s: float, callback: Callable[..., None], *arguments: Any
    ) -> None:
        """Schedule ``callback`` to be called in ``delay_s`` seconds."""
        scheduled = (
            self.now + delay_s,
            next(self._sequence_numbers),
            callback,
            arguments,
        )
        heapq.heappush(self._queue, scheduled)

    def run_until(self, end: float) -> None:
        """Run all callbacks due by ``end``, then set the clock to it."""
        while self._queue and self._queue[0][0] <= end:
            due_at, _, callback, arguments = heapq.heappop(self._queue)
            self._clock.advance(max(0, due_at - self.now))
            callback(*arguments)
        self._clock.advance(max(0, end - self.now))
