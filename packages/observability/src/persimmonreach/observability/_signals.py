"""Handlers of the signals that a process receives."""

import signal
from collections.abc import Callable
from typing import Any

import gevent
from gevent.event import Event

from persimmonreach.observability._logs import EventLog


class SignalHandlers:
    """Signal handlers of a process; SIGTERM and SIGINT end ``wait_for_stop``.

    SIGHUP calls ``reload`` and logs its result.

    Parameters
    ----------
    logger
        Log of the process.
    reload
        Reloads the settings and returns the outcome for the log.

    """

    def __init__(self, logger: EventLog, reload: Callable[[], str]) -> None:
        self._reload = reload
        self._stop_requested = Event()
        self._logger = logger
        self._handlers: list[Any] = [
            gevent.signal_handler(signal.SIGTERM, self._stop_requested.set),
            gevent.signal_handler(signal.SIGINT, self._stop_requested.set),
            gevent.signal_handler(signal.SIGHUP, self._handle_sighup),
        ]

    def wait_for_stop(self) -> None:
        """Block the calling greenlet until SIGTERM or SIGINT is received."""
        self._stop_requested.wait()

    def _handle_sighup(self) -> None:
        self._logger.info('reload', outcome=self._reload())
