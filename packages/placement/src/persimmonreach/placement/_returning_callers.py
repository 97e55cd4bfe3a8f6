"""Callers that were rejected shortly before.

Load pattern: more requests than a service can carry, where the retries of rejected
callers add to the load. Agents admit them after first attempts.
"""

from collections import OrderedDict
from typing import Final, NamedTuple

from persimmonreach.core import FlowKey

RETURN_PERIOD_S: Final = 2
MAX_RETURNING_CALLERS: Final = 4096


class _Rejection(NamedTuple):
    key: FlowKey
    at: float


class ReturningCallers:
    """Addresses of the callers that were rejected within ``RETURN_PERIOD_S``."""

    def __init__(self) -> None:
        self._rejections: OrderedDict[bytes, _Rejection] = OrderedDict()

    def __len__(self) -> int:
        """Return the number of addresses."""
        return len(self._rejections)

    def record_rejection(self, source: bytes, key: FlowKey, now: float) -> None:
        """Record that a flow was rejected.

        Parameters
        ----------
        source
            Packed address of the caller; empty if it is not known.
        key
            Key of the rejected flow.
        now
            Current time, in seconds.

        """
        self._expire(now)
        if not source:
            return
        self._rejections.pop(source, None)
        self._rejections[source] = _Rejection(key, now)
        if len(self._rejections) > MAX_RETURNING_CALLERS:
            self._rejections.popitem(last=False)

    def is_retry(self, source: bytes, key: FlowKey, now: float) -> bool:
        """Return whether a new flow is a retry of a rejected one.

        A copy of the rejected SYN has the key of the rejected flow and is no retry.
        """
        self._expire(now)
        rejection = self._rejections.get(source)
        return rejection is not None and rejection.key != key

    def has_rejected(self, source: bytes, key: FlowKey, now: float) -> bool:
        """Return whether this flow is the latest one of its caller to be rejected."""
        self._expire(now)
        rejection = self._rejections.get(source)
        return rejection is not None and rejection.key == key

    def _expire(self, now: float) -> None:
        while self._rejections:
            source = next(iter(self._rejections))
            if now - self._rejections[source].at <= RETURN_PERIOD_S:
                return
            self._rejections.pop(source)
