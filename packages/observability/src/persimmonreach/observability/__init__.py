"""Counters, health endpoints and structured logs."""

from persimmonreach.observability._counters import Counters, CounterSource
from persimmonreach.observability._logs import configure_logs, log_state_change

__all__ = ('CounterSource', 'Counters', 'configure_logs', 'log_state_change')
