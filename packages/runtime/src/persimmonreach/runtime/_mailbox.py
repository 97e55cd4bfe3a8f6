"""Message queue of a task."""

from collections import deque
from typing import Any, Final

from gevent.event import Event

# 4,096 packets of 1,400 bytes take 6 MB, a fifth of the memory budget, and are less
# than one second of packets at the rate of one process.
MAX_QUEUED_PACKETS: Final = 4096


class Mailbox:
    """Message queue of a task; control messages are taken before packets.

    Packets above the capacity are dropped, since the ends of their flows
    retransmit them. Control messages are few and are never dropped.

    Parameters
    ----------
    capacity
        Maximum number of queued packets.

    """

    def __init__(self, capacity: int = MAX_QUEUED_PACKETS) -> None:
        self._capacity = capacity
        self._control_messages: deque[Any] = deque()
        self._packets: deque[Any] = deque()
        self._wakeup = Event()
        self._dropped_packet_count = 0

    def __len__(self) -> int:
        """Return the number of queued messages."""
        return len(self._control_messages) + len(self._packets)

    @property
    def dropped_packet_count(self) -> int:
        """Number of packets dropped because the queue was full."""
        return self._dropped_packet_count

    def put(self, message: Any) -> None:
        """Add a control message."""
        self._control_messages.append(message)
        self._wakeup.set()

    def put_packet(self, message: Any) -> None:
        """Add a message that carries a packet; drop it if the queue is full."""
        if len(self._packets) >= self._capacity:
            self._dropped_packet_count += 1
            return
        self._packets.append(message)
        self._wakeup.set()

    def wake(self) -> None:
        """Make :meth:`wait` return although there is no message."""
        self._wakeup.set()

    def wait(self, timeout_s: float) -> None:
        """Block until there is a message, for at most ``timeout_s`` seconds."""
        self._wakeup.wait(timeout_s)

    def take(self) -> Any:
        """Remove and return the next message; None if there is none."""
        if self._control_messages:
            return self._control_messages.popleft()
        if self._packets:
            return self._packets.popleft()
        self._wakeup.clear()
        return None
