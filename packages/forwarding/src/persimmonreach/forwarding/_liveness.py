"""Liveness of the backend server beside an agent."""

from math import inf
from typing import Final

# A backend server responds to a SYN at once. It is probed if it sends nothing within
# this time after a SYN, or after a packet that is delivered for a packet query.
SYN_RESPONSE_TIMEOUT_S: Final = 0.03
# A request takes tens of milliseconds. The backend server is probed if it sends
# nothing for this time while a request waits.
REQUEST_RESPONSE_TIMEOUT_S: Final = 0.2
# A backend server without traffic is probed if no report arrives for this time.
STATUS_TIMEOUT_S: Final = 2.5
MIN_PROBE_INTERVAL_S: Final = 0.2


class BackendLiveness:
    """Schedules probes of the backend server.

    A crashed backend server sends nothing, and the delivery of a packet to it
    reports no error. Only a refused connection reveals the crash.
    """

    def __init__(self) -> None:
        self._is_up: bool | None = None
        # Time of the latest packet, report or accepted connection.
        self._last_checked_at = -inf
        self._response_due_at = inf
        self._next_probe_at: float = 0
        self._is_probing = False

    @property
    def is_down(self) -> bool:
        """Whether a probe showed that the server is down, without activity since."""
        return self._is_up is False

    @property
    def wake_at(self) -> float:
        """Time at which a probe may be due."""
        if self._is_probing:
            return inf
        if self._is_up is not True:
            return self._next_probe_at
        due_at = min(self._response_due_at, self._last_checked_at + STATUS_TIMEOUT_S)
        return max(due_at, self._next_probe_at)

    def record_activity(self, now: float) -> None:
        """Record a packet or report of the backend server, or an accepted connection."""
        self._is_up = True
        self._last_checked_at = now
        self._response_due_at = inf

    def expect_response(self, timeout_s: float, now: float) -> None:
        """Schedule a probe if nothing arrives within ``timeout_s``."""
        self._response_due_at = min(self._response_due_at, now + timeout_s)

    def start_probe_if_due(self, now: float) -> bool:
        """Start a probe if one is due; return whether it was started.

        No other probe is due until its result is recorded.
        """
        if now < self.wake_at:
            return False
        self._is_probing = True
        self._next_probe_at = now + MIN_PROBE_INTERVAL_S
        return True

    def record_probe_result(self, is_up: bool | None, now: float) -> bool:
        """Record the result of a probe; return whether the backend server went down.

        Parameters
        ----------
        is_up
            Whether the backend server accepts connections; None if the probe has
            no result, which does not prove that the backend server is down.
        now
            Current time, in seconds.

        """
        self._is_probing = False
        self._response_due_at = inf
        if is_up:
            self.record_activity(now)
            return False
        if is_up is None:
            return False
        went_down = self._is_up is not False
        self._is_up = False
        return went_down
