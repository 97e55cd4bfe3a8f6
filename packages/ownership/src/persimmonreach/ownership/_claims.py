"""Claims of this agent for the tokens of its expected buckets."""

import random
from collections.abc import Callable
from itertools import chain
from typing import Any, Final, NamedTuple

from persimmonreach.core import (
    BUCKETS_PER_SERVICE,
    AgentId,
    BucketId,
    Count,
    Endpoint,
    Send,
    bucket_of,
)
from persimmonreach.ownership._directory import Directory
from persimmonreach.ownership._peers import Peers
from persimmonreach.ownership._tokens import Tokens
from persimmonreach.ownership.messages import (
    BucketStatus,
    ClaimAnswer,
    ClaimBuckets,
    GrantAccepted,
    GrantBucket,
    GrantRefused,
    HeldFlow,
)

_NEVER: Final = float('-inf')
_NONCE_BITS: Final = 63


class _Claim(NamedTuple):
    """One open claim; ``buckets`` shrinks as buckets are resolved."""

    nonce: int
    opened_at: float
    next_at: float
    buckets: set[BucketId]
    answers: dict[AgentId, dict[int, ClaimAnswer]]
    grants: dict[BucketId, dict[int, GrantBucket]]


class Claims:
    """Claims of one agent; at most one is open at a time."""

    def __init__(
        self,
        peers: Peers,
        directory: Directory,
        tokens: Tokens,
        rng: random.Random,
    ) -> None:
        self._peers = peers
        self._directory = directory
        self._tokens = tokens
        self._rng = rng
        self._claim: _Claim | None = None
        self._next_at = _NEVER
        self._accepted: dict[BucketId, int] = {}

    def is_claiming(self, bucket: BucketId, now: float) -> bool:
        """Return whether an open claim asks for ``bucket``."""
        claim = self._open_claim(now)
        return claim is not None and bucket in claim.buckets

    def give_up(self, bucket: BucketId) -> None:
        """Stop claiming ``bucket``; a grant of it is refused from now on."""
        if self._claim is not None:
            self._claim.buckets.discard(bucket)

    def close(self) -> None:
        """End the open claim."""
        self._claim = None

    def delay(self, now: float) -> None:
        """Leave the owners of a former view time to offer their tokens."""
        self._next_at = max(self._next_at, now + self._peers.settings.claim_delay)

    def hurry(self, now: float) -> None:
        """Let the next claim start without a pause."""
        self._next_at = now

    def tick(self, now: float, yielded_at: Callable[[BucketId], float]) -> list[Any]:
        """Open a claim if one is due, or repeat the open one."""
        settings = self._peers.settings
        claim = self._open_claim(now)
        if claim is not None:
            return self._transmit(claim, now) if now >= claim.next_at else []
        if now < self._next_at or not self._peers.may_admit(now):
            return []
        buckets = self._wanted(now, yielded_at)
        if not buckets:
            return []
        pause = self._rng.uniform(0, settings.claim_pause)
        self._next_at = now + settings.claim_lifetime + pause
        nonce = self._rng.getrandbits(_NONCE_BITS)
        claim = _Claim(nonce, now, now, buckets, {}, {})
        return [Count('claims_opened'), *self._transmit(claim, now)]

    def answered(self, message: ClaimAnswer, now: float) -> None:
        """Collect one part of an answer."""
        claim = self._open_claim(now)
        if claim is None or claim.nonce != message.nonce:
            return
        parts = claim.answers.setdefault(message.sender.agent, {})
        first = next(iter(parts.values()), message)
        if first.sender == message.sender and first.parts == message.parts:
            parts[message.part] = message
        for row in message.answers:
            self._tokens.note_epoch(row.bucket, row.epoch)
            if row.status == BucketStatus.BUSY:
                claim.buckets.discard(row.bucket)

    def granted(self, endpoint: Endpoint, message: GrantBucket, now: float) -> list[Any]:
        """Collect one part of a grant, and take the token with the last one."""
        bucket = message.bucket
        sender = self._peers.sender
        accepted = GrantAccepted(sender, message.nonce, bucket)
        if self._tokens.owns(bucket) and self._accepted.get(bucket) == message.nonce:
            return [Send(endpoint, accepted)]
        claim = self._open_claim(now)
        if claim is None or claim.nonce != message.nonce or bucket not in claim.buckets:
            refused = GrantRefused(sender, message.nonce, bucket)
            return [Send(endpoint, refused), Count('grants_refused')]
        parts = claim.grants.setdefault(bucket, {})
        parts[message.part] = message
        if len(parts) < message.parts:
            return []
        flows = [row for part in parts.values() for row in part.flows]
        self._take(bucket, flows)
        for part in parts.values():
            self._directory.merge_recent(part.recent, now)
        self._accepted[bucket] = message.nonce
        return [*self._tokens.install(bucket, message.epoch), Send(endpoint, accepted)]

    def settle(self, now: float, yielded_at: Callable[[BucketId], float]) -> list[Any]:
        """Create the tokens that all live members said nobody has."""
        claim = self._open_claim(now)
        if claim is None or not self._may_create(now):
            return []
        whole = self._whole_answers(claim)
        if not whole.keys() >= {row.agent for row in self._peers.others}:
            return []
        held = {
            row.bucket
            for part in chain.from_iterable(whole.values())
            for row in part.answers
            if row.status != BucketStatus.NONE
        }
        created = [
            bucket
            for bucket in sorted(claim.buckets - held)
            if self._peers.is_expected(bucket) and self._is_confirmed(yielded_at(bucket))
        ]
        return self._create(claim, created, now) if created else []

    def _create(self, claim: _Claim, created: list[BucketId], now: float) -> list[Any]:
        flows: dict[BucketId, list[HeldFlow]] = {bucket: [] for bucket in created}
        for parts in self._whole_answers(claim).values():
            for part in parts:
                self._directory.merge_recent(part.recent, now)
                for row in part.flows:
                    flows.get(bucket_of(row.key), []).append(row)
        actions: list[Any] = []
        for bucket in created:
            self._take(bucket, flows[bucket])
            actions += self._tokens.regenerate(bucket, now)
        return actions

    def _take(self, bucket: BucketId, flows: list[HeldFlow]) -> None:
        elsewhere = [row for row in flows if row.holder != self._peers.agent]
        self._directory.replace(bucket, elsewhere)
        self.give_up(bucket)

    def _may_create(self, now: float) -> bool:
        if not self._peers.in_service:
            return False
        wait = self._peers.settings.regeneration_wait
        return now >= self._peers.last_loss + wait or not self._peers.settings.fencing

    def _is_confirmed(self, moment: float) -> bool:
        if not self._peers.settings.fencing:
            return True
        return self._peers.confirmed_since(moment)

    def _open_claim(self, now: float) -> _Claim | None:
        claim = self._claim
        if claim is None:
            return None
        lifetime = self._peers.settings.claim_lifetime
        if not claim.buckets or now >= claim.opened_at + lifetime:
            self._claim = None
        return self._claim

    def _whole_answers(self, claim: _Claim) -> dict[AgentId, list[ClaimAnswer]]:
        return {
            agent: list(parts.values())
            for agent, parts in claim.answers.items()
            if len(parts) == next(iter(parts.values())).parts
        }

    def _wanted(
        self,
        now: float,
        yielded_at: Callable[[BucketId], float],
    ) -> set[BucketId]:
        if not self._peers.in_service:
            return set()
        block = self._peers.settings.claim_block
        return {
            bucket
            for bucket in map(BucketId, range(BUCKETS_PER_SERVICE))
            if self._peers.is_expected(bucket)
            and not self._tokens.owns(bucket)
            and not self._tokens.is_granting(bucket)
            and now >= yielded_at(bucket) + block
        }

    def _transmit(self, claim: _Claim, now: float) -> list[Any]:
        next_at = now + self._peers.settings.retry_interval
        self._claim = claim._replace(next_at=next_at)
        whole = self._whole_answers(claim)
        message = ClaimBuckets(
            self._peers.sender, claim.nonce, tuple(sorted(claim.buckets))
        )
        silent = [row for row in self._peers.others if row.agent not in whole]
        return self._peers.send_each(silent, message)
