"""Share of retries in the admissions to a backend server.

Load pattern: more requests than a service can carry, where the retries of rejected
callers would take the place of first attempts.
"""

from collections import Counter

from persimmonreach.queueing._model import (
    FIRST_ATTEMPTS_PER_RETRY,
    ClassRank,
    WaitingFlow,
)


class RetryShare:
    """Decides when a retry is admitted before first attempts that wait.

    A retry yields only to first attempts of its own class and of more urgent ones.
    """

    def __init__(self) -> None:
        self._waiting_first_attempts: Counter[int] = Counter()
        self._first_attempts_since_retry = FIRST_ATTEMPTS_PER_RETRY

    def may_admit_retry(self, rank: ClassRank) -> bool:
        """Return whether a retry of a class may be admitted now."""
        if self._first_attempts_since_retry >= FIRST_ATTEMPTS_PER_RETRY:
            return True
        return not any(
            count and priority <= rank.priority
            for priority, count in self._waiting_first_attempts.items()
        )

    def record_waiting(self, flow: WaitingFlow) -> None:
        """Record that a flow begins to wait."""
        self._waiting_first_attempts[flow.rank.priority] += not flow.is_retry

    def record_removal(self, flow: WaitingFlow) -> None:
        """Record that a flow waits no longer."""
        self._waiting_first_attempts[flow.rank.priority] -= not flow.is_retry

    def record_admission(self, flow: WaitingFlow) -> None:
        """Record the admission of a flow."""
        if flow.is_retry:
            self._first_attempts_since_retry = 0
        else:
            self._first_attempts_since_retry += 1
