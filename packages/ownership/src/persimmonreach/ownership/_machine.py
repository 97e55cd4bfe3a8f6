"""Decisions of an agent about tokens, directory and lookups."""

import random
from collections.abc import Callable
from types import MappingProxyType
from typing import Any, TypeAlias, final

from persimmonreach.configuration import ConfigurationChanged
from persimmonreach.core import (
    BUCKETS_PER_SERVICE,
    Action,
    AgentId,
    BucketId,
    Count,
    Event,
    FlowKey,
    Incarnation,
    Received,
    ServiceId,
    StateMachine,
    Tick,
    bucket_of,
)
from persimmonreach.flows import LocalFlows
from persimmonreach.membership import (
    LeaseLapsed,
    LeaseRenewed,
    ViewChanged,
    ViewConfirmed,
)
from persimmonreach.ownership._events import (
    DeliverLocal,
    EndLocalFlow,
    FlowPlaced,
    LocalFlowEnded,
    LocalFlowsAdopted,
    PacketArrived,
)
from persimmonreach.ownership._messaging import Exchange
from persimmonreach.ownership._packets import PacketPath
from persimmonreach.ownership._parts import build_parts
from persimmonreach.ownership._settings import OwnershipSettings
from persimmonreach.ownership.messages import HeldFlow

_EventHandler: TypeAlias = Callable[[Any, float], list[Any]]
_HandlerTable: TypeAlias = MappingProxyType[type, _EventHandler]


@final
class BucketOwnership(StateMachine):
    """Tokens, flow directory and lookups of one agent.

    Parameters
    ----------
    agent
        Id of this agent.
    service
        Service of its backend server.
    settings
        Time limits and sizes.
    flows
        Flows of the local backend server.
    rng
        Source of nonces and pauses; must differ after a restart.

    Notes
    -----
    The agent answers no claim and no lookup before ``LocalFlowsAdopted`` has
    arrived (with no keys if the backend server has no open flows), as its
    answers would be incomplete.

    """

    def __init__(
        self,
        agent: AgentId,
        service: ServiceId,
        settings: OwnershipSettings,
        flows: LocalFlows,
        rng: random.Random,
    ) -> None:
        self._flows = flows
        self._parts = build_parts((agent, service), settings, flows, rng)
        self._packets = PacketPath(self._parts, flows)
        self._exchange = Exchange(self._parts, flows)
        self._started_at: float | None = None
        self._handlers: _HandlerTable = MappingProxyType(
            {
                PacketArrived: self._packets.route,
                Received: self._received,
                Tick: self._tick,
                FlowPlaced: self._flow_placed,
                LocalFlowEnded: self._flow_ended,
                LocalFlowsAdopted: self._flows_adopted,
                ViewChanged: self._view_changed,
                ViewConfirmed: self._view_confirmed,
                LeaseRenewed: self._lease_renewed,
                LeaseLapsed: self._lease_lapsed,
                ConfigurationChanged: self._configuration_changed,
            },
        )

    @property
    def owned(self) -> frozenset[BucketId]:
        """Buckets whose token is here, whether or not the lease is valid."""
        return self._parts.tokens.owned

    def admits(self, bucket: BucketId, now: float) -> bool:
        """Return whether a new flow of ``bucket`` would be admitted now."""
        return self._parts.tokens.admits(bucket, now)

    def is_settled(self, now: float) -> bool:
        """Return whether the agent may admit in all buckets expected of it."""
        peers = self._parts.peers
        return peers.may_admit(now) and all(
            bucket in self.owned
            for bucket in range(BUCKETS_PER_SERVICE)
            if peers.is_expected(BucketId(bucket))
        )

    def accepts_placement(
        self,
        key: FlowKey,
        owner: tuple[AgentId, Incarnation],
        now: float,
    ) -> bool:
        """Return whether a placement by this owner may still be accepted.

        False if the agent has answered a claim of another owner since, so
        that a placement that was delayed does not repeat one of the new owner.
        """
        return self._parts.answers.accepts_placement(bucket_of(key), owner, now)

    def handle(self, event: Event, now: float) -> tuple[Action, ...]:
        """Return the actions that ``event`` causes."""
        if isinstance(event, PacketArrived) and self._flows.holds(event.header.key):
            return (DeliverLocal(event.header, event.packet),)
        if self._started_at is None:
            self._started_at = now
            self._parts.peers.last_loss = now
        self._parts.pauses.note(now)
        actions = self._check_lease(now)
        actions += self._handlers[type(event)](event, now)
        if not isinstance(event, PacketArrived):
            parts = self._parts
            actions += parts.claims.settle(now, parts.answers.yielded_at)
            actions += self._packets.release(now)
        return tuple(actions)

    def _check_lease(self, now: float) -> list[Any]:
        if self._parts.peers.may_admit(now):
            return []
        self._parts.claims.close()
        self._parts.handover.drop_all()
        return self._parts.tokens.drop_all()

    def _received(self, event: Received, now: float) -> list[Any]:
        if event.message.sender.service != self._parts.peers.sender.service:
            return [Count('messages_of_other_service')]
        return self._exchange.receive(event, now)

    def _tick(self, event: Tick, now: float) -> list[Any]:
        parts = self._parts
        parts.directory.expire(now)
        dropped = parts.waiting.expire(now)
        return [
            *parts.handover.tick(now),
            *self._claim(now),
            *parts.lookups.tick(now),
            *parts.records.tick(now),
            *parts.records.leave_zones(now),
            *([Count('first_packets_dropped', dropped)] if dropped else []),
        ]

    def _claim(self, now: float) -> list[Any]:
        # An agent that restarted has forgotten the claims it answered.
        block = self._parts.peers.settings.claim_block
        started_at = now if self._started_at is None else self._started_at
        if not self._parts.peers.is_ready or now < started_at + block:
            return []
        return self._parts.claims.tick(now, self._parts.answers.yielded_at)

    def _flow_placed(self, event: FlowPlaced, now: float) -> list[Any]:
        parts = self._parts
        actions = parts.records.placed(event.key, event.holder, now)
        return [*actions, *parts.handover.grant_settled(now)]

    def _flow_ended(self, event: LocalFlowEnded, now: float) -> list[Any]:
        self._parts.records.local_ended(event.key, now)
        return []

    def _flows_adopted(self, event: LocalFlowsAdopted, now: float) -> list[Any]:
        self._parts.peers.is_ready = True
        for key in event.keys:
            flow = HeldFlow(key, self._parts.peers.agent)
            self._parts.records.announce(flow, now)
        return self._parts.records.tick(now)

    def _view_changed(self, event: ViewChanged, now: float) -> list[Any]:
        self._parts.peers.change_view(event.view, now)
        return self._members_changed(now)

    def _view_confirmed(self, event: ViewConfirmed, now: float) -> list[Any]:
        self._parts.peers.confirm(event)
        return []

    def _lease_renewed(self, event: LeaseRenewed, now: float) -> list[Any]:
        peers = self._parts.peers
        peers.lease_until = max(peers.lease_until, event.valid_until)
        return []

    def _lease_lapsed(self, event: LeaseLapsed, now: float) -> list[Any]:
        self._parts.peers.change_incarnation(event.incarnation)
        if not self._parts.peers.settings.fencing:
            return []
        self._parts.peers.lease_until = float('-inf')
        return self._check_lease(now)

    def _configuration_changed(
        self,
        event: ConfigurationChanged,
        now: float,
    ) -> list[Any]:
        self._parts.peers.change_zones(event.configuration.zones_out)
        return self._members_changed(now)

    def _members_changed(self, now: float) -> list[Any]:
        actions = self._parts.records.leave_zones(now)
        if self._parts.peers.own_zone_is_out:
            actions += [
                EndLocalFlow(key, 'zone out of service')
                for bucket in range(BUCKETS_PER_SERVICE)
                for key in self._flows.keys_in(BucketId(bucket))
            ]
        self._parts.claims.delay(now)
        return [*actions, *self._parts.handover.change_members(now)]
