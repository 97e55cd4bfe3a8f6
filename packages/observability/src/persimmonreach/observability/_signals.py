"""Signals of a process."""

import signal
from typing import Any

import gevent
from gevent.event import Event

from persimmonreach.observability._logs import EventLog


class StopSignal:
    """Set by SIGTERM or SIGINT.

    SIGHUP is refused with a log line: settings are read at the start only, so
    that an instance never runs with a mixture of old and new ones. Restart the
    process to change them; configurations of services need no restart.

    Parameters
    ----------
    logger
        Logger of the process.

    """

    def __init__(self, logger: EventLog) -> None:
        self._event = Event()
        self._logger = logger
        self._handlers: list[Any] = [
            gevent.signal_handler(signal.SIGTERM, self._event.set),
            gevent.signal_handler(signal.SIGINT, self._event.set),
            gevent.signal_handler(signal.SIGHUP, self._refuse_reload),
        ]

    def wait(self) -> None:
        """Wait for the signal."""
        self._event.wait()

    def _refuse_reload(self) -> None:
        self._logger.warning(
            'reload_refused',
            reason='settings are read at the start only; restart the process',
        )
