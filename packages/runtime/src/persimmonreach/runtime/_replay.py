"""Recognition of repeated messages."""

from typing import Final

# At 12 placements and some tens of other messages a second an agent of the
# design scale sees fewer than 1,000 control messages in 10 s.
LARGEST_MEMORY: Final = 8192


class ReplayMemory:
    """Tags of the messages accepted during the last seconds.

    The memory is one for all senders: a sender's address is not covered by the
    tag, so a copy could be sent from any address. Only authenticated tags are
    stored, so that nobody without a key can displace them.

    Parameters
    ----------
    lifetime_s
        Seconds for which a tag is kept.
    capacity
        Largest number of tags; beyond it the oldest is forgotten early.

    """

    def __init__(self, lifetime_s: float, capacity: int = LARGEST_MEMORY) -> None:
        self._lifetime_s = lifetime_s
        self._capacity = capacity
        self._seen: dict[bytes, float] = {}
        self._displaced = 0

    def __len__(self) -> int:
        """Return the number of tags kept."""
        return len(self._seen)

    @property
    def displaced(self) -> int:
        """Tags forgotten early because the memory was full."""
        return self._displaced

    def admit(self, tag: bytes, now: float) -> bool:
        """Store ``tag``; return False if it is stored already.

        Parameters
        ----------
        tag
            Authentication tag of an accepted message.
        now
            Monotonic time in seconds.

        """
        self._forget(now)
        if tag in self._seen:
            return False
        if len(self._seen) >= self._capacity:
            self._seen.pop(next(iter(self._seen)))
            self._displaced += 1
        self._seen[tag] = now
        return True

    def _forget(self, now: float) -> None:
        while self._seen:
            oldest = next(iter(self._seen))
            if now - self._seen[oldest] <= self._lifetime_s:
                return
            self._seen.pop(oldest)
