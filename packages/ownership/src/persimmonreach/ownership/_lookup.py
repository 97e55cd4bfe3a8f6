"""Search for the holder of a flow among all members."""

import random
from typing import Any, Final, NamedTuple

from persimmonreach.core import AgentId, Count, FlowKey, Send, bucket_of
from persimmonreach.flows import LocalFlows
from persimmonreach.membership import Member
from persimmonreach.ownership._directory import ANY_SEQUENCE, Directory
from persimmonreach.ownership._events import PacketArrived, ResetCaller
from persimmonreach.ownership._forwarding import forward
from persimmonreach.ownership._peers import Peers
from persimmonreach.ownership._tokens import Tokens
from persimmonreach.ownership.messages import FindFlow, FlowFound
from persimmonreach.packets import RST

_NONCE_BITS: Final = 63
_RATE_PERIOD_S: Final = 1.0


class _Lookup(NamedTuple):
    nonce: int
    doubted: AgentId | None
    missing: set[AgentId]
    queue: list[PacketArrived]
    next_at: float
    tries: int


class _Rate(NamedTuple):
    since: float = 0
    used: int = 0


class Lookups:
    """Open lookups of one agent."""

    def __init__(
        self,
        peers: Peers,
        directory: Directory,
        tokens: Tokens,
        flows: LocalFlows,
        rng: random.Random,
    ) -> None:
        self._peers = peers
        self._directory = directory
        self._tokens = tokens
        self._flows = flows
        self._rng = rng
        self._open: dict[FlowKey, _Lookup] = {}
        self._rate = _Rate()

    def is_open(self, key: FlowKey) -> bool:
        """Return whether the flow is being looked up."""
        return key in self._open

    def queue(self, event: PacketArrived, now: float) -> list[Any]:
        """Let a packet wait for the holder of its flow."""
        key = event.header.key
        if not self._peers.settings.lookup:
            return self._conclude_missing(key, [event], now)
        actions = [] if key in self._open else self.start(key, now)
        lookup = self._open.get(key)
        if lookup is None:
            return [*actions, Count('packets_dropped_lookup_rate')]
        if len(lookup.queue) >= self._peers.settings.queue_per_flow:
            return [*actions, Count('packets_dropped_lookup_queue')]
        lookup.queue.append(event)
        return [*actions, *self._check(key, now)]

    def start(self, key: FlowKey, now: float) -> list[Any]:
        """Open a lookup within the rate limit."""
        if key in self._open:
            return []
        if now >= self._rate.since + _RATE_PERIOD_S:
            self._rate = _Rate(now)
        if self._rate.used >= self._peers.settings.lookups_per_second:
            return [Count('lookups_refused')]
        self._rate = self._rate._replace(used=self._rate.used + 1)
        nonce = self._rng.getrandbits(_NONCE_BITS)
        doubted = self._directory.find(bucket_of(key), key)
        self._open[key] = _Lookup(nonce, doubted, set(), [], now, 0)
        return [Count('lookups_opened'), *self._transmit(key, now)]

    def answered(self, message: FlowFound, now: float) -> list[Any]:
        """Handle one member's answer."""
        key = message.key
        lookup = self._open.get(key)
        if lookup is None or lookup.nonce != message.nonce:
            return []
        row = self._peers.holder(message.sender.agent)
        if not message.found or row is None:
            lookup.missing.add(message.sender.agent)
            return self._check(key, now)
        self._open.pop(key)
        self._directory.record(key, row.agent)
        actions: list[Any] = [Count('lookups_found')]
        for event in lookup.queue:
            actions.extend(forward(event, row))
        return actions

    def tick(self, now: float) -> list[Any]:
        """Repeat open lookups, and end those without all answers."""
        actions: list[Any] = []
        for key, lookup in tuple(self._open.items()):
            actions += self._check(key, now)
            if key not in self._open or now < lookup.next_at:
                continue
            if lookup.tries < self._peers.settings.lookup_tries:
                actions += self._transmit(key, now)
                continue
            self._open.pop(key)
            actions.append(Count('lookups_unanswered'))
            if lookup.queue:
                actions.append(Count('packets_dropped_lookup', len(lookup.queue)))
        return actions

    def _asked(self) -> list[Member]:
        return [row for row in self._peers.others if not self._peers.is_out(row)]

    def _transmit(self, key: FlowKey, now: float) -> list[Any]:
        lookup = self._open[key]
        self._open[key] = lookup._replace(
            next_at=now + self._peers.settings.retry_interval,
            tries=lookup.tries + 1,
        )
        message = FindFlow(self._peers.sender, lookup.nonce, key)
        return [
            Send(row.endpoint, message)
            for row in self._asked()
            if row.agent not in lookup.missing
        ]

    def _check(self, key: FlowKey, now: float) -> list[Any]:
        lookup = self._open[key]
        if any(row.agent not in lookup.missing for row in self._asked()):
            return []
        self._open.pop(key)
        known = self._directory.find(bucket_of(key), key)
        holder = None if known is None else self._peers.holder(known)
        if holder is None or known == lookup.doubted:
            return self._conclude_missing(key, lookup.queue, now)
        return [action for event in lookup.queue for action in forward(event, holder)]

    def _conclude_missing(
        self,
        key: FlowKey,
        queue: list[PacketArrived],
        now: float,
    ) -> list[Any]:
        if not self._may_reset(key, now):
            return [Count('lookups_inconclusive')]
        self._directory.remove(key)
        return [
            Count('lookups_missing'),
            *(
                ResetCaller(event.header)
                for event in queue
                if not event.header.flags & RST
            ),
        ]

    def _may_reset(self, key: FlowKey, now: float) -> bool:
        grace = self._peers.settings.adoption_grace
        return (
            self._tokens.admits(bucket_of(key), now)
            and not self._flows.holds(key)
            and not self._directory.is_recent(key, ANY_SEQUENCE, now)
            and now >= self._peers.last_loss + grace
        )
