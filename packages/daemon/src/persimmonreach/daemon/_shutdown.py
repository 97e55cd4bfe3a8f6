"""Waiting for the signal to stop."""

import signal

import gevent
from gevent.event import Event


class StopSignal:
    """Set by SIGTERM or SIGINT."""

    def __init__(self) -> None:
        self._event = Event()
        gevent.signal_handler(signal.SIGTERM, self._event.set)
        gevent.signal_handler(signal.SIGINT, self._event.set)

    def wait(self) -> None:
        """Wait for the signal."""
        self._event.wait()
