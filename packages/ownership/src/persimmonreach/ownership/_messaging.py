"""Handling of the messages between agents."""

from collections.abc import Callable
from types import MappingProxyType
from typing import Any, TypeAlias

from persimmonreach.core import Received, Send, bucket_of
from persimmonreach.flows import LocalFlows
from persimmonreach.ownership._answers import ClaimParts
from persimmonreach.ownership._parts import Parts
from persimmonreach.ownership.messages import (
    AnnounceFlows,
    ClaimAnswer,
    ClaimBuckets,
    FindFlow,
    FlowConflict,
    FlowForgotten,
    FlowFound,
    FlowMissing,
    FlowsRecorded,
    GrantAccepted,
    GrantBucket,
    GrantRefused,
    OfferBucket,
)

_ReceivedHandler: TypeAlias = Callable[[Received, float], list[Any]]
_HandlerTable: TypeAlias = MappingProxyType[type, _ReceivedHandler]


class Exchange:
    """Answers the messages of other agents."""

    def __init__(self, parts: Parts, flows: LocalFlows) -> None:
        self._parts = parts
        self._flows = flows
        self._handlers: _HandlerTable = MappingProxyType(
            {
                ClaimBuckets: self._claimed,
                ClaimAnswer: self._claim_answered,
                GrantBucket: self._granted,
                GrantAccepted: self._grant_answered,
                GrantRefused: self._grant_answered,
                OfferBucket: self._offered,
                FindFlow: self._asked,
                FlowFound: self._found,
                FlowMissing: self._missing,
                AnnounceFlows: self._announced,
                FlowsRecorded: self._recorded,
                FlowForgotten: self._forgotten,
                FlowConflict: self._conflicted,
            },
        )

    def receive(self, event: Received, now: float) -> list[Any]:
        """Return the actions that a message causes."""
        return self._handlers[type(event.message)](event, now)

    def _claimed(self, event: Received, now: float) -> list[Any]:
        if not self._parts.peers.is_ready:
            return []
        affected = ClaimParts(self._parts.claims, self._parts.handover)
        answers = self._parts.answers
        return answers.answer(event.sender, event.message, affected, now)

    def _claim_answered(self, event: Received, now: float) -> list[Any]:
        self._parts.claims.answered(event.message, now)
        return []

    def _granted(self, event: Received, now: float) -> list[Any]:
        return self._parts.claims.granted(event.sender, event.message, now)

    def _grant_answered(self, event: Received, now: float) -> list[Any]:
        return self._parts.handover.answered(event.message)

    def _offered(self, event: Received, now: float) -> list[Any]:
        self._parts.claims.hurry(now)
        return []

    def _asked(self, event: Received, now: float) -> list[Any]:
        if not self._parts.peers.is_ready:
            return []
        question = event.message
        found = self._flows.holds(question.key)
        sender = self._parts.peers.sender
        answer = FlowFound(sender, question.nonce, question.key, found)
        return [Send(event.sender, answer)]

    def _found(self, event: Received, now: float) -> list[Any]:
        return self._parts.lookups.answered(event.message, now)

    def _missing(self, event: Received, now: float) -> list[Any]:
        message = event.message
        holder = self._parts.directory.find(bucket_of(message.key), message.key)
        if holder != message.sender.agent:
            return []
        return self._parts.lookups.start(message.key, now)

    def _announced(self, event: Received, now: float) -> list[Any]:
        return self._parts.records.announced(event.sender, event.message)

    def _recorded(self, event: Received, now: float) -> list[Any]:
        self._parts.records.recorded(event.message)
        return []

    def _forgotten(self, event: Received, now: float) -> list[Any]:
        self._parts.records.forgotten(event.message, now)
        return []

    def _conflicted(self, event: Received, now: float) -> list[Any]:
        return self._parts.records.conflicted(event.message)
