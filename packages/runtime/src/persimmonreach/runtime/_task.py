"""Base class of the tasks that own sockets and state."""

from abc import ABC, abstractmethod
from contextlib import ExitStack
from typing import Any, Self

import gevent
from gevent.queue import Empty, Queue


class Task(ABC):
    """One greenlet with a mailbox that owns its state and its sockets.

    Other tasks reach it only through :meth:`post`. What it opens goes onto
    its exit stack and is closed when the task stops.

    Parameters
    ----------
    tick_seconds
        Longest wait for a message before :meth:`tick` is called.

    """

    def __init__(self, tick_seconds: float) -> None:
        self._tick_seconds = tick_seconds
        self._mailbox: Queue = Queue()
        self._resources = ExitStack()
        self._greenlets: list[gevent.Greenlet] = []

    def __enter__(self) -> Self:
        """Start the task."""
        self.start()
        return self

    def __exit__(self, *exc_info: object) -> None:
        """Stop the task and close what it opened."""
        self.stop()

    def post(self, message: Any) -> None:
        """Put a message into the mailbox; never blocks."""
        self._mailbox.put_nowait(message)

    def start(self) -> None:
        """Start the greenlet of the task."""
        self._spawn(self._run)

    def stop(self) -> None:
        """End the greenlets of the task and close what it opened."""
        gevent.killall(self._greenlets)
        self._resources.close()

    @abstractmethod
    def receive(self, message: Any) -> None:
        """Handle one message from the mailbox."""

    @abstractmethod
    def tick(self) -> None:
        """Act on elapsed time."""

    def _spawn(self, function: Any) -> None:
        greenlet = gevent.spawn(function)
        greenlet.link_exception(_end_process)
        self._greenlets.append(greenlet)

    def _run(self) -> None:
        deadline = gevent.get_hub().loop.now() + self._tick_seconds
        while True:
            remaining = deadline - gevent.get_hub().loop.now()
            try:
                message = self._mailbox.get(timeout=max(remaining, 0))
            except Empty:
                gevent.get_hub().loop.update_now()
                deadline = gevent.get_hub().loop.now() + self._tick_seconds
                self.tick()
            else:
                self.receive(message)


def _end_process(greenlet: gevent.Greenlet) -> None:
    """Raise the error of a failed task in the main greenlet.

    A process that goes on without one of its tasks would look healthy to the
    others and do harm; one that ends is replaced.
    """
    error = greenlet.exception
    gevent.get_hub().handle_system_error(type(error), error)
