"""Socket for messages between own processes."""

from abc import ABC, abstractmethod
from collections.abc import Mapping
from typing import Any, final

from persimmonreach.core import Endpoint, Received
from persimmonreach.runtime._codec import EnvelopeError, WireCodec, WireError
from persimmonreach.runtime._task import Task
from persimmonreach.runtime._transport import DatagramSocket


class PeerTransport(ABC):
    """Sends messages to other processes of the system."""

    @abstractmethod
    def send(self, to: Endpoint, message: Any) -> None:
        """Send ``message``; it may be lost, delayed, duplicated or reordered."""


@final
class PeerTask(Task, PeerTransport):
    """Owns the datagram socket that faces the other processes.

    Parameters
    ----------
    datagrams
        Socket; closed with the task.
    codec
        Encoding and authentication of the messages.

    """

    def __init__(self, datagrams: DatagramSocket, codec: WireCodec) -> None:
        super().__init__(tick_seconds=1)
        self._datagrams = datagrams
        self._codec = codec
        self._routes: dict[type, Task] = {}
        self._default_route: Task | None = None
        self._refused = {'messages_malformed': 0, 'messages_unauthenticated': 0}
        self._unrouted = 0
        self._resources.callback(datagrams.close)

    @property
    def endpoint(self) -> Endpoint:
        """Local address."""
        return self._datagrams.endpoint

    @property
    def counts(self) -> dict[str, int]:
        """Refused messages by reason."""
        return {**self._refused, 'messages_unexpected': self._unrouted}

    def connect(self, routes: Mapping[type, Task]) -> None:
        """Hand received messages of these types to these tasks."""
        self._routes.update(routes)

    def route_others(self, task: Task) -> None:
        """Hand received messages of all other types to this task."""
        self._default_route = task

    def start(self) -> None:
        """Start to receive."""
        self._spawn(self._receive_datagrams)

    def send(self, to: Endpoint, message: Any) -> None:
        """Send ``message``; it may be lost, delayed, duplicated or reordered."""
        self._datagrams.send(self._codec.encode(message), to)

    def receive(self, message: Any) -> None:
        """Ignore the mailbox: other tasks call :meth:`send`."""

    def tick(self) -> None:
        """Do nothing: the task only waits for its socket."""

    def _receive_datagrams(self) -> None:
        while True:
            datagram, sender = self._datagrams.receive()
            try:
                message = self._codec.decode(datagram)
            except EnvelopeError:
                self._refused['messages_unauthenticated'] += 1
            except WireError:
                self._refused['messages_malformed'] += 1
            else:
                self._dispatch(Received(sender, message))

    def _dispatch(self, received: Received) -> None:
        task = self._routes.get(type(received.message), self._default_route)
        if task is None:
            self._unrouted += 1
        else:
            task.post(received)
