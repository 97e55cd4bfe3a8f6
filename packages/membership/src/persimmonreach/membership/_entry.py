"""Membership of an entry instance: registrar, member table and gossip."""

import random
from collections.abc import Iterable
from types import MappingProxyType
from typing import Any

from persimmonreach.configuration import (
    ConfigurationChanged,
    EntriesChanged,
    EntryInstance,
)
from persimmonreach.core import (
    Action,
    AgentId,
    Endpoint,
    Event,
    Received,
    Send,
    ServiceId,
    StateMachine,
    Tick,
)
from persimmonreach.membership._chunks import (
    list_messages,
    view_messages,
)
from persimmonreach.membership._duty import RegistrarDuty
from persimmonreach.membership._gossip import AntiEntropy
from persimmonreach.membership._lists import ListFollower
from persimmonreach.membership._progress import EntryProgress
from persimmonreach.membership._registrars import RegistrarSets
from persimmonreach.membership._reports import AgentReport, AgentReports
from persimmonreach.membership._retention import Retention
from persimmonreach.membership._rows import RowChanges
from persimmonreach.membership._settings import MembershipSettings
from persimmonreach.membership._table import MemberRow, MemberTable
from persimmonreach.membership._view import View, ViewChanged
from persimmonreach.membership.messages import (
    EntryList,
    EntryListRequest,
    Heartbeat,
    HeartbeatAck,
    MemberRows,
    TableDigest,
)


class EntryMembership(StateMachine):
    """Answers heartbeats and keeps the member rows of all services.

    Events: ``Tick``, ``Received``, ``EntriesChanged`` and
    ``ConfigurationChanged``.

    Parameters
    ----------
    entry
        This entry instance.
    settings
        Periods.
    rng
        Source of random numbers.

    """

    def __init__(
        self,
        entry: EntryInstance,
        settings: MembershipSettings,
        rng: random.Random,
    ) -> None:
        self._entry = entry
        self._settings = settings
        self._rng = rng
        self._registrars = RegistrarSets(settings.handover_s)
        self._table = MemberTable()
        self._duty = RegistrarDuty(entry.entry, settings, self._registrars, self._table)
        self._gossip = AntiEntropy(self._table, self._registrars)
        self._changes = RowChanges(self._table, self._duty, settings)
        self._retention = Retention(self._table, settings.retention_s)
        self._lists = ListFollower(self._registrars)
        self._progress = EntryProgress()
        self._reports = AgentReports()
        self._handlers = MappingProxyType(
            {
                Heartbeat: self._answer,
                MemberRows: self._take_rows,
                EntryListRequest: self._send_list,
                EntryList: self._collect_list,
            },
        )

    @property
    def synced(self) -> bool:
        """Whether the table matched that of a peer, or no peer is known."""
        return self._gossip.has_matched or not self._peers

    @property
    def digest(self) -> int:
        """Hash of all rows; equal on entry instances with equal rows."""
        return self._table.digest

    @property
    def rows(self) -> tuple[MemberRow, ...]:
        """Rows of all services."""
        return self._table.rows

    @property
    def _peers(self) -> list[Endpoint]:
        return [
            entry.endpoint
            for entry in self._registrars.present.entries
            if entry.entry != self._entry.entry
        ]

    def view(self, service: ServiceId) -> View:
        """Return the present view of a service."""
        return self._table.view(service)

    def report_of(self, agent: AgentId) -> AgentReport | None:
        """Return the last heartbeat of an agent, if one was received here."""
        return self._reports.find(agent)

    def handle(self, event: Event, now: float) -> tuple[Action, ...]:
        """Return the actions that ``event`` causes."""
        self._duty.note_time(now)
        self._registrars.expire(now)
        actions: tuple[Action, ...] = ()
        if isinstance(event, Tick):
            actions = self._act_on_time(now)
        elif isinstance(event, EntriesChanged):
            self._adopt(event, now)
        elif isinstance(event, ConfigurationChanged):
            self._progress.config_version = event.configuration.version
        elif isinstance(event, Received):
            actions = self._receive(event, now)
        changes = self._changes.take_actions()
        pushes = (push for change in changes for push in self._push(change))
        return (*actions, *changes, *pushes)

    def _receive(self, event: Received, now: float) -> tuple[Action, ...]:
        message = event.message
        react: Any = self._handlers.get(type(message))
        if react:
            return tuple(react(message, event.sender, now))
        if not self._settings.anti_entropy:
            return ()
        ask: tuple[Action, ...] = ()
        if isinstance(message, TableDigest):
            ask = self._lists.ask_for(message.entries_version, event.sender)
        return (*ask, *self._gossip.receive(message, event.sender))

    def _act_on_time(self, now: float) -> tuple[Action, ...]:
        progress = self._progress
        if self._duty.has_run_for(self._settings.fence_s, now):
            self._gossip.note_waited()
        if now >= progress.next_scan:
            progress.next_scan = now + self._settings.heartbeat_s / 2
            self._scan(now)
        gossip: tuple[Action, ...] = ()
        if self._settings.anti_entropy and now >= progress.next_gossip:
            period = self._settings.gossip_s if self.synced else self._settings.batch_s
            progress.next_gossip = now + period
            gossip = self._compare_with_peer()
        messages = self._changes.take_batch(self._registrars.present.version, now)
        sends = (Send(peer, message) for peer in self._peers for message in messages)
        return (*gossip, *sends)

    def _scan(self, now: float) -> None:
        self._changes.publish(self._duty.accuse(now), now)
        self._changes.settle(now)
        for service in self._retention.sweep(now):
            self._changes.note(service)
        self._reports.forget_removed(self._table)

    def _compare_with_peer(self) -> tuple[Action, ...]:
        peers = self._peers
        if not peers:
            return ()
        return (self._gossip.open_exchange(self._rng.choice(peers)),)

    def _answer(
        self,
        heartbeat: Heartbeat,
        sender: Endpoint,
        now: float,
    ) -> Iterable[Action]:
        member = heartbeat.member
        self._reports.note(heartbeat, now)
        self._changes.publish((MemberRow(member._replace(alive=True)),), now)
        is_dead = self._duty.has_declared_dead(member)
        is_granted = self._may_grant(now) and self._duty.grant(member, now)
        view = self._table.view(member.service)
        yield Send(
            sender,
            HeartbeatAck(
                self._entry.entry,
                member.agent,
                heartbeat.sequence,
                max(member.incarnation, self._table.known_incarnation(member.agent)),
                self._settings.lease_s if is_granted else 0,
                is_dead,
                view.digest,
                self._progress.config_version,
                self._registrars.present.version,
            ),
        )
        if heartbeat.digest != view.digest:
            for message in view_messages(view):
                yield Send(sender, message)

    def _push(self, change: Action) -> Iterable[Action]:
        """Send a changed view at once; acknowledgements repeat it if it is lost."""
        if not isinstance(change, ViewChanged):
            return
        view = change.view
        if not self._registrars.is_first(view.service, self._entry.entry):
            return
        for member in view.members:
            if member.is_reachable:
                for message in view_messages(view):
                    yield Send(member.endpoint, message)

    def _may_grant(self, now: float) -> bool:
        # An earlier process of this entry instance may have declared agents
        # dead; its opinions come with the rows of a peer.
        return self.synced or self._duty.has_run_for(self._settings.fence_s, now)

    def _take_rows(
        self,
        message: MemberRows,
        sender: Endpoint,
        now: float,
    ) -> Iterable[Action]:
        for row in message.rows:
            self._changes.merge(row)
        self._changes.settle(now)
        return self._lists.ask_for(message.entries_version, sender)

    def _send_list(
        self,
        _: EntryListRequest,
        sender: Endpoint,
        now: float,
    ) -> Iterable[Action]:
        messages = list_messages(self._registrars.present)
        return [Send(sender, message) for message in messages]

    def _collect_list(
        self,
        message: EntryList,
        sender: Endpoint,
        now: float,
    ) -> Iterable[Action]:
        change = self._lists.collect(message, now)
        if change is None:
            return ()
        self._duty.drop_other_services()
        return (change,)

    def _adopt(self, change: EntriesChanged, now: float) -> None:
        if self._registrars.adopt(change, now):
            self._duty.drop_other_services()
