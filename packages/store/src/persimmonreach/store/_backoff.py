"""Waits between repeated calls."""

from random import Random
from typing import Final

FIRST_BACKOFF_S: Final = 0.2


class Backoff:
    """Waits between repeated calls: doubled up to a cap, with jitter.

    Parameters
    ----------
    cap_s
        Longest wait in seconds.
    random
        Source of the jitter.

    """

    def __init__(self, cap_s: float, random: Random) -> None:
        self._cap_s = cap_s
        self._random = random
        self._next_s = FIRST_BACKOFF_S

    def reset(self) -> None:
        """Start again with the shortest wait."""
        self._next_s = FIRST_BACKOFF_S

    def next_wait(self) -> float:
        """Return the next wait in seconds."""
        wait = self._next_s
        self._next_s = min(2 * wait, self._cap_s)
        return self._random.uniform(wait / 2, wait)
