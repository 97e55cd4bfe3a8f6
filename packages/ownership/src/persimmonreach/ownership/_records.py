"""Keeps the directory in step with the holders: announcements and ended flows."""

from typing import Any, NamedTuple

from persimmonreach.core import AgentId, Count, Endpoint, FlowKey, Send, bucket_of
from persimmonreach.flows import LocalFlows
from persimmonreach.ownership._chunks import split_flows
from persimmonreach.ownership._directory import ANY_SEQUENCE, Directory
from persimmonreach.ownership._events import EndLocalFlow, ResetFlow
from persimmonreach.ownership._peers import Peers
from persimmonreach.ownership._tokens import Tokens
from persimmonreach.ownership.messages import (
    AnnounceFlows,
    FlowConflict,
    FlowForgotten,
    FlowsRecorded,
    HeldFlow,
)


class _Announced(NamedTuple):
    holder: AgentId
    tries: int


class Records:
    """Records of flows that this agent sends to owners or keeps as owner."""

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
        self._announced: dict[FlowKey, _Announced] = {}
        self._ended: list[FlowKey] = []
        self._next_at = float('-inf')

    def announce(self, flow: HeldFlow, now: float) -> None:
        """Announce a flow until its owner has settled it."""
        self._announced[flow.key] = _Announced(flow.holder, 0)
        self._next_at = min(self._next_at, now)

    def placed(self, key: FlowKey, holder: AgentId | None, now: float) -> list[Any]:
        """Settle a placement of this agent."""
        until = now + self._peers.settings.copy_lifetime
        if holder is None:
            self._directory.cancel_placement(key)
            return []
        if not self._directory.end_placement(key, until):
            return [Count('placements_unexpected')]
        if not self._tokens.owns(bucket_of(key)):
            self.announce(HeldFlow(key, holder), now)
        elif holder != self._peers.agent:
            self._directory.record(key, holder)
        return []

    def local_ended(self, key: FlowKey, now: float) -> None:
        """Note that a local flow has ended."""
        self._announced.pop(key, None)
        bucket = bucket_of(key)
        lifetime = self._peers.settings.copy_lifetime
        if self._tokens.owns(bucket):
            self._hold_back(key, now)
        else:
            self._directory.hold_back(key, ANY_SEQUENCE, now + lifetime)
            self._ended.append(key)

    def forgotten(self, message: FlowForgotten, now: float) -> None:
        """Remove flows that have ended at another agent."""
        for key in message.keys:
            bucket = bucket_of(key)
            if self._directory.find(bucket, key) == message.sender.agent:
                self._directory.remove(key)
                if self._tokens.owns(bucket):
                    self._hold_back(key, now)

    def recorded(self, message: FlowsRecorded) -> None:
        """Stop announcing flows that the owner has settled."""
        for key in message.keys:
            self._announced.pop(key, None)

    def announced(self, endpoint: Endpoint, message: AnnounceFlows) -> list[Any]:
        """Settle announced flows of the buckets that this agent owns."""
        settled = tuple(
            row
            for row in message.flows
            if self._tokens.owns(bucket_of(row.key))
            and not self._directory.is_pending(row.key)
        )
        if not settled:
            return []
        actions: list[Any] = []
        for flow in settled:
            actions.extend(self._settle(flow))
        keys = tuple(settled_flow.key for settled_flow in settled)
        return [*actions, Send(endpoint, FlowsRecorded(self._peers.sender, keys))]

    def conflicted(self, message: FlowConflict) -> list[Any]:
        """End a local flow that another agent holds."""
        self._announced.pop(message.key, None)
        if message.holder == self._peers.agent or not self._flows.holds(message.key):
            return []
        return [EndLocalFlow(message.key, 'conflict')]

    def leave_zones(self, now: float) -> list[Any]:
        """Remove flows whose holder is in a zone that is out of service."""
        if not self._peers.has_zones_out:
            return []
        lost = self._directory.remove_where(self._peers.is_agent_out)
        until = now + self._peers.settings.reset_memory
        for ended in lost:
            self._directory.note_reset(ended, until)
        return [ResetFlow(key) for key in lost]

    def tick(self, now: float) -> list[Any]:
        """Send ended flows, and announce flows that are not settled."""
        if now < self._next_at or not (self._announced or self._ended):
            return []
        self._next_at = now + 2 * self._peers.settings.retry_interval
        actions = self._send_ended()
        by_owner: dict[Endpoint, list[HeldFlow]] = {}
        for key, known in tuple(self._announced.items()):
            actions.extend(self._collect(key, known, by_owner))
        return [
            *actions,
            *(
                Send(endpoint, AnnounceFlows(self._peers.sender, chunk.flows))
                for endpoint, rows in by_owner.items()
                for chunk in split_flows(tuple(rows))
            ),
        ]

    def _collect(
        self,
        key: FlowKey,
        known: _Announced,
        by_owner: dict[Endpoint, list[HeldFlow]],
    ) -> list[Any]:
        bucket = bucket_of(key)
        flow = HeldFlow(key, known.holder)
        if self._tokens.owns(bucket) and not self._directory.is_pending(key):
            self._announced.pop(key)
            return self._settle(flow)
        owner = self._peers.expected(bucket)
        if owner is None or owner.agent == self._peers.agent:
            return []
        if known.tries >= self._peers.settings.announce_tries:
            self._announced.pop(key)
            return [Count('announcements_unanswered')]
        self._announced[key] = known._replace(tries=known.tries + 1)
        by_owner.setdefault(owner.endpoint, []).append(flow)
        return []

    def _settle(self, flow: HeldFlow) -> list[Any]:
        recorded = self._current_holder(flow.key)
        if recorded in {None, flow.holder}:
            self._record(flow)
            return []
        # The recorded flow stays if the caller has sent more than the first
        # packet through this owner, or if it is local: its packets do not
        # pass the directory. An announced flow is open at its backend server.
        if self._directory.is_established(flow.key):
            return self._conflict(flow.holder, flow.key, recorded)
        self._record(flow)
        return self._conflict(recorded, flow.key, flow.holder)

    def _current_holder(self, key: FlowKey) -> AgentId | None:
        if self._flows.holds(key):
            return self._peers.agent
        recorded = self._directory.find(bucket_of(key), key)
        if recorded is None or self._peers.holder(recorded) is None:
            return None
        return recorded

    def _record(self, flow: HeldFlow) -> None:
        if flow.holder != self._peers.agent:
            self._directory.record(flow.key, flow.holder)
            self._directory.confirm(flow.key)

    def _conflict(self, loser: AgentId, key: FlowKey, winner: AgentId) -> list[Any]:
        if loser == self._peers.agent:
            return [EndLocalFlow(key, 'conflict'), Count('flow_conflicts')]
        message = FlowConflict(self._peers.sender, key, winner)
        return [*self._peers.send_to(loser, message), Count('flow_conflicts')]

    def _hold_back(self, key: FlowKey, now: float) -> None:
        # The first packet may have been admitted by an earlier owner whose
        # recent first packets were lost with it.
        until = (
            self._tokens.regenerated_at(bucket_of(key))
            + self._peers.settings.copy_lifetime
        )
        if now < until:
            self._directory.hold_back(key, ANY_SEQUENCE, until)

    def _send_ended(self) -> list[Any]:
        by_owner: dict[Endpoint, list[HeldFlow]] = {}
        for key in self._ended:
            owner = self._peers.expected(bucket_of(key))
            if owner is not None and owner.agent != self._peers.agent:
                row = HeldFlow(key, self._peers.agent)
                by_owner.setdefault(owner.endpoint, []).append(row)
        self._ended.clear()
        return [
            Send(endpoint, FlowForgotten(self._peers.sender, chunk.keys))
            for endpoint, rows in by_owner.items()
            for chunk in split_flows(tuple(rows))
        ]
