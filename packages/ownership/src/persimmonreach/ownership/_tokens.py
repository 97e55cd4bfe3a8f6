"""Tokens that this agent holds."""

from typing import Any

from persimmonreach.core import BucketId, Count, StateChange
from persimmonreach.ownership._directory import Directory
from persimmonreach.ownership._peers import Peers
from persimmonreach.ownership.messages import BucketStatus


class Tokens:
    """Tokens of one agent.

    A token leaves this agent for good when its grant is sent: whether the
    grant is accepted, refused or not answered, the agent never takes it back.
    A grant that failed is replaced by a claim.
    """

    def __init__(self, peers: Peers, directory: Directory) -> None:
        self._peers = peers
        self._directory = directory
        self._epochs: dict[BucketId, int] = {}
        self._owned: set[BucketId] = set()
        self._suspended: set[BucketId] = set()
        self._in_flight: set[BucketId] = set()
        self._regenerated_at: dict[BucketId, float] = {}

    @property
    def owned(self) -> frozenset[BucketId]:
        """Buckets whose token is here."""
        return frozenset(self._owned)

    def owns(self, bucket: BucketId) -> bool:
        """Return whether the token of ``bucket`` is here."""
        return bucket in self._owned

    def is_granting(self, bucket: BucketId) -> bool:
        """Return whether a grant of ``bucket`` is in flight."""
        return bucket in self._in_flight

    def admits(self, bucket: BucketId, now: float) -> bool:
        """Return whether a first packet of ``bucket`` may be admitted."""
        return (
            bucket in self._owned
            and bucket not in self._suspended
            and self._peers.may_admit(now)
            and self._peers.in_service
        )

    def epoch(self, bucket: BucketId) -> int:
        """Return the highest epoch seen of ``bucket``."""
        return self._epochs.get(bucket, 0)

    def regenerated_at(self, bucket: BucketId) -> float:
        """Return when this agent created the token of ``bucket``."""
        return self._regenerated_at.get(bucket, float('-inf'))

    def status(self, bucket: BucketId, now: float) -> BucketStatus:
        """Return what a claim answer says of ``bucket``."""
        if bucket in self._owned:
            return BucketStatus.HELD
        limit = self._peers.settings.placement_limit
        if bucket in self._in_flight:
            return BucketStatus.BUSY
        if self._directory.pending_in(bucket, now - limit):
            return BucketStatus.BUSY
        return BucketStatus.NONE

    def note_epoch(self, bucket: BucketId, epoch: int) -> None:
        """Take note of an epoch that another agent reported."""
        self._epochs[bucket] = max(epoch, self.epoch(bucket))

    def install(self, bucket: BucketId, epoch: int) -> list[Any]:
        """Take a token that was granted."""
        self.note_epoch(bucket, epoch)
        self._owned.add(bucket)
        self._regenerated_at.pop(bucket, None)
        return [self.changed('token_taken', bucket)]

    def regenerate(self, bucket: BucketId, now: float) -> list[Any]:
        """Create a token after a claim that nobody contradicted."""
        actions = self.install(bucket, self.epoch(bucket) + 1)
        self._regenerated_at[bucket] = now
        return [*actions, Count('tokens_regenerated')]

    def suspend(self, bucket: BucketId) -> None:
        """Admit nothing until the bucket is granted or resumed."""
        self._suspended.add(bucket)

    def resume(self, bucket: BucketId) -> None:
        """Admit again, since the claimant has stopped asking."""
        self._suspended.discard(bucket)

    def release(self, bucket: BucketId) -> int:
        """Give the token up for a grant and return the epoch of the grant."""
        self._suspended.discard(bucket)
        self._owned.discard(bucket)
        self._in_flight.add(bucket)
        self.note_epoch(bucket, self.epoch(bucket) + 1)
        return self.epoch(bucket)

    def end_grant(self, bucket: BucketId) -> None:
        """Note that no grant of ``bucket`` is in flight any more."""
        self._in_flight.discard(bucket)

    def drop_all(self) -> list[Any]:
        """Drop all tokens, because the admission lease has ended."""
        self._suspended.clear()
        self._in_flight.clear()
        if not self._owned:
            return []
        dropped = len(self._owned)
        self._owned.clear()
        return [
            Count('tokens_dropped', dropped),
            StateChange('tokens_dropped', self._peers.agent, 'lease lapsed'),
        ]

    def changed(self, event: str, bucket: BucketId, detail: str = '') -> StateChange:
        """Return the log line for a change of one token."""
        service = self._peers.sender.service
        epoch = self.epoch(bucket)
        return StateChange(event, f'{service}/{bucket}', detail or f'epoch {epoch}')
