"""Load of a backend server, measured by its agent from the flows it passes.

Load pattern: backend servers that are busy, slow or failing while the number of their
flows is like that of all others.
"""

from math import log
from typing import Final

from persimmonreach.core import FlowKey
from persimmonreach.flows import RequestObserver
from persimmonreach.load._decay import DecayingSum, SmoothedLevel
from persimmonreach.load._service_time import ServiceTimeEstimator
from persimmonreach.load.messages import AgentLoad

# Half-life of the counts of requests and failures.
COUNT_HALF_LIFE_S: Final = 1.0
# Long enough for a few requests, and short against the period of messages, in which a
# queue fills or empties.
_OCCUPYING_HALF_LIFE_S: Final = 0.1
_MS_PER_S: Final = 1000
_DECIMALS: Final = 2
# From here on, whole numbers are accurate to 2% and take one to three bytes.
_MIN_WHOLE_NUMBER: Final = 32


class LoadMeter(RequestObserver):
    """Measures service time, occupancy, streams and failures of a backend server."""

    def __init__(self) -> None:
        self._estimator = ServiceTimeEstimator()
        self._occupying = SmoothedLevel(_OCCUPYING_HALF_LIFE_S)
        self._stream_requests = DecayingSum(COUNT_HALF_LIFE_S)
        self._requests = DecayingSum(COUNT_HALF_LIFE_S)
        self._failures = DecayingSum(COUNT_HALF_LIFE_S)

    @property
    def estimator(self) -> ServiceTimeEstimator:
        """Estimator of the service time."""
        return self._estimator

    def stream_rate(self, now: float) -> float:
        """Return the requests per second on flows that have had an earlier request."""
        return self._stream_requests.total_at(now) * log(2) / COUNT_HALF_LIFE_S

    def on_opening(self, key: FlowKey, now: float) -> None:
        """Do nothing, since a flow that is being opened has no request yet."""

    def on_request(
        self, key: FlowKey, occupying: int, now: float, *, is_repeated: bool = False
    ) -> None:
        """Record the start of a request."""
        self._occupying.observe(occupying, now)
        self._estimator.start_request(key, now)
        if is_repeated:
            self._stream_requests.add(1, now)

    def on_response(self, key: FlowKey, now: float) -> None:
        """Record the response to the request of a flow."""
        self._requests.add(1, now)
        self._estimator.finish_request(key, now)

    def on_failure(self, key: FlowKey, now: float) -> None:
        """Record that the request of a flow ended without a response."""
        self._estimator.discard_request(key)
        self.record_failure(now)

    def on_abandoned(self, key: FlowKey) -> None:
        """Record that the outcome of the request of a flow stays unknown."""
        self._estimator.discard_request(key)

    def record_failure(self, now: float) -> None:
        """Count a failure that shows in no packet: a missing response.

        A later response to the same request counts as another request.
        """
        self._requests.add(1, now)
        self._failures.add(1, now)

    def observe_occupying(self, occupying: int, now: float) -> None:
        """Record the number of flows that are being opened or wait for a response."""
        self._occupying.observe(occupying, now)

    def reset(self) -> None:
        """Forget what was learned from a former process of the backend server."""
        self._estimator.reset()
        self._stream_requests.clear()
        self._requests.clear()
        self._failures.clear()

    def complete(self, load: AgentLoad, now: float) -> AgentLoad:
        """Return ``load`` with all fields that are measured here."""
        return load._replace(
            service_ms=_round(self._estimator.average_s * _MS_PER_S),
            occupying=_round(self._occupying.level),
            stream_rate=_round(self.stream_rate(now)),
            requests=_round(self._requests.total_at(now)),
            failures=_round(self._failures.total_at(now)),
        )


def _round(amount: float) -> float:
    """Round to the accuracy of messages, in which whole numbers take fewer bytes."""
    if amount >= _MIN_WHOLE_NUMBER:
        return round(amount)
    rounded = round(amount, _DECIMALS)
    return int(rounded) if rounded == int(rounded) else rounded
