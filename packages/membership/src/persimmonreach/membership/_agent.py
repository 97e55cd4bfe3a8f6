"""Membership of an agent: heartbeats, admission lease and service view."""

import random
from collections.abc import Sequence
from types import MappingProxyType
from typing import Any

from persimmonreach.configuration import (
    ConfigurationChanged,
    EntriesChanged,
    VersionOffered,
)
from persimmonreach.core import (
    Action,
    Endpoint,
    Event,
    Incarnation,
    Received,
    Send,
    StateChange,
    StateMachine,
    Tick,
)
from persimmonreach.membership._agent_view import AgentView
from persimmonreach.membership._events import (
    FlowsCounted,
    ReportLoad,
    StateAnnounced,
)
from persimmonreach.membership._lease import Lease
from persimmonreach.membership._lists import ListFollower
from persimmonreach.membership._progress import AgentProgress
from persimmonreach.membership._registrars import RegistrarSets
from persimmonreach.membership._settings import MembershipSettings
from persimmonreach.membership._view import (
    LeaseLapsed,
    LeaseRenewed,
    Member,
    View,
    ViewChanged,
)
from persimmonreach.membership.messages import (
    EntryList,
    HeartbeatAck,
    ServiceView,
)


class AgentMembership(StateMachine):
    """Sends heartbeats, holds the admission lease and follows the view.

    Events: ``Tick``, ``Received``, ``EntriesChanged``, ``StateAnnounced`` and
    ``FlowsCounted``.

    Parameters
    ----------
    member
        The agent itself. Its incarnation exceeds every earlier one of this
        agent id, for example the wall-clock time in milliseconds.
    settings
        Periods.
    seeds
        Entry instances to ask for the list of entry instances.
    rng
        Source of random numbers.

    """

    def __init__(
        self,
        member: Member,
        settings: MembershipSettings,
        seeds: Sequence[Endpoint],
        rng: random.Random,
    ) -> None:
        self._settings = settings
        self._seeds = tuple(seeds)
        self._rng = rng
        self._registrars = RegistrarSets(settings.handover_s)
        self._lease = Lease(member.service, self._registrars, settings.lease_s)
        self._table = AgentView(member)
        self._lists = ListFollower(self._registrars)
        self._progress = AgentProgress()
        self._handlers = MappingProxyType(
            {
                EntriesChanged: self._adopt,
                StateAnnounced: self._announce,
                HeartbeatAck: self._acknowledge,
                ServiceView: self._merge_view,
                EntryList: self._collect_list,
            },
        )

    @property
    def member(self) -> Member:
        """The agent itself as it announces itself."""
        return self._table.own

    @property
    def valid_until(self) -> float | None:
        """End of the admission lease; ``None`` without a lease."""
        return self._lease.valid_until

    @property
    def view(self) -> View:
        """Present view of the service."""
        return self._table.view

    @property
    def is_announced(self) -> bool:
        """Whether a majority of registrars acknowledged the present state."""
        since = self._progress.announced_in
        voters = self._table.acknowledged(since)
        return self._registrars.has_majority(self.member.service, voters)

    def handle(self, event: Event, now: float) -> tuple[Action, ...]:
        """Return the actions that ``event`` causes."""
        self._registrars.expire(now)
        actions = self._check_lease(now)
        if isinstance(event, Tick):
            is_due = now >= self._progress.next_heartbeat
            return (*actions, *self._beat(now)) if is_due else actions
        if isinstance(event, FlowsCounted):
            self._progress.flows = event
            return actions
        if isinstance(event, ConfigurationChanged):
            self._progress.config_version = event.configuration.version
            return actions
        sender = event.sender if isinstance(event, Received) else None
        content = event.message if isinstance(event, Received) else event
        react: Any = self._handlers.get(type(content))
        return (*actions, *react(content, sender, now)) if react else actions

    def _check_lease(self, now: float) -> tuple[Action, ...]:
        ends_at = self._lease.valid_until
        if ends_at is None or now < ends_at:
            return ()
        return self._lapse(Incarnation(self.member.incarnation + 1), now)

    def _lapse(self, incarnation: Incarnation, now: float) -> tuple[Action, ...]:
        self._lease.drop()
        if not self._progress.replaced:
            self._table.raise_incarnation(incarnation)
        lapsed = LeaseLapsed(self.member.incarnation)
        return (lapsed, *self._view_actions(), *self._beat(now))

    def _beat(self, now: float) -> tuple[Action, ...]:
        progress = self._progress
        progress.next_heartbeat = now + self._settings.heartbeat_s
        if progress.replaced:
            return ()
        progress.sequence += 1
        self._lease.note_sent(progress.sequence, now)
        heartbeat = progress.heartbeat(
            self.member,
            self._table.view.digest,
            self._registrars.present.version,
        )
        registrars = self._registrars.everyone(self.member.service)
        sends = tuple(Send(entry.endpoint, heartbeat) for entry in registrars)
        load = ReportLoad(self._table.peer_endpoints)
        return (*sends, *self._ask_for_list(now), load)

    def _ask_for_list(self, now: float) -> tuple[Action, ...]:
        is_silent = now - self._progress.heard_at >= self._settings.fence_s
        if self._registrars.present.entries and not is_silent:
            return ()
        return self._lists.ask_any(self._seeds, self._rng)

    def _adopt(
        self,
        change: EntriesChanged,
        _: Endpoint | None,
        now: float,
    ) -> tuple[Action, ...]:
        if not self._registrars.adopt(change, now):
            return ()
        self._progress.heard_at = now
        return self._beat(now)

    def _collect_list(
        self,
        message: EntryList,
        _: Endpoint,
        now: float,
    ) -> tuple[Action, ...]:
        change = self._lists.collect(message, now)
        if change is None:
            return ()
        self._progress.heard_at = now
        return (change, *self._beat(now))

    def _announce(
        self,
        event: StateAnnounced,
        _: Endpoint | None,
        now: float,
    ) -> tuple[Action, ...]:
        self._table.announce(event.state)
        self._progress.announced_in = self._progress.sequence + 1
        return (*self._view_actions(), *self._beat(now))

    def _acknowledge(
        self,
        ack: HeartbeatAck,
        sender: Endpoint,
        now: float,
    ) -> tuple[Action, ...]:
        if ack.agent != self.member.agent or self._progress.replaced:
            return ()
        self._progress.heard_at = now
        actions: list[Action] = []
        actions.extend(self._lists.ask_for(ack.entries_version, sender))
        if ack.config_version > self._progress.config_version:
            actions.append(VersionOffered(ack.config_version, sender))
        if ack.incarnation > self.member.incarnation:
            return (*actions, *self._meet_newer(ack.incarnation, now))
        if ack.incarnation == self.member.incarnation:
            actions.extend(self._take_grant(ack, now))
        return tuple(actions)

    def _take_grant(self, ack: HeartbeatAck, now: float) -> tuple[Action, ...]:
        if ack.is_dead and self._lease.valid_until is None:
            return self._lapse(Incarnation(self.member.incarnation + 1), now)
        actions: list[Action] = []
        self._table.note_acknowledged(ack.entry, ack.sequence)
        if self._lease.acknowledge(ack, now):
            self._progress.had_lease = True
            actions.append(LeaseRenewed(self._lease.valid_until or now))
        return (*actions, *self._confirm())

    def _confirm(self) -> tuple[Action, ...]:
        confirmed = self._lease.confirm(self._table.view.digest)
        return (confirmed,) if confirmed else ()

    def _meet_newer(self, incarnation: int, now: float) -> tuple[Action, ...]:
        if not self._progress.had_lease:
            # An earlier process of this agent had a clock that was ahead.
            return self._lapse(Incarnation(incarnation + 1), now)
        if self._progress.replaced:
            return ()
        self._progress.replaced = True
        replaced = StateChange('agent_replaced', self.member.agent, str(incarnation))
        return (replaced, *self._lapse(self.member.incarnation, now))

    def _merge_view(
        self,
        message: ServiceView,
        _: Endpoint,
        now: float,
    ) -> tuple[Action, ...]:
        if message.service != self.member.service:
            return ()
        newer = self._table.merge(message)
        actions = self._view_actions()
        if newer > self.member.incarnation:
            return (*actions, *self._meet_newer(newer, now))
        return (*actions, *self._confirm())

    def _view_actions(self) -> tuple[Action, ...]:
        return (ViewChanged(self.view),) if self._table.take_changed() else ()
