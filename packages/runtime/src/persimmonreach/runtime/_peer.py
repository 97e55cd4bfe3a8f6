"""Task for the messages between processes of the load balancer."""

from abc import ABC, abstractmethod
from collections import Counter
from collections.abc import Collection, Mapping
from types import MappingProxyType
from typing import Any, Final, final

import gevent

from persimmonreach.core import Endpoint, MonotonicClock, Received
from persimmonreach.runtime._codec import (
    MAX_MESSAGE_WINDOW_S,
    AuthenticationError,
    MessageCodec,
    MessageDecodeError,
    OutOfWindowError,
)
from persimmonreach.runtime._replay import ReplayCache
from persimmonreach.runtime._task import BATCH_SIZE, Task
from persimmonreach.runtime._transport import DatagramSocket

_REPLAY_COUNTER: Final = 'messages_repeated'
_NO_ROUTE_COUNTER: Final = 'messages_unexpected'
_EVICTED_TAG_COUNTER: Final = 'replay_tags_displaced'
_INITIAL_REJECTION_COUNTS: Final = MappingProxyType(
    {
        MessageDecodeError.counter: 0,
        AuthenticationError.counter: 0,
        OutOfWindowError.counter: 0,
        _REPLAY_COUNTER: 0,
        _NO_ROUTE_COUNTER: 0,
    },
)
# The codec accepts a datagram, and thus also a replay of it, from one window before
# its send time to one window after it.
_TAG_LIFETIME_S: Final = 2 * MAX_MESSAGE_WINDOW_S


class PeerTransport(ABC):
    """Sends messages to other processes of the load balancer."""

    @abstractmethod
    def send(self, to: Endpoint, message: Any) -> None:
        """Send ``message``; it may be lost, delayed, duplicated or reordered."""


@final
class PeerTask(Task, PeerTransport):
    """Task that owns the datagram socket for other processes of the load balancer.

    Parameters
    ----------
    datagram_socket
        Socket of the task; closed when the task stops.
    codec
        Encoding and authentication of the messages.
    packet_types
        Message types that carry packets of callers. They are exempt from replay
        detection, because the ends of a flow tolerate duplicate packets, which the
        network may produce as well.

    """

    def __init__(
        self,
        datagram_socket: DatagramSocket,
        codec: MessageCodec,
        packet_types: Collection[type] = (),
    ) -> None:
        super().__init__(tick_interval_s=1)
        self._datagram_socket = datagram_socket
        self._codec = codec
        self._routes: dict[type, Task] = {}
        self._default_route: Task | None = None
        self._packet_types = frozenset(packet_types)
        self._replay_cache = ReplayCache(_TAG_LIFETIME_S)
        self._clock = MonotonicClock()
        self._rejection_counts = Counter(_INITIAL_REJECTION_COUNTS)
        self._resources.callback(datagram_socket.close)

    @property
    def endpoint(self) -> Endpoint:
        """Local address."""
        return self._datagram_socket.endpoint

    @property
    def counts(self) -> dict[str, int]:
        """Numbers of rejected messages and of evicted tags, by metric name."""
        return {
            **self._rejection_counts,
            _EVICTED_TAG_COUNTER: self._replay_cache.evicted_tag_count,
        }

    def add_routes(self, routes: Mapping[type, Task]) -> None:
        """Set the tasks that receive messages of the given types."""
        self._routes.update(routes)

    def set_default_route(self, task: Task) -> None:
        """Set the task that receives messages of all other types."""
        self._default_route = task

    def start(self) -> None:
        """Start receiving datagrams."""
        self._spawn(self._receive_datagrams)

    def send(self, to: Endpoint, message: Any) -> None:
        """Send ``message``; it may be lost, delayed, duplicated or reordered."""
        self._datagram_socket.send(self._codec.encode(message), to)

    def receive(self, message: Any) -> None:
        """Do nothing: other tasks call :meth:`send` instead of posting messages."""

    def tick(self) -> None:
        """Do nothing: no work of the task depends on the time."""

    def _receive_datagrams(self) -> None:
        while True:
            for _ in range(BATCH_SIZE):
                datagram, sender = self._datagram_socket.receive()
                self._process_datagram(datagram, sender)
            # Reading from a socket that always has a datagram never yields to other
            # greenlets.
            gevent.sleep(0)

    def _process_datagram(self, datagram: bytes, sender: Endpoint) -> None:
        try:
            message = self._codec.decode(datagram)
        except MessageDecodeError as error:
            self._rejection_counts[error.counter] += 1
            return
        if self._is_replay(type(message), datagram):
            self._rejection_counts[_REPLAY_COUNTER] += 1
            return
        self._dispatch(Received(sender, message))

    def _is_replay(self, message_type: type, datagram: bytes) -> bool:
        if message_type in self._packet_types:
            return False
        tag = self._codec.authentication_tag(datagram)
        return tag is not None and not self._replay_cache.add_if_new(
            tag, self._clock.now()
        )

    def _dispatch(self, received: Received) -> None:
        message_type = type(received.message)
        task = self._routes.get(message_type, self._default_route)
        if task is None:
            self._rejection_counts[_NO_ROUTE_COUNTER] += 1
        elif message_type in self._packet_types:
            task.post_packet(received)
        else:
            task.post(received)
