"""Control traffic of one agent by members of its service."""

import random
from collections.abc import Iterable
from typing import Any, Final, NamedTuple

from persimmonreach.admission import (
    LocalFlowCount,
    Placement,
    PlacementSettings,
    TwoChoices,
)
from persimmonreach.configuration import (
    AgentConfiguration,
    AgentSettings,
    EntriesChanged,
    ZoneState,
)
from persimmonreach.configuration.messages import ServicePull, ServicePush
from persimmonreach.core import Action, Received, Send, Tick
from persimmonreach.membership import (
    AgentMembership,
    Member,
    ReportLoad,
    StateAnnounced,
    View,
    ViewChanged,
)
from persimmonreach.membership._chunks import view_messages
from persimmonreach.membership._table import digest_members
from persimmonreach.membership.messages import Heartbeat, HeartbeatAck
from persimmonreach.proof.bench_base import (
    Axis,
    Measurement,
    Report,
    Traffic,
    sent_messages,
)
from persimmonreach.proof.bench_inputs import (
    FULL_SIZE,
    SEED,
    ZONES,
    make_entries,
    make_member,
    make_services,
)

_MEMBERS: Final = (4, 10, 40)
# 5,700 backend servers behind 1,400 addresses.
_AXIS: Final = Axis('members', _MEMBERS, 4)
_ENTRIES: Final = 15
_FLOWS: Final = 1230
_SECONDS: Final = 60
_TICKS_PER_S: Final = 20
_UNIT: Final = 'B/s'


class _Sample(NamedTuple):
    sent: float
    received: float
    loads: float
    pulls: float


class _Agent:
    """Membership, placement and configuration of one agent in virtual time."""

    def __init__(self, members: int) -> None:
        rng = random.Random(SEED)
        self._rows = [make_member(number, 1) for number in range(members)]
        self._member = self._rows[0]
        service = make_services(1)[0]
        entries = make_entries(_ENTRIES)
        seeds = tuple(entry.endpoint for entry in entries)
        self._membership = AgentMembership(self._member, FULL_SIZE, seeds, rng)
        self._placement = Placement(
            self._member.agent,
            self._member.zone,
            service.service,
            PlacementSettings(),
            TwoChoices(),
            rng,
        )
        self._configuration = AgentConfiguration(
            AgentSettings(service.name, seeds),
            rng,
        )
        self._entries = EntriesChanged(1, entries)
        self._now = float(_SECONDS)
        self.heartbeats = Traffic()
        self.loads = Traffic()
        self.pulls = Traffic()
        self.answers = Traffic()

    @property
    def _view(self) -> View:
        members = tuple(sorted(self._rows))
        return View(self._member.service, members, digest_members(members))

    def start(self) -> None:
        """Learn the entry instances and the view."""
        self._member = self._rows[0]
        self._placement.handle(ViewChanged(self._view), self._now)
        self._placement.handle(LocalFlowCount(_FLOWS, _FLOWS * 2, False), self._now)
        self._perform(self._membership.handle(self._entries, self._now))
        state = StateAnnounced(self._member.state)
        self._perform(self._membership.handle(state, self._now))
        for part in view_messages(self._view):
            self._receive(part)
        self.heartbeats = Traffic()
        self.loads = Traffic()
        self.pulls = Traffic()
        self.answers = Traffic()

    def run(self) -> None:
        """Let a minute pass."""
        for _ in range(_SECONDS * _TICKS_PER_S):
            self._now += 1 / _TICKS_PER_S
            self._perform(self._membership.handle(Tick(), self._now))
            self._perform(self._configuration.handle(Tick(), self._now))

    def _receive(self, message: Any) -> None:
        sender = self._entries.entries[0].endpoint
        self._perform(self._membership.handle(Received(sender, message), self._now))

    def _perform(self, actions: Iterable[Action]) -> None:
        for action in actions:
            if isinstance(action, Send):
                self._answer(action)
            elif isinstance(action, ReportLoad):
                reports = self._placement.handle(action, self._now)
                self.loads = self.loads.add(sent_messages(reports))

    def _answer(self, action: Send) -> None:
        message = action.message
        if isinstance(message, ServicePull):
            self.pulls = self.pulls.add([message])
            push = self._push(message)
            self.answers = self.answers.add([push])
            self._configuration.handle(Received(action.to, push), self._now)
        elif isinstance(message, Heartbeat):
            self.heartbeats = self.heartbeats.add([message])
            ack = _acknowledge(message, self._entries, action)
            self.answers = self.answers.add([ack])
            self._membership.handle(Received(action.to, ack), self._now)

    def _push(self, pull: ServicePull) -> ServicePush:
        service = None if pull.version else make_services(1)[0]
        zones = tuple(ZoneState(zone, change='0123456789abcdef') for zone in ZONES)
        return ServicePush(1, 100, zones, service)


class AgentTraffic(Measurement):
    """Heartbeats, load reports and configuration pulls of an agent."""

    @property
    def name(self) -> str:
        """Name for ``--only``."""
        return 'agent-traffic'

    def run(self) -> Report:
        """Measure all sizes."""
        samples = [_measure(members) for members in _MEMBERS]
        names = (
            ('control bytes sent by an agent', _UNIT, 'sent'),
            ('control bytes received by an agent', _UNIT, 'received'),
            ('load reports sent by an agent', _UNIT, 'loads'),
            ('configuration pulls sent by an agent', _UNIT, 'pulls'),
        )
        return Report(slopes=_AXIS.slopes(names, samples))


def _acknowledge(
    heartbeat: Heartbeat,
    entries: EntriesChanged,
    action: Send,
) -> HeartbeatAck:
    member: Member = heartbeat.member
    entry = next(row for row in entries.entries if row.endpoint == action.to)
    return HeartbeatAck(
        entry=entry.entry,
        agent=member.agent,
        sequence=heartbeat.sequence,
        incarnation=member.incarnation,
        lease_s=FULL_SIZE.lease_s,
        is_dead=False,
        digest=heartbeat.digest,
        config_version=1,
        entries_version=1,
    )


def _measure(members: int) -> _Sample:
    agent = _Agent(members)
    agent.start()
    agent.run()
    sent = agent.heartbeats.octets + agent.loads.octets + agent.pulls.octets
    received = agent.answers.octets + agent.loads.octets
    return _Sample(
        sent / _SECONDS,
        received / _SECONDS,
        agent.loads.octets / _SECONDS,
        agent.pulls.octets / _SECONDS,
    )
