"""Metrics, monitoring endpoints, structured logs and the dispatch of actions."""

from persimmonreach.observability._counters import Counters, MetricSource
from persimmonreach.observability._dispatch import Dispatcher
from persimmonreach.observability._logs import EventLog
from persimmonreach.observability._metric_sources import CallbackMetricSource, sum_counts
from persimmonreach.observability._requirement_metrics import (
    AGENT_METRICS,
    ENTRY_METRICS,
    RequirementMetrics,
    list_counter_names,
)

__all__ = (
    'AGENT_METRICS',
    'ENTRY_METRICS',
    'CallbackMetricSource',
    'Counters',
    'Dispatcher',
    'EventLog',
    'MetricSource',
    'RequirementMetrics',
    'list_counter_names',
    'sum_counts',
)
