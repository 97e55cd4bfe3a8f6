"""Metrics that are read from the tasks of a process."""

from collections import Counter
from collections.abc import Callable, Mapping

from persimmonreach.observability._counters import MetricSource


class CallbackMetricSource(MetricSource):
    """Metric source that calls a function for each kind of metric.

    Parameters
    ----------
    read_counters
        Returns the values of the counters by metric name.
    read_gauges
        Returns the current values of the gauges by metric name.

    """

    def __init__(
        self,
        read_counters: Callable[[], Mapping[str, int]],
        read_gauges: Callable[[], Mapping[str, float]],
    ) -> None:
        self._read_counters = read_counters
        self._read_gauges = read_gauges

    def counters(self) -> Mapping[str, int]:
        """Return the values of the counters by metric name."""
        return self._read_counters()

    def gauges(self) -> Mapping[str, float]:
        """Return the current values of the gauges by metric name."""
        return self._read_gauges()


def sum_counts(*sources: Mapping[str, int]) -> Counter[str]:
    """Add up the counts of each name; several tasks may count under the same name."""
    total: Counter[str] = Counter()
    for source in sources:
        total.update(source)
    return total
