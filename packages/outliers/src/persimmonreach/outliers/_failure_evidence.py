"""Evidence of failures at the agent of a backend server.

Load pattern: a backend server stops responding to requests or to new flows, while its
health check succeeds.
"""

from typing import Final, final

from persimmonreach.core import FlowKey
from persimmonreach.flows import FlowTable, RequestObserver
from persimmonreach.load import LoadMeter

# A request has failed if it waits for the larger of these two.
MIN_REQUEST_TIMEOUT_S: Final = 1
REQUEST_TIMEOUT_SERVICE_TIMES: Final = 8
# The kernel of a backend server responds to a SYN without its application. The caller
# sends a copy of the SYN after 0.2 s.
SYN_TIMEOUT_S: Final = 0.3
# Maximum number of requests, and of SYNs, that are watched at the same time. More of
# them would hardly change the share of failures.
MAX_WATCHED: Final = 1024


@final
class FailureEvidence(RequestObserver):
    """Counts requests and SYNs that wait for too long as failures.

    All events are passed on to the meter of the load. A request that was counted and then
    ends without a response is passed on as abandoned, so that it counts only once.

    Parameters
    ----------
    meter
        Meter of the load of the backend server, which counts its failures.

    """

    def __init__(self, meter: LoadMeter) -> None:
        self._meter = meter
        # Time at which each was delivered, in seconds; both are ordered by time.
        self._requests: dict[FlowKey, float] = {}
        self._syns: dict[FlowKey, float] = {}
        self._overdue_requests: set[FlowKey] = set()

    def on_opening(self, key: FlowKey, now: float) -> None:
        """Record that the SYN of a new flow is delivered."""
        self._meter.on_opening(key, now)
        if len(self._syns) < MAX_WATCHED:
            self._syns[key] = now

    def on_request(
        self, key: FlowKey, occupying: int, now: float, *, is_repeated: bool = False
    ) -> None:
        """Record the start of a request."""
        self._meter.on_request(key, occupying, now, is_repeated=is_repeated)
        if len(self._requests) < MAX_WATCHED:
            self._requests[key] = now

    def on_response(self, key: FlowKey, now: float) -> None:
        """Record the response to the request of a flow."""
        self._meter.on_response(key, now)
        self._forget(key)

    def on_failure(self, key: FlowKey, now: float) -> None:
        """Record that the request of a flow ended without a response."""
        if key in self._overdue_requests:
            self._meter.on_abandoned(key)
        else:
            self._meter.on_failure(key, now)
        self._forget(key)

    def on_abandoned(self, key: FlowKey) -> None:
        """Record that the outcome of the request of a flow stays unknown."""
        self._meter.on_abandoned(key)
        self._forget(key)

    def check(self, flows: FlowTable, now: float, *, is_up: bool) -> None:
        """Count the requests and SYNs that have waited for too long.

        Parameters
        ----------
        flows
            Flows of the backend server, which show whether a SYN got a response.
        now
            Current time, in seconds.
        is_up
            Whether the backend server accepts connections. While it does not, nothing
            is counted: its state already keeps new flows away.

        """
        request_timeout_s = max(
            MIN_REQUEST_TIMEOUT_S,
            REQUEST_TIMEOUT_SERVICE_TIMES * self._meter.estimator.average_s,
        )
        overdue = _pop_until(self._requests, now - request_timeout_s)
        unanswered = [
            key
            for key in _pop_until(self._syns, now - SYN_TIMEOUT_S)
            if _is_unanswered(flows, key)
        ]
        if not is_up:
            return
        if len(self._overdue_requests) + len(overdue) > MAX_WATCHED:
            self._overdue_requests.clear()
        self._overdue_requests.update(overdue)
        for _ in range(len(overdue) + len(unanswered)):
            self._meter.record_failure(now)

    def _forget(self, key: FlowKey) -> None:
        self._requests.pop(key, None)
        self._overdue_requests.discard(key)


def _is_unanswered(flows: FlowTable, key: FlowKey) -> bool:
    flow = flows.find(key)
    return flow is not None and not flow.is_confirmed


def _pop_until(delivered_at: dict[FlowKey, float], cutoff: float) -> list[FlowKey]:
    """Remove and return the keys that were delivered up to ``cutoff``."""
    keys: list[FlowKey] = []
    while delivered_at:
        key = next(iter(delivered_at))
        if delivered_at[key] > cutoff:
            break
        delivered_at.pop(key)
        keys.append(key)
    return keys
