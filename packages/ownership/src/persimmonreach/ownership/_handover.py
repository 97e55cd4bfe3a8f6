"""Planned moves of tokens from this agent to others."""

from typing import Any, NamedTuple

from persimmonreach.core import AgentId, BucketId, Endpoint, Send
from persimmonreach.flows import LocalFlows
from persimmonreach.ownership._chunks import split_flows
from persimmonreach.ownership._directory import Directory
from persimmonreach.ownership._peers import Peers
from persimmonreach.ownership._tokens import Tokens
from persimmonreach.ownership.messages import (
    GrantAccepted,
    GrantBucket,
    GrantRefused,
    HeldFlow,
    OfferBucket,
)


class Claimant(NamedTuple):
    """Claim that this agent is going to satisfy with a grant."""

    agent: AgentId
    endpoint: Endpoint
    nonce: int
    received_at: float


class _Grant(NamedTuple):
    claimant: Claimant
    messages: tuple[GrantBucket, ...]
    next_at: float


class Handover:
    """Requests for tokens, and grants in flight, of one agent."""

    def __init__(
        self,
        peers: Peers,
        directory: Directory,
        tokens: Tokens,
        flows: LocalFlows,
    ) -> None:
        self._peers = peers
        self._directory = directory
        self._tokens = tokens
        self._flows = flows
        self._parked: dict[BucketId, Claimant] = {}
        self._requests: dict[BucketId, Claimant] = {}
        self._grants: dict[BucketId, _Grant] = {}
        self._next_offer_at = float('-inf')

    def drop_all(self) -> None:
        """Forget all requests and grants, because the lease has ended."""
        self._requests.clear()
        self._parked.clear()
        self._grants.clear()

    def request(self, bucket: BucketId, claimant: Claimant) -> list[Any]:
        """Stop admitting, and grant as soon as no placement is open."""
        expected = self._peers.expected(bucket)
        if not self._tokens.owns(bucket) or expected is None:
            return []
        if expected.agent != claimant.agent:
            self._parked[bucket] = claimant
            return []
        self._requests[bucket] = claimant
        self._tokens.suspend(bucket)
        return self._try_grant(bucket, claimant.received_at)

    def change_members(self, now: float) -> list[Any]:
        """Satisfy open claims that only the new view agrees with, and offer."""
        parked = tuple(self._parked.items())
        self._parked.clear()
        actions: list[Any] = []
        for bucket, claimant in parked:
            if now < claimant.received_at + self._peers.settings.claim_lifetime:
                actions.extend(self.request(bucket, claimant))
        self._next_offer_at = now
        return [*actions, *self.tick(now)]

    def answered(self, message: GrantAccepted | GrantRefused) -> list[Any]:
        """Handle the claimant's answer to a grant."""
        grant = self._grants.get(message.bucket)
        if grant is None or grant.claimant.nonce != message.nonce:
            return []
        return self._end_grant(message.bucket, type(message).__name__)

    def grant_settled(self, now: float) -> list[Any]:
        """Grant the buckets whose placements are settled by now."""
        actions: list[Any] = []
        for bucket in tuple(self._requests):
            actions.extend(self._try_grant(bucket, now))
        return actions

    def tick(self, now: float) -> list[Any]:
        """Retransmit grants and offers, and end those that are too old."""
        settings = self._peers.settings
        actions = self.grant_settled(now)
        for bucket, claimant in tuple(self._requests.items()):
            if now >= claimant.received_at + settings.claim_lifetime:
                self._requests.pop(bucket)
                self._tokens.resume(bucket)
        for bucket, grant in tuple(self._grants.items()):
            if now >= grant.claimant.received_at + settings.grant_lifetime:
                actions += self._end_grant(bucket, 'unanswered')
            elif now >= grant.next_at:
                actions += self._transmit(bucket, grant, now)
        if now >= self._next_offer_at:
            self._next_offer_at = now + settings.retry_interval
            actions += self._offers()
        return actions

    def _try_grant(self, bucket: BucketId, now: float) -> list[Any]:
        claimant = self._requests[bucket]
        settings = self._peers.settings
        if now >= claimant.received_at + settings.claim_lifetime:
            return []
        if self._directory.pending_in(bucket, now - settings.placement_limit):
            return []
        self._requests.pop(bucket)
        messages = self._grant_messages(bucket, claimant, now)
        actions = self._transmit(bucket, _Grant(claimant, messages, now), now)
        return [*actions, self._tokens.changed('token_granted', bucket)]

    def _grant_messages(
        self,
        bucket: BucketId,
        claimant: Claimant,
        now: float,
    ) -> tuple[GrantBucket, ...]:
        settings = self._peers.settings
        agent = self._peers.agent
        flows: tuple[HeldFlow, ...] = ()
        if settings.handover:
            own = tuple(HeldFlow(key, agent) for key in self._flows.keys_in(bucket))
            flows = (*self._directory.flows_in(bucket), *own)
        recent = self._directory.recent_in((bucket,), now, settings.copy_lifetime)
        chunks = split_flows(flows, recent)
        epoch = self._tokens.release(bucket)
        return tuple(
            GrantBucket(
                self._peers.sender,
                claimant.nonce,
                bucket,
                epoch,
                part,
                len(chunks),
                *chunk,
            )
            for part, chunk in enumerate(chunks)
        )

    def _transmit(self, bucket: BucketId, grant: _Grant, now: float) -> list[Any]:
        next_at = now + self._peers.settings.retry_interval
        self._grants[bucket] = grant._replace(next_at=next_at)
        return [Send(grant.claimant.endpoint, message) for message in grant.messages]

    def _end_grant(self, bucket: BucketId, outcome: str) -> list[Any]:
        self._grants.pop(bucket)
        self._tokens.end_grant(bucket)
        self._directory.replace(bucket, ())
        return [self._tokens.changed('grant_ended', bucket, outcome)]

    def _offers(self) -> list[Any]:
        offers: dict[Endpoint, list[BucketId]] = {}
        for bucket in sorted(self._tokens.owned - self._requests.keys()):
            row = self._peers.expected(bucket)
            if row is not None and row.agent != self._peers.agent:
                offers.setdefault(row.endpoint, []).append(bucket)
        return [
            Send(endpoint, OfferBucket(self._peers.sender, tuple(buckets)))
            for endpoint, buckets in offers.items()
        ]
