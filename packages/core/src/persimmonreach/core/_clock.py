"""Sources of monotonic time."""

import time
from abc import ABC, abstractmethod
from typing import final


class Clock(ABC):
    """Source of monotonic time in seconds."""

    @abstractmethod
    def now(self) -> float:
        """Return the current monotonic time in seconds."""


@final
class MonotonicClock(Clock):
    """Clock of the operating system that also advances during suspension.

    ``CLOCK_BOOTTIME`` counts the time an instance was suspended, so that a
    lease that lapsed meanwhile is seen as lapsed.
    """

    def now(self) -> float:
        """Return the seconds since the instance booted."""
        return time.clock_gettime(time.CLOCK_BOOTTIME)


@final
class ManualClock(Clock):
    """Clock that only moves when told to; for tests and the fault matrix."""

    def __init__(self, start: float = 0) -> None:
        self._seconds = start

    def now(self) -> float:
        """Return the seconds set so far."""
        return self._seconds

    def advance(self, seconds: float) -> None:
        """Move the clock forward by ``seconds``."""
        self._seconds += seconds
