"""Monotonic clocks."""

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
    """System clock that also advances while the instance is suspended.

    ``CLOCK_BOOTTIME`` includes the time of a suspension, so a lease that expires
    during a suspension is detected as expired afterwards.
    """

    def now(self) -> float:
        """Return the seconds since the instance booted, including suspensions."""
        return time.clock_gettime(time.CLOCK_BOOTTIME)


@final
class ManualClock(Clock):
    """Clock that is advanced explicitly, for tests and the fault matrix.

    Parameters
    ----------
    start
        Initial time in seconds.

    """

    def __init__(self, start: float = 0) -> None:
        self._now_s = start

    def now(self) -> float:
        """Return the initial time plus all advances, in seconds."""
        return self._now_s

    def advance(self, seconds: float) -> None:
        """Advance the clock by ``seconds``."""
        self._now_s += seconds
