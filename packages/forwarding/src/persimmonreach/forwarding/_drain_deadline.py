"""Deadline of a draining backend server."""


class DrainDeadline:
    """Measures for how long the backend server has been draining."""

    def __init__(self) -> None:
        self._draining_since: float | None = None

    def is_exceeded(self, *, is_draining: bool, limit_s: float, now: float) -> bool:
        """Return whether the backend server has been draining for too long.

        Parameters
        ----------
        is_draining
            Whether the backend server is draining or has left.
        limit_s
            Maximum time in seconds; 0 if there is no limit.
        now
            Current time, in seconds.

        """
        if not is_draining:
            self._draining_since = None
            return False
        if self._draining_since is None:
            self._draining_since = now
        return bool(limit_s) and now >= self._draining_since + limit_s
