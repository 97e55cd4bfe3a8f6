"""Flow directory, placements that are not settled, and recent first packets."""

from collections.abc import Callable, Iterable
from typing import Final, NamedTuple

from persimmonreach.core import (
    BUCKETS_PER_SERVICE,
    AgentId,
    BucketId,
    FlowKey,
    bucket_of,
)
from persimmonreach.ownership.messages import HeldFlow, RecentFlow

ANY_SEQUENCE: Final = -1
_MS_PER_SECOND: Final = 1000


class _Recent(NamedTuple):
    sequence: int
    until: float


class Directory:
    """Soft state of an owner about the flows of its buckets."""

    def __init__(self) -> None:
        self._holders: list[dict[FlowKey, AgentId]] = [
            {} for _ in range(BUCKETS_PER_SERVICE)
        ]
        self._pending: dict[FlowKey, float] = {}
        self._recent: dict[FlowKey, _Recent] = {}
        self._unconfirmed: set[FlowKey] = set()
        self._reset_until: dict[FlowKey, float] = {}

    def find(self, bucket: BucketId, key: FlowKey) -> AgentId | None:
        """Return the recorded holder of the flow."""
        return self._holders[bucket].get(key)

    def record(self, key: FlowKey, holder: AgentId) -> None:
        """Record the holder of a flow."""
        self._holders[bucket_of(key)][key] = holder

    def remove(self, key: FlowKey) -> None:
        """Remove the holder of a flow."""
        self._holders[bucket_of(key)].pop(key, None)
        self._unconfirmed.discard(key)

    def replace(self, bucket: BucketId, flows: Iterable[HeldFlow]) -> None:
        """Set the content of a bucket."""
        for key in self._holders[bucket]:
            self._unconfirmed.discard(key)
        self._holders[bucket] = {row.key: row.holder for row in flows}

    def flows_in(self, bucket: BucketId) -> tuple[HeldFlow, ...]:
        """Return the content of a bucket."""
        return tuple(HeldFlow(*row) for row in self._holders[bucket].items())

    def remove_where(self, gone: Callable[[AgentId], bool]) -> list[FlowKey]:
        """Remove the flows whose holder is ``gone`` and return their keys."""
        keys = [
            key
            for holders in self._holders
            for key, holder in holders.items()
            if gone(holder)
        ]
        for key in keys:
            self.remove(key)
        return keys

    def note_reset(self, key: FlowKey, until: float) -> None:
        """Remember that the flow was ended, since a single reset can be lost."""
        self._reset_until.pop(key, None)
        self._reset_until[key] = until

    def was_reset(self, key: FlowKey, now: float) -> bool:
        """Return whether the flow was ended a short time ago."""
        return self._reset_until.get(key, now) > now

    def start_placement(self, key: FlowKey, sequence: int, now: float) -> None:
        """Note that the holder of a new flow is being chosen."""
        self._pending[key] = now
        self._recent[key] = _Recent(sequence, float('inf'))

    def end_placement(self, key: FlowKey, until: float) -> bool:
        """Settle a placement and return whether it was open.

        Parameters
        ----------
        key
            The flow.
        until
            Time until which copies of the first packet may arrive.

        """
        if self._pending.pop(key, None) is None:
            return False
        self._recent[key] = self._recent[key]._replace(until=until)
        self._unconfirmed.add(key)
        return True

    def cancel_placement(self, key: FlowKey) -> None:
        """Settle a placement that no agent accepted."""
        if self._pending.pop(key, None) is not None:
            self._recent.pop(key)

    def is_pending(self, key: FlowKey) -> bool:
        """Return whether the placement of the flow is not settled."""
        return key in self._pending

    def pending_in(self, bucket: BucketId, since: float) -> bool:
        """Return whether a placement begun after ``since`` is not settled."""
        return any(
            started > since and bucket_of(key) == bucket
            for key, started in self._pending.items()
        )

    def confirm(self, key: FlowKey) -> None:
        """Note a packet that only an established flow has."""
        self._unconfirmed.discard(key)

    def is_established(self, key: FlowKey) -> bool:
        """Return whether a recorded flow is known to be established."""
        return key not in self._unconfirmed

    def hold_back(self, key: FlowKey, sequence: int, until: float) -> None:
        """Keep the first packet of a flow from being admitted again."""
        known = self._recent.get(key)
        if known is None or known.until < until:
            self._recent[key] = _Recent(sequence, until)

    def is_recent(self, key: FlowKey, sequence: int, now: float) -> bool:
        """Return whether this first packet must not be admitted."""
        known = self._recent.get(key)
        if known is None or known.until <= now:
            return False
        return ANY_SEQUENCE in {known.sequence, sequence} or known.sequence == sequence

    def recent_in(
        self,
        buckets: Iterable[BucketId],
        now: float,
        longest: float,
    ) -> tuple[RecentFlow, ...]:
        """Return the recent flows of ``buckets``, at most ``longest`` s each."""
        wanted = frozenset(buckets)
        return tuple(
            RecentFlow(
                key,
                known.sequence,
                int(min(known.until - now, longest) * _MS_PER_SECOND),
            )
            for key, known in self._recent.items()
            if known.until > now and bucket_of(key) in wanted
        )

    def merge_recent(self, rows: Iterable[RecentFlow], now: float) -> None:
        """Take over recent flows from another agent."""
        for row in rows:
            until = now + row.remaining_ms / _MS_PER_SECOND
            self.hold_back(row.key, row.sequence, until)

    def expire(self, now: float) -> None:
        """Drop recent flows whose time is over."""
        over = [key for key, known in self._recent.items() if known.until <= now]
        for key in over:
            self._recent.pop(key)
        while self._reset_until:
            oldest, until = next(iter(self._reset_until.items()))
            if until > now:
                return
            self._reset_until.pop(oldest)
