"""Structured logs: one JSON line for each change of state."""

import logging
import sys

import structlog

from persimmonreach.core import StateChange


def configure_logs(instance: str) -> structlog.typing.FilteringBoundLogger:
    """Send JSON lines to standard output and return the process's logger."""
    structlog.configure(
        processors=[
            structlog.processors.add_log_level,
            structlog.processors.TimeStamper(fmt='iso', utc=True),
            structlog.processors.JSONRenderer(),
        ],
        wrapper_class=structlog.make_filtering_bound_logger(logging.INFO),
        logger_factory=structlog.PrintLoggerFactory(sys.stdout),
    )
    return structlog.get_logger().bind(instance=instance)


def log_state_change(
    logger: structlog.typing.FilteringBoundLogger,
    change: StateChange,
) -> None:
    """Write one line for a change of state."""
    logger.info(change.event, subject=change.subject, detail=change.detail)
