"""Exponential backoff between retries."""

from random import Random
from typing import Final

INITIAL_BACKOFF_S: Final = 0.2


class Backoff:
    """Exponential backoff with jitter.

    The wait doubles with every retry up to ``cap_s``; the jitter shortens each
    wait by up to a half.

    Parameters
    ----------
    cap_s
        Longest wait after the first one, in seconds.
    random
        Source of the jitter.

    """

    def __init__(self, cap_s: float, random: Random) -> None:
        self._cap_s = cap_s
        self._random = random
        self._next_wait_s = INITIAL_BACKOFF_S

    def reset(self) -> None:
        """Reset to the initial wait, after a successful call."""
        self._next_wait_s = INITIAL_BACKOFF_S

    def next_wait(self) -> float:
        """Return the wait before the next retry, in seconds, and double the one after."""
        wait_s = self._next_wait_s
        self._next_wait_s = min(2 * wait_s, self._cap_s)
        return self._random.uniform(wait_s / 2, wait_s)
