"""Detection of pauses of the process."""


class PauseDetector:
    """Detects packets that may have been queued while the process was paused.

    Parameters
    ----------
    threshold_s
        Seconds between two events above which the process counts as paused.
    backlog_s
        Seconds after a pause in which packets may stem from the backlog.

    """

    def __init__(self, threshold_s: float, backlog_s: float) -> None:
        self._threshold_s = threshold_s
        self._backlog_s = backlog_s
        self._last_event_at: float | None = None
        self._backlog_until = float('-inf')

    def record_event(self, now: float) -> None:
        """Record that an event is handled; starts the backlog period after a pause."""
        if (
            self._last_event_at is not None
            and now > self._last_event_at + self._threshold_s
        ):
            self._backlog_until = now + self._backlog_s
        self._last_event_at = now

    def may_have_waited(self, now: float) -> bool:
        """Return whether a packet handled now may have been queued during a pause."""
        return now < self._backlog_until
