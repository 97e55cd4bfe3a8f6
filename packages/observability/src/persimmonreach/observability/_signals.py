"""Signals of a process."""

import signal
from collections.abc import Callable
from typing import Any

import gevent
from gevent.event import Event

from persimmonreach.observability._logs import EventLog


class StopSignal:
    """Set by SIGTERM or SIGINT.

    SIGHUP has the settings read again, and what came of it logged.

    Parameters
    ----------
    logger
        Logger of the process.
    reload
        Reads the settings again and returns what came of it.

    """

    def __init__(self, logger: EventLog, reload: Callable[[], str]) -> None:
        self._reload = reload
        self._event = Event()
        self._logger = logger
        self._handlers: list[Any] = [
            gevent.signal_handler(signal.SIGTERM, self._event.set),
            gevent.signal_handler(signal.SIGINT, self._event.set),
            gevent.signal_handler(signal.SIGHUP, self._on_reload),
        ]

    def wait(self) -> None:
        """Wait for the signal."""
        self._event.wait()

    def _on_reload(self) -> None:
        self._logger.info('reload', outcome=self._reload())
