"""Service time of a backend server, learned from its responses.

Load pattern: backend servers of different speed, and such that become slower or faster.
"""

from typing import Final, NamedTuple

from persimmonreach.core import FlowKey
from persimmonreach.flows import MAX_REQUEST_AGE_S

_HALF_LIFE_RESPONSES: Final = 16
_SAMPLE_WEIGHT: Final = 1 - 0.5 ** (1 / _HALF_LIFE_RESPONSES)
# A response counts as at most this number of times the average. A request that was
# lost and sent again then moves the average by an eighth, and a backend server that
# has become slower is still followed, since the bound grows with the average.
_MAX_SAMPLE_RATIO: Final = 4
# Shortest time that a response can take; the average must not become 0.
_MIN_SAMPLE_S: Final = 0.0001
# Number of responses within which a long first response is corrected at once.
_FIRST_RESPONSES: Final = 8
# Share of the latency objective that one request is assumed to take before the first
# response. With a larger share, no request could be queued within the objective.
_PRIOR_SHARE: Final = 1 / 6


class _OutstandingRequest(NamedTuple):
    started_at: float
    ahead: int
    ended_before: int


class ServiceTimeEstimator:
    """Average time that a slot of the backend server takes for one request.

    The time to the response is divided by the number of requests that each slot
    processes until then. The requests ahead are those that were outstanding when the
    request arrived; flows that are being opened are not ahead of it. A response that
    arrives while all slots must still be busy with these is ignored: the backend server
    has rejected the request, and rejections must not make it look fast.
    """

    def __init__(self) -> None:
        self._slots = 0
        self._outstanding: dict[FlowKey, _OutstandingRequest] = {}
        self._average_s: float = 0
        self._deviation_s: float = 0
        self._response_count = 0
        self._ended_count = 0

    @property
    def average_s(self) -> float:
        """Average service time in seconds; 0 before the first response."""
        return self._average_s

    @property
    def deviation_s(self) -> float:
        """Mean deviation from the average, in seconds."""
        return self._deviation_s

    def service_s(self, objective_s: float) -> float:
        """Return the expected service time of a request, in seconds.

        Parameters
        ----------
        objective_s
            Latency objective of the request in seconds, from which the result is
            derived before the first response.

        """
        return self._average_s or objective_s * _PRIOR_SHARE

    def set_slots(self, slots: int) -> None:
        """Set the number of concurrent requests; 0 if it is not known.

        Without it, the time to a response counts as service time.
        """
        self._slots = slots

    def start_request(self, key: FlowKey, now: float) -> None:
        """Record the start of the request of a flow."""
        self._discard_expired(now)
        self.discard_request(key)
        self._outstanding[key] = _OutstandingRequest(
            now, len(self._outstanding), self._ended_count
        )

    def finish_request(self, key: FlowKey, now: float) -> None:
        """Learn from the response to the request of a flow.

        A request that was outstanding for longer than ``MAX_REQUEST_AGE_S`` is ignored:
        it or its response was lost, or its caller has vanished.
        """
        self._discard_expired(now)
        request = self._outstanding.pop(key, None)
        if request is None:
            return
        ended = self._ended_count - request.ended_before
        self._ended_count += 1
        if not self._slots or ended > request.ahead - self._slots:
            elapsed_s = max(_MIN_SAMPLE_S, now - request.started_at)
            self._learn(elapsed_s / self._rounds(request.ahead))

    def discard_request(self, key: FlowKey) -> None:
        """Forget the request of a flow, which gets no response."""
        if self._outstanding.pop(key, None) is not None:
            self._ended_count += 1

    def reset(self) -> None:
        """Forget everything about a former process of the backend server."""
        self._outstanding.clear()
        self._average_s = 0
        self._deviation_s = 0
        self._response_count = 0

    def _rounds(self, ahead: int) -> float:
        """Return how many service times a request takes with ``ahead`` before it."""
        if not self._slots:
            return 1
        return 1 + max(0, ahead + 1 - self._slots) / self._slots

    def _learn(self, sample_s: float) -> None:
        self._response_count += 1
        if self._response_count == 1:
            self._average_s = sample_s
            return
        if self._response_count <= _FIRST_RESPONSES:
            self._average_s = min(self._average_s, _MAX_SAMPLE_RATIO * sample_s)
        bounded_s = min(sample_s, _MAX_SAMPLE_RATIO * self._average_s)
        # All of the first responses count alike.
        weight = max(_SAMPLE_WEIGHT, 1 / self._response_count)
        difference_s = bounded_s - self._average_s
        self._average_s += weight * difference_s
        self._deviation_s += weight * (abs(difference_s) - self._deviation_s)

    def _discard_expired(self, now: float) -> None:
        """Discard requests that do not count as outstanding any more."""
        cutoff = now - MAX_REQUEST_AGE_S
        while self._outstanding:
            key = next(iter(self._outstanding))
            if self._outstanding[key].started_at > cutoff:
                return
            self.discard_request(key)
