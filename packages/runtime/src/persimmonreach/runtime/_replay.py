"""Detection of replayed messages."""

from typing import Final

# At the design size an agent receives 12 placements and some tens of other control
# messages per second, fewer than 1,000 in 10 s.
MAX_TAGS: Final = 8192


class ReplayCache:
    """Authentication tags of recently accepted messages.

    One cache serves all senders: the tag does not cover the address of the sender,
    so a message can be replayed from any address. Only tags that have been
    verified are stored, so that a sender without a key cannot evict them.

    Parameters
    ----------
    lifetime_s
        Seconds for which a tag is stored.
    capacity
        Maximum number of tags; above it the oldest tag is evicted early.

    """

    def __init__(self, lifetime_s: float, capacity: int = MAX_TAGS) -> None:
        self._lifetime_s = lifetime_s
        self._capacity = capacity
        self._added_at: dict[bytes, float] = {}
        self._evicted_tag_count = 0

    def __len__(self) -> int:
        """Return the number of stored tags."""
        return len(self._added_at)

    @property
    def evicted_tag_count(self) -> int:
        """Number of tags evicted before they expired, because the cache was full."""
        return self._evicted_tag_count

    def add_if_new(self, tag: bytes, now: float) -> bool:
        """Store ``tag``; return False if it is already stored.

        Parameters
        ----------
        tag
            Verified authentication tag of a message.
        now
            Monotonic time in seconds.

        """
        self._remove_expired(now)
        if tag in self._added_at:
            return False
        if len(self._added_at) >= self._capacity:
            self._added_at.pop(next(iter(self._added_at)))
            self._evicted_tag_count += 1
        self._added_at[tag] = now
        return True

    def _remove_expired(self, now: float) -> None:
        while self._added_at:
            oldest = next(iter(self._added_at))
            if now - self._added_at[oldest] <= self._lifetime_s:
                return
            self._added_at.pop(oldest)
