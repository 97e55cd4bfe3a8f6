"""Mailbox of a task."""

from collections import deque
from typing import Any, Final

from gevent.event import Event

# 4,096 packets of 1,400 bytes are 6 MB, a fifth of the memory budget, and less
# than a second of packets at the rate of one process.
LARGEST_BACKLOG: Final = 4096


class Mailbox:
    """Messages that wait for a task; control messages come before packets.

    Packets beyond the capacity are dropped, since the ends of their flows send
    them again. Control messages are few and are never dropped.

    Parameters
    ----------
    capacity
        Largest number of waiting packets.

    """

    def __init__(self, capacity: int = LARGEST_BACKLOG) -> None:
        self._capacity = capacity
        self._control: deque[Any] = deque()
        self._packets: deque[Any] = deque()
        self._filled = Event()
        self._dropped = 0

    def __len__(self) -> int:
        """Return the number of waiting messages."""
        return len(self._control) + len(self._packets)

    @property
    def dropped(self) -> int:
        """Packets dropped because the mailbox was full."""
        return self._dropped

    def put(self, message: Any) -> None:
        """Add a control message."""
        self._control.append(message)
        self._filled.set()

    def put_packet(self, message: Any) -> None:
        """Add a message that carries a packet, or drop it."""
        if len(self._packets) >= self._capacity:
            self._dropped += 1
            return
        self._packets.append(message)
        self._filled.set()

    def wake(self) -> None:
        """End a wait although there is no message."""
        self._filled.set()

    def wait(self, timeout_s: float) -> None:
        """Wait until there is a message, at most ``timeout_s`` seconds."""
        self._filled.wait(timeout_s)

    def take(self) -> Any:
        """Return the next message, or None if there is none."""
        if self._control:
            return self._control.popleft()
        if self._packets:
            return self._packets.popleft()
        self._filled.clear()
        return None
