"""First packets that wait for a token."""

from typing import NamedTuple

from persimmonreach.core import BucketId
from persimmonreach.ownership._events import PacketArrived


class _Waiting(NamedTuple):
    event: PacketArrived
    until: float


class WaitingPackets:
    """Bounded queue of first packets for each bucket.

    Parameters
    ----------
    limit
        Packets per bucket.
    lifetime
        Seconds that a packet waits.

    """

    def __init__(self, limit: int, lifetime: float) -> None:
        self._limit = limit
        self._lifetime = lifetime
        self._queues: dict[BucketId, list[_Waiting]] = {}

    @property
    def buckets(self) -> tuple[BucketId, ...]:
        """Buckets with waiting packets."""
        return tuple(self._queues)

    def add(self, bucket: BucketId, event: PacketArrived, now: float) -> bool:
        """Queue a packet and return whether there was room."""
        queue = self._queues.setdefault(bucket, [])
        if len(queue) >= self._limit:
            return False
        queue.append(_Waiting(event, now + self._lifetime))
        return True

    def take(self, bucket: BucketId, now: float) -> list[PacketArrived]:
        """Remove and return the packets that have not waited too long."""
        queue = self._queues.pop(bucket, [])
        return [row.event for row in queue if now < row.until]

    def expire(self, now: float) -> int:
        """Drop packets that have waited too long and return their number."""
        dropped = 0
        for bucket, queue in tuple(self._queues.items()):
            kept = [row for row in queue if now < row.until]
            dropped += len(queue) - len(kept)
            if kept:
                self._queues[bucket] = kept
            else:
                self._queues.pop(bucket)
        return dropped
