"""Criteria by which a backend server stands out from the others of its service.

Load pattern: a part of the backend servers fails requests, or is several times slower,
while the health checks succeed.
"""

from collections.abc import Collection, Iterable, Mapping
from typing import Final, NamedTuple

from persimmonreach.core import AgentId

# Fewer requests than this prove neither a failing nor a slow backend server.
MIN_REQUESTS: Final = 5
MAX_FAILURE_RATIO: Final = 0.2
# Failures that all backend servers of a service have in common, such as those of a
# shared dependency, eject none of them.
MAX_MEDIAN_FAILURE_RATIO_FACTOR: Final = 3
MAX_MEDIAN_SERVICE_TIME_FACTOR: Final = 4
MIN_RECOVERIES: Final = 2


class Evidence(NamedTuple):
    """Evidence about one backend server.

    Attributes
    ----------
    requests
        Requests that were completed or have failed, as a decaying sum.
    failures
        Requests that have failed, as a decaying sum.
    service_ms
        Service time of one request in milliseconds; 0 while unknown.
    recoveries
        Number of times it was recently down and up again.

    """

    requests: float = 0
    failures: float = 0
    service_ms: float = 0
    recoveries: int = 0

    @property
    def failure_ratio(self) -> float:
        """Share of failed requests."""
        return min(1, self.failures / self.requests) if self.requests else 0


class Outlier(NamedTuple):
    """Backend server that stands out from the others of its service.

    Attributes
    ----------
    agent
        Agent of the backend server.
    reason
        Criterion that it meets, as a log detail.
    severity
        Ratio of the observed value to the limit of that criterion.

    """

    agent: AgentId
    reason: str
    severity: float


class _Limits(NamedTuple):
    failure_ratio: float
    service_ms: float


def find_outliers(evidence: Mapping[AgentId, Evidence]) -> list[Outlier]:
    """Return the agents of one service that stand out from the others, worst first."""
    limits = _derive_limits(evidence.values())
    outliers = (_judge(agent, item, limits) for agent, item in evidence.items())
    return sorted(
        (outlier for outlier in outliers if outlier is not None),
        key=lambda outlier: outlier.severity,
        reverse=True,
    )


def _judge(agent: AgentId, evidence: Evidence, limits: _Limits) -> Outlier | None:
    """Return the criterion that an agent meets; None if it meets none."""
    if evidence.recoveries >= MIN_RECOVERIES:
        return Outlier(agent, 'was down repeatedly', evidence.recoveries)
    if evidence.requests < MIN_REQUESTS:
        return None
    ratio = evidence.failure_ratio
    if ratio > limits.failure_ratio:
        return Outlier(agent, f'failure ratio {ratio:.2f}', ratio / limits.failure_ratio)
    service_ms = evidence.service_ms
    if service_ms > limits.service_ms:
        reason = f'service time {service_ms:.0f} ms'
        return Outlier(agent, reason, service_ms / limits.service_ms)
    return None


def _derive_limits(evidence: Collection[Evidence]) -> _Limits:
    ratios = (item.failure_ratio for item in evidence if item.requests >= 1)
    service_times = (item.service_ms for item in evidence if item.service_ms)
    return _Limits(
        max(MAX_FAILURE_RATIO, MAX_MEDIAN_FAILURE_RATIO_FACTOR * _median(ratios)),
        MAX_MEDIAN_SERVICE_TIME_FACTOR * _median(service_times),
    )


def _median(numbers: Iterable[float]) -> float:
    """Return the lower median, which is one of the numbers; 0 if there is none."""
    ordered = sorted(numbers)
    return ordered[(len(ordered) - 1) // 2] if ordered else 0
