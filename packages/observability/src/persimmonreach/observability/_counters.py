"""Counters and gauges of a process, rendered for each scrape.

A labelled increment in the metrics library takes 6 us. Tasks therefore increment plain
integers, and the library only renders them.
"""

from abc import ABC, abstractmethod
from collections import Counter
from collections.abc import Iterable, Mapping
from typing import Final

_METRIC_PREFIX: Final = 'persimmonreach_'


class MetricSource(ABC):
    """Component of a process whose metrics are read at each scrape."""

    @abstractmethod
    def counters(self) -> Mapping[str, int]:
        """Return the values of the counters by metric name, without the prefix."""

    @abstractmethod
    def gauges(self) -> Mapping[str, float]:
        """Return the current values of the gauges by metric name, without the prefix."""


class Counters:
    """Counters of a process, combined with the metrics of registered sources.

    Counters of the same name are added up. Names have no prefix; it is added when
    the metrics are rendered.

    Parameters
    ----------
    initial_counters
        Names of the counters that are published with 0 from the start.

    """

    def __init__(self, initial_counters: Iterable[str] = ()) -> None:
        self._counts: Counter[str] = Counter(dict.fromkeys(initial_counters, 0))
        self._sources: list[MetricSource] = []

    def add(self, name: str, amount: int = 1) -> None:
        """Increment the counter ``name`` by ``amount``."""
        self._counts[name] += amount

    def register(self, source: MetricSource) -> None:
        """Include the metrics of ``source`` in each scrape."""
        self._sources.append(source)

    def snapshot(self) -> dict[str, float]:
        """Return the values of all counters and gauges by name."""
        metrics: dict[str, float] = dict(self._sum_counters())
        for source in self._sources:
            metrics.update(source.gauges())
        return metrics

    def render(self, accept: str) -> tuple[bytes, Mapping[str, str]]:
        """Render all metrics in a Prometheus exposition format.

        Parameters
        ----------
        accept
            Value of the ``Accept`` header of the request, which selects the format.

        Returns
        -------
        tuple[bytes, Mapping[str, str]]
            Body and HTTP headers of the response.

        """
        # Imported at the first scrape to keep the start of the process short.
        from aioprometheus import Counter as CounterMetric
        from aioprometheus import Gauge as GaugeMetric
        from aioprometheus import Registry
        from aioprometheus.renderer import render

        registry = Registry()
        for name, count in sorted(self._sum_counters().items()):
            metric = CounterMetric(_METRIC_PREFIX + name, name, registry=registry)
            metric.set({}, count)
        for name, value in sorted(self._merge_gauges().items()):
            gauge = GaugeMetric(_METRIC_PREFIX + name, name, registry=registry)
            gauge.set({}, value)
        content, headers = render(registry, [accept])
        return content, headers

    def _merge_gauges(self) -> dict[str, float]:
        """Return all gauges; of two with one name, that of the later source."""
        gauges: dict[str, float] = {}
        for source in self._sources:
            gauges.update(source.gauges())
        return gauges

    def _sum_counters(self) -> Counter[str]:
        counts = Counter(self._counts)
        for source in self._sources:
            counts.update(source.counters())
        return counts
