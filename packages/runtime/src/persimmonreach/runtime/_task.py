"""Base class of the tasks that own sockets and state."""

import time
from abc import ABC, abstractmethod
from contextlib import ExitStack
from typing import Any, Final, Self

import gevent

from persimmonreach.runtime._mailbox import Mailbox

# Messages handled, or datagrams received, before other greenlets run. Without the
# limit a loop that never runs out of work would keep the process from sending
# heartbeats.
BATCH_SIZE: Final = 64


class Task(ABC):
    """Task that runs in a greenlet, has a mailbox and owns its state and its sockets.

    Other tasks pass messages to it only through :meth:`post` and :meth:`post_packet`.
    The resources that it opens are registered on its exit stack and closed when it
    stops.

    Parameters
    ----------
    tick_interval_s
        Minimum time in seconds between two calls of :meth:`tick`.

    """

    def __init__(self, tick_interval_s: float) -> None:
        self._tick_interval_s = tick_interval_s
        self._mailbox = Mailbox()
        self._resources = ExitStack()
        self._greenlets: list[gevent.Greenlet] = []

    def __enter__(self) -> Self:
        """Start the task."""
        self.start()
        return self

    def __exit__(self, *exc_info: object) -> None:
        """Stop the task and close its resources."""
        self.stop()

    @property
    def dropped_packet_count(self) -> int:
        """Number of packets dropped because the mailbox was full."""
        return self._mailbox.dropped_packet_count

    def post(self, message: Any) -> None:
        """Put a control message into the mailbox; never blocks or drops the message."""
        self._mailbox.put(message)

    def post_packet(self, message: Any) -> None:
        """Put a message that carries a packet into the mailbox; never blocks.

        The message is dropped and counted if the mailbox is full.
        """
        self._mailbox.put_packet(message)

    def start(self) -> None:
        """Start the greenlet of the task."""
        self._spawn(self._run)

    def stop(self) -> None:
        """Kill the greenlets, then close the resources of the task.

        Queued messages are not handled. A second call does nothing.
        """
        self.kill_greenlets()
        self._resources.close()

    def kill_greenlets(self) -> None:
        """Kill the greenlets without closing the resources of the task."""
        gevent.killall(self._greenlets)

    @abstractmethod
    def receive(self, message: Any) -> None:
        """Handle one message from the mailbox."""

    @abstractmethod
    def tick(self) -> None:
        """Act on elapsed time."""

    def _spawn(self, function: Any) -> None:
        self._greenlets = [running for running in self._greenlets if not running.dead]
        greenlet = gevent.spawn(function)
        greenlet.link_exception(raise_in_main_greenlet)
        self._greenlets.append(greenlet)

    def _run(self) -> None:
        next_tick_at = time.monotonic() + self._tick_interval_s
        while True:
            self._mailbox.wait(max(next_tick_at - time.monotonic(), 0))
            self._receive_batch()
            # Checked after each batch, so that queued messages do not delay ticks.
            if time.monotonic() >= next_tick_at:
                next_tick_at = time.monotonic() + self._tick_interval_s
                self.tick()

    def _receive_batch(self) -> None:
        for _ in range(BATCH_SIZE):
            message = self._mailbox.take()
            if message is None:
                return
            self.receive(message)
        gevent.sleep(0)


def raise_in_main_greenlet(greenlet: gevent.Greenlet) -> None:
    """Raise the exception of a failed task in the main greenlet, to end the process.

    A process that continued without one of its tasks would look healthy to other
    processes and disrupt the service; a process that exits is replaced.
    """
    error = greenlet.exception
    gevent.get_hub().handle_system_error(type(error), error)
