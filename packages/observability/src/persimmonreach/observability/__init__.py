"""Counters, health endpoints and structured logs."""

from persimmonreach.observability._counters import Counters, CounterSource
from persimmonreach.observability._dispatch import Dispatcher
from persimmonreach.observability._figures import TaskFigures, add_counts
from persimmonreach.observability._logs import EventLog
from persimmonreach.observability._promises import (
    AGENT_PROMISES,
    ENTRY_PROMISES,
    Promise,
    promised_counters,
)

__all__ = (
    'AGENT_PROMISES',
    'ENTRY_PROMISES',
    'CounterSource',
    'Counters',
    'Dispatcher',
    'EventLog',
    'Promise',
    'TaskFigures',
    'add_counts',
    'promised_counters',
)
