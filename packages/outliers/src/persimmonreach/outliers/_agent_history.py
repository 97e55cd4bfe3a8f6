"""Ejections and restarts of one backend server."""

from collections import deque
from math import inf
from typing import Final

from persimmonreach.discovery import AgentState
from persimmonreach.load import AgentLoad
from persimmonreach.outliers._criteria import MIN_RECOVERIES, Evidence

MIN_EJECTION_S: Final = 1
MAX_EJECTION_S: Final = 16
# Earlier ejections are forgotten after this time without one.
FORGET_AFTER_S: Final = 30
# Share of its choices that an agent gets at its return, and the time until it gets all.
INITIAL_CHOICE_SHARE: Final = 0.1
FULL_SHARE_AFTER_S: Final = 3
# Period in which the restarts of a backend server are counted.
RECOVERY_WINDOW_S: Final = 10
# Half-life of the sums in ``AgentLoad``.
_EVIDENCE_HALF_LIFE_S: Final = 1


class AgentHistory:
    """Ejections and restarts of one backend server, and the evidence since the last.

    An agent that has returned is judged only by requests after its return: the sums of
    its ``AgentLoad`` still contain those that led to its ejection, and its service time
    does not change while it has no requests.

    Attributes
    ----------
    is_held_off
        Whether the agent was ejected and its return has not been recorded yet.

    """

    __slots__ = (
        '_baseline',
        '_baseline_at',
        '_down_at',
        '_ejected_until',
        '_ejection_s',
        '_evidence',
        '_full_share_at',
        '_load',
        '_load_at',
        '_recovered_at',
        'is_held_off',
    )

    def __init__(self) -> None:
        self.is_held_off = False
        self._ejected_until = -inf
        self._full_share_at = -inf
        self._ejection_s: float = 0
        self._down_at = -inf
        self._recovered_at: deque[float] = deque(maxlen=MIN_RECOVERIES)
        self._load: AgentLoad | None = None
        self._load_at = -inf
        self._baseline: AgentLoad | None = None
        self._baseline_at = -inf
        self._evidence = Evidence()

    @property
    def ejected_until(self) -> float:
        """Time at which the current or latest ejection ends."""
        return self._ejected_until

    def is_ejected(self, now: float) -> bool:
        """Return whether an ejection is in progress at ``now``."""
        return now < self._ejected_until

    def choice_share(self, now: float) -> float:
        """Return the share of its choices that the agent gets, from 0 to 1."""
        if self.is_ejected(now):
            return 0
        missing_share = (self._full_share_at - now) / FULL_SHARE_AFTER_S
        return 1 - (1 - INITIAL_CHOICE_SHARE) * max(0, missing_share)

    def is_obsolete(self, now: float) -> bool:
        """Return whether nothing of the history affects later decisions."""
        last_restart_at = max(self._down_at, *self._recovered_at, -inf)
        return (
            now >= self._ejected_until + FORGET_AFTER_S
            and now >= last_restart_at + RECOVERY_WINDOW_S
        )

    def record_state(self, state: AgentState, now: float) -> None:
        """Record a state of the agent, to detect that its backend server was down."""
        if state is AgentState.DOWN:
            self._down_at = now
        elif state is AgentState.READY and self._down_at != -inf:
            self._down_at = -inf
            self._recovered_at.append(now)

    def observe(self, load: AgentLoad | None, now: float) -> Evidence:
        """Return the evidence up to the newest load of the agent.

        Parameters
        ----------
        load
            Newest load of the agent; None if it has sent none.
        now
            Current time, in seconds.

        """
        if load is not None and load != self._load:
            self._load = load
            self._load_at = now
            self._evidence = self._discount(load, now)
        window_start = now - RECOVERY_WINDOW_S
        recoveries = sum(time > window_start for time in self._recovered_at)
        return self._evidence._replace(recoveries=recoveries)

    def eject(self, now: float) -> float:
        """Start an ejection and return its duration in seconds."""
        if now >= self._ejected_until + FORGET_AFTER_S:
            self._ejection_s = 0
        self._ejection_s = min(MAX_EJECTION_S, max(MIN_EJECTION_S, 2 * self._ejection_s))
        self.is_held_off = True
        self._ejected_until = now + self._ejection_s
        self._full_share_at = self._ejected_until + FULL_SHARE_AFTER_S
        self._recovered_at.clear()
        return self._ejection_s

    def end_ejection(self, now: float) -> None:
        """End the ejection; what is known of the agent is no longer held against it."""
        self.is_held_off = False
        if self.is_ejected(now):
            # The capacity is needed, so the agent gets all of its choices at once.
            self._ejected_until = now
            self._full_share_at = now
        self._baseline = self._load
        self._baseline_at = self._load_at
        self._evidence = Evidence()

    def _discount(self, load: AgentLoad, now: float) -> Evidence:
        """Subtract what remains of the evidence from before the latest return."""
        evidence = Evidence(load.requests, load.failures, load.service_ms)
        baseline = self._baseline
        if baseline is None or baseline.incarnation != load.incarnation:
            return evidence
        remaining_share = 0.5 ** ((now - self._baseline_at) / _EVIDENCE_HALF_LIFE_S)
        return evidence._replace(
            requests=max(0, load.requests - baseline.requests * remaining_share),
            failures=max(0, load.failures - baseline.failures * remaining_share),
        )
