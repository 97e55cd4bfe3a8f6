"""Medians of the loads of a service."""

from collections.abc import Iterable, Mapping
from typing import Final, NamedTuple

from persimmonreach.core import AgentId, ServiceName
from persimmonreach.load.messages import AgentLoad

# The medians of a service are computed at most once in this time.
REFRESH_INTERVAL_S: Final = 0.25
_MS_PER_S: Final = 1000


class LoadMedians(NamedTuple):
    """Medians of the newest messages of a service.

    Attributes
    ----------
    service_s
        Service time in seconds; 0 if no agent has reported one.
    occupying
        Flows that are being opened, wait for a response or wait for admission.
    stream_rate
        Requests per second on flows that have carried more than one request.

    """

    service_s: float = 0
    occupying: float = 0
    stream_rate: float = 0


class _CachedMedians(NamedTuple):
    medians: LoadMedians
    expire_at: float


class MedianCache:
    """Medians of services, each computed at most once per ``REFRESH_INTERVAL_S``."""

    def __init__(self) -> None:
        self._cached: dict[ServiceName, _CachedMedians] = {}

    def find(
        self, service: ServiceName, loads: Mapping[AgentId, AgentLoad], now: float
    ) -> LoadMedians:
        """Return the medians of a service, computed from ``loads`` if they are due."""
        cached = self._cached.get(service)
        if cached is not None and now < cached.expire_at:
            return cached.medians
        if not loads:
            return LoadMedians()
        medians = _compute_medians(loads)
        self._cached[service] = _CachedMedians(medians, now + REFRESH_INTERVAL_S)
        return medians

    def discard(self, service: ServiceName) -> None:
        """Forget the medians of a service."""
        self._cached.pop(service, None)


def _compute_medians(loads: Mapping[AgentId, AgentLoad]) -> LoadMedians:
    known_ms = (load.service_ms for load in loads.values() if load.service_ms)
    return LoadMedians(
        _median(known_ms) / _MS_PER_S,
        _median(load.occupying + load.waiting for load in loads.values()),
        _median(load.stream_rate for load in loads.values()),
    )


def _median(amounts: Iterable[float]) -> float:
    """Return the median; 0 of no amounts."""
    ordered = sorted(amounts)
    if not ordered:
        return 0
    middle = len(ordered) // 2
    return (ordered[middle] + ordered[~middle]) / 2
