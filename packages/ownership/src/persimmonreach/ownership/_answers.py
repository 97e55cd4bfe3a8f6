"""Answers to the claims of other agents."""

from typing import Any, Final, NamedTuple

from persimmonreach.core import (
    AgentId,
    BucketId,
    Endpoint,
    Incarnation,
    Send,
    rendezvous_score,
)
from persimmonreach.flows import LocalFlows
from persimmonreach.ownership._chunks import split_flows
from persimmonreach.ownership._claims import Claims
from persimmonreach.ownership._directory import Directory
from persimmonreach.ownership._handover import Claimant, Handover
from persimmonreach.ownership._peers import Peers
from persimmonreach.ownership._tokens import Tokens
from persimmonreach.ownership.messages import (
    BucketAnswer,
    BucketStatus,
    ClaimAnswer,
    ClaimBuckets,
    HeldFlow,
)

_NEVER: Final = float('-inf')


class ClaimParts(NamedTuple):
    """Parts of this agent that a claim of another agent affects."""

    claims: Claims
    handover: Handover


class _Yielded(NamedTuple):
    agent: AgentId
    incarnation: Incarnation
    at: float


class Answers:
    """What this agent has answered to claims."""

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
        self._yielded: dict[BucketId, _Yielded] = {}
        self._sent: dict[AgentId, tuple[ClaimAnswer, ...]] = {}

    def yielded_at(self, bucket: BucketId) -> float:
        """Return when this agent last answered that it has no token."""
        yielded = self._yielded.get(bucket)
        return _NEVER if yielded is None else yielded.at

    def accepts_placement(
        self,
        bucket: BucketId,
        owner: tuple[AgentId, Incarnation],
        now: float,
    ) -> bool:
        """Return whether a placement by ``owner`` may still be accepted.

        A placement that a former owner sent before it died can arrive after
        the claim was answered; accepting it would place a first packet that
        the new owner may admit again.
        """
        yielded = self._yielded.get(bucket)
        if yielded is None or yielded[:2] == owner:
            return True
        return now >= yielded.at + self._peers.settings.copy_lifetime

    def answer(
        self,
        endpoint: Endpoint,
        claim: ClaimBuckets,
        parts: ClaimParts,
        now: float,
    ) -> list[Any]:
        """Answer a claim; a repeated one gets the same answer again."""
        agent = claim.sender.agent
        messages = self._sent.get(agent, ())
        actions: list[Any] = []
        if not messages or messages[0].nonce != claim.nonce:
            answers = tuple(
                BucketAnswer(
                    bucket,
                    self._status(bucket, claim, parts.claims, now),
                    self._tokens.epoch(bucket),
                )
                for bucket in claim.buckets
            )
            messages = self._messages(claim.nonce, answers, now)
            self._sent[agent] = messages
            claimant = Claimant(agent, endpoint, claim.nonce, now)
            for bucket in claim.buckets:
                actions.extend(parts.handover.request(bucket, claimant))
        return [*actions, *(Send(endpoint, message) for message in messages)]

    def _status(
        self,
        bucket: BucketId,
        claim: ClaimBuckets,
        claims: Claims,
        now: float,
    ) -> BucketStatus:
        status = self._tokens.status(bucket, now)
        if status is not BucketStatus.NONE:
            return status
        sender = claim.sender
        if claims.is_claiming(bucket, now):
            subject = f'{sender.service}/{bucket}'
            own = (rendezvous_score(subject, self._peers.agent), self._peers.agent)
            if own > (rendezvous_score(subject, sender.agent), sender.agent):
                return BucketStatus.BUSY
            claims.give_up(bucket)
        self._yielded[bucket] = _Yielded(sender.agent, sender.incarnation, now)
        return BucketStatus.NONE

    def _messages(
        self,
        nonce: int,
        answers: tuple[BucketAnswer, ...],
        now: float,
    ) -> tuple[ClaimAnswer, ...]:
        settings = self._peers.settings
        agent = self._peers.agent
        buckets = [row.bucket for row in answers if row.status is BucketStatus.NONE]
        flows: tuple[HeldFlow, ...] = ()
        if settings.handover:
            flows = tuple(
                HeldFlow(key, agent)
                for bucket in buckets
                for key in self._flows.keys_in(bucket)
            )
        recent = self._directory.recent_in(buckets, now, settings.copy_lifetime)
        chunks = split_flows(flows, recent)
        return tuple(
            ClaimAnswer(
                self._peers.sender,
                nonce,
                part,
                len(chunks),
                () if part else answers,
                *chunk,
            )
            for part, chunk in enumerate(chunks)
        )
