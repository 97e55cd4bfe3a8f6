"""Signs of life of the backend server beside an agent."""

from math import inf
from typing import Final

# A backend server answers a first packet at once; nothing at all for this time
# after one is a reason to probe it.
FIRST_PACKET_WAIT_S: Final = 0.03
# Requests take tens of milliseconds each; nothing at all for this time while
# one waits is a reason to probe it.
REQUEST_WAIT_S: Final = 0.2
# A backend server without traffic is probed if its reports stay away this long.
REPORT_WAIT_S: Final = 2.5
# Shortest time between two probes.
PROBE_PERIOD_S: Final = 0.2


class BackendLiveness:
    """Decides when the backend server has to be probed.

    A crashed backend server sends nothing, and no error tells that a packet
    was not taken; only a refused connection shows it.
    """

    def __init__(self) -> None:
        self._is_up: bool | None = None
        self._heard_at = -inf
        self._expected_at = inf
        self._probe_at: float = 0
        self._is_probing = False

    @property
    def is_down(self) -> bool:
        """Whether the backend server refused its latest probe."""
        return self._is_up is False

    @property
    def wake_at(self) -> float:
        """Time at which a probe may be due."""
        if self._is_probing:
            return inf
        if self._is_up is not True:
            return self._probe_at
        expected = min(self._expected_at, self._heard_at + REPORT_WAIT_S)
        return max(expected, self._probe_at)

    def is_heard_since(self, at: float) -> bool:
        """Whether the backend server is up and gave a sign of life after ``at``."""
        return self._is_up is True and self._heard_at >= at

    def note_heard(self, now: float) -> None:
        """Take note of a packet or report of the backend server."""
        self._is_up = True
        self._heard_at = now
        self._expected_at = inf

    def expect_answer(self, wait_s: float, now: float) -> None:
        """Note that the backend server has something to answer."""
        self._expected_at = min(self._expected_at, now + wait_s)

    def take_due(self, now: float) -> bool:
        """Return whether to probe now; a probe is under way from then on."""
        if now < self.wake_at:
            return False
        self._is_probing = True
        self._probe_at = now + PROBE_PERIOD_S
        return True

    def note_probe(self, is_up: bool | None, now: float) -> bool:
        """Take the result of a probe; return whether it shows a crash."""
        self._is_probing = False
        self._expected_at = inf
        if is_up:
            self.note_heard(now)
            return False
        if is_up is None:
            return False
        is_change = self._is_up is not False
        self._is_up = False
        return is_change
