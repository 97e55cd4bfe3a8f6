"""Flows and requests that occupy a backend server, as counted by its agent."""

from math import inf
from typing import Final

from persimmonreach.core import FlowKey

# The request of a caller arrives one round trip between zones (12 ms) after the
# SYN-ACK of the backend server; the rest allows for busy processes on the path.
# Some callers have timed out by then and send no request, so the flow is no
# longer counted.
MAX_OPENING_AGE_S: Final = 0.06
# A flow without a response for this time is no longer counted, so that callers
# that disappear during a request do not block the backend server.
MAX_REQUEST_AGE_S: Final = 4
# The time to the request of a new flow depends mostly on the distance of its caller.
_OPENING_SAMPLE_WEIGHT: Final = 0.06


class OutstandingRequests:
    """Flows that are being opened or wait for a response.

    A flow that was just admitted counts as a request, since its caller sends one
    as soon as the flow is open.
    """

    def __init__(self) -> None:
        # Time at which each flow was added, in seconds; both are ordered by time.
        self._opening: dict[FlowKey, float] = {}
        self._requests: dict[FlowKey, float] = {}
        self._opening_s: float = 0

    @property
    def opening_s(self) -> float:
        """Average time from the admission of a flow to its request, in seconds.

        0 before the first request.
        """
        return self._opening_s

    @property
    def next_expiry_at(self) -> float:
        """Time at which the next flow is no longer counted; infinite if there is none."""
        return min(
            _first_time(self._opening) + MAX_OPENING_AGE_S,
            _first_time(self._requests) + MAX_REQUEST_AGE_S,
        )

    def count(self, now: float) -> int:
        """Return the number of flows that occupy the backend server."""
        _remove_until(self._opening, now - MAX_OPENING_AGE_S)
        _remove_until(self._requests, now - MAX_REQUEST_AGE_S)
        return len(self._opening) + len(self._requests)

    def add_admitted(self, key: FlowKey, now: float) -> None:
        """Add a new flow whose caller has not sent a request yet."""
        self._opening[key] = now

    def add_request(self, key: FlowKey, now: float) -> None:
        """Add a request; keep the time of an earlier request of the flow."""
        admitted_at = self._opening.pop(key, None)
        if admitted_at is not None:
            difference_s = now - admitted_at - self._opening_s
            weight = _OPENING_SAMPLE_WEIGHT if self._opening_s else 1
            self._opening_s += weight * difference_s
        self._requests.setdefault(key, now)

    def discard(self, key: FlowKey) -> None:
        """Remove a flow that got its response or has ended."""
        self._opening.pop(key, None)
        self._requests.pop(key, None)


def _first_time(added_at: dict[FlowKey, float]) -> float:
    return next(iter(added_at.values()), inf)


def _remove_until(added_at: dict[FlowKey, float], cutoff: float) -> None:
    while added_at:
        key = next(iter(added_at))
        if added_at[key] > cutoff:
            return
        added_at.pop(key)
