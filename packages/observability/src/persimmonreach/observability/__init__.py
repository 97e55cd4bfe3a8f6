"""Counters, health endpoints and structured logs."""

from persimmonreach.observability._counters import Counters, CounterSource
from persimmonreach.observability._dispatch import Dispatcher
from persimmonreach.observability._figures import TaskFigures, add_counts
from persimmonreach.observability._logs import configure_logs, log_state_change
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
    'Promise',
    'TaskFigures',
    'add_counts',
    'configure_logs',
    'log_state_change',
    'promised_counters',
)
