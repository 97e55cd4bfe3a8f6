"""What happens to a packet of a flow that is not local."""

from typing import Any

from persimmonreach.core import BucketId, Count, bucket_of
from persimmonreach.flows import LocalFlows
from persimmonreach.membership import Member
from persimmonreach.ownership._events import (
    Admit,
    DeliverLocal,
    PacketArrived,
    ResetCaller,
)
from persimmonreach.ownership._forwarding import forward
from persimmonreach.ownership._parts import Parts
from persimmonreach.ownership.messages import FlowMissing


class PacketPath:
    """Routes the packets that an agent receives."""

    def __init__(self, parts: Parts, flows: LocalFlows) -> None:
        self._parts = parts
        self._flows = flows

    def route(self, event: PacketArrived, now: float) -> list[Any]:
        """Return what to do with a packet."""
        key = event.header.key
        if self._flows.holds(key):
            return [DeliverLocal(event.header, event.packet)]
        if event.header.is_first and self._parts.pauses.may_be_stale(now):
            return [Count('first_packets_stale')]
        bucket = bucket_of(key)
        agent = self._parts.directory.find(bucket, key)
        holder = None if agent is None else self._parts.peers.holder(agent)
        if holder is None:
            return self._route_unknown(bucket, event, now)
        if event.header.is_first:
            return forward(event, holder)
        if self._parts.lookups.is_open(key):
            return self._parts.lookups.queue(event, now)
        self._parts.directory.confirm(key)
        return forward(event, holder)

    def release(self, now: float) -> list[Any]:
        """Route first packets whose bucket has an owner by now."""
        actions: list[Any] = []
        parts = self._parts
        for bucket in parts.waiting.buckets:
            if parts.tokens.admits(bucket, now) or not parts.peers.is_expected(bucket):
                for event in parts.waiting.take(bucket, now):
                    actions.extend(self.route(event, now))
        return actions

    def _route_unknown(
        self,
        bucket: BucketId,
        event: PacketArrived,
        now: float,
    ) -> list[Any]:
        parts = self._parts
        key = event.header.key
        if not event.header.is_first and parts.directory.was_reset(key, now):
            return [ResetCaller(event.header), Count('packets_of_flows_reset')]
        if parts.directory.is_pending(key):
            return [Count('packets_of_pending_placement')]
        if parts.tokens.admits(bucket, now):
            return self._route_as_owner(event, now)
        expected = parts.peers.expected(bucket)
        if expected is None:
            return [Count('packets_dropped_no_owner')]
        if expected.agent != parts.peers.agent:
            return self._pass_on(event, expected)
        if not event.header.is_first:
            return parts.lookups.queue(event, now)
        if parts.waiting.add(bucket, event, now):
            return [Count('first_packets_queued')]
        return [Count('first_packets_dropped')]

    def _route_as_owner(self, event: PacketArrived, now: float) -> list[Any]:
        header = event.header
        if not header.is_first:
            return self._parts.lookups.queue(event, now)
        if self._parts.directory.is_recent(header.key, header.sequence, now):
            return [Count('first_packet_copies')]
        self._parts.directory.start_placement(header.key, header.sequence, now)
        return [Admit(header, event.packet)]

    def _pass_on(self, event: PacketArrived, owner: Member) -> list[Any]:
        actions = forward(event, owner)
        if event.hops and self._parts.peers.is_ready:
            missing = FlowMissing(self._parts.peers.sender, event.header.key)
            actions += self._parts.peers.send_to(owner.agent, missing)
        return actions
