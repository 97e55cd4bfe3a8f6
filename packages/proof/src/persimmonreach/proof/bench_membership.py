"""Membership of one entry instance: rows, heartbeats and gossip."""

import functools
import random
import time
from collections import Counter
from collections.abc import Iterable
from typing import Any, Final, NamedTuple

from persimmonreach.configuration import EntriesChanged, EntryInstance
from persimmonreach.core import Action, Incarnation, Received, ServiceId, Tick
from persimmonreach.membership import EntryMembership, Member, choose_registrars
from persimmonreach.membership._chunks import row_messages
from persimmonreach.membership._table import MemberRow
from persimmonreach.membership.messages import Heartbeat, TableDigest
from persimmonreach.proof.bench_base import (
    CODEC,
    KILOBYTE,
    Axis,
    Figure,
    Measurement,
    Report,
    Traffic,
    measure_memory,
    sent_messages,
    time_calls,
)
from persimmonreach.proof.bench_inputs import (
    AGENTS,
    ENTRIES,
    FULL_SIZE,
    SEED,
    SERVICES,
    make_entries,
    make_members,
)

# Agents, services and entry instances grow together.
_SIZES: Final = ((500, 123, 67), (2000, 491, 267), (AGENTS, SERVICES, ENTRIES))
_AXIS: Final = Axis('agents', (500, 2000, AGENTS), AGENTS)
_RANKING_AXIS: Final = Axis(
    'services x entry instances',
    tuple(services * entries for _, services, entries in _SIZES),
    SERVICES * ENTRIES,
)
_RANKING_NAMES: Final = (
    ('time to apply one change of the entry list', 'ms', 'list_change_ms'),
    ('time to end the handover of an entry list', 'ms', 'handover_ms'),
)
_AGENTS: Final = 'agents'
_BOUNDS: Final = (30, 40)
_VERSIONS: Final = (2, 3, 4)
_WARM_UP_S: Final = 12
_SECONDS: Final = 60
_FLOWS: Final = 1230
_TICK_S: Final = 0.05
_TICKS_PER_S: Final = 20
_MILLISECONDS: Final = 1000
_PERCENT: Final = 100


class Registrar:
    """One entry instance with its agents, driven in virtual time.

    Parameters
    ----------
    agents, services, entries
        Size of the whole system.

    """

    def __init__(self, agents: int, services: int, entries: int) -> None:
        self._members = make_members(agents, services)
        self._entries = make_entries(entries)
        self._services = services
        self._now = float(_MILLISECONDS)
        self.machine = self._make()
        self.sent = Traffic()
        self.received = Traffic()

    @property
    def entries(self) -> tuple[EntryInstance, ...]:
        """All entry instances; the first one is driven."""
        return self._entries

    @functools.cached_property
    def own_agents(self) -> list[Member]:
        """Agents that send heartbeats to the driven entry instance."""
        own = self._entries[0]
        served = {
            service
            for service in range(1, self._services + 1)
            if own in choose_registrars(service, self._entries)
        }
        return [member for member in self._members if member.service in served]

    def load(self) -> None:
        """Receive all rows from a peer."""
        self.machine.handle(EntriesChanged(1, self._entries), self._now)
        rows = [MemberRow(member) for member in self._members]
        for message in row_messages(1, rows):
            # Decoded, so that no field is shared with the generated rows.
            self.receive(CODEC.decode(CODEC.encode(message)))

    def receive(self, message: Any) -> tuple[Action, ...]:
        """Receive one message from a peer or an agent."""
        peer = self._entries[1].endpoint
        return self.machine.handle(Received(peer, message), self._now)

    def replace_entries(self, version: int) -> None:
        """Apply a list without one of the entry instances and scan once."""
        shorter = self._entries[: -1 - version % 2]
        self.machine.handle(EntriesChanged(version, shorter), self._now)
        self._now += FULL_SIZE.heartbeat_s
        self.machine.handle(Tick(), self._now)

    def end_handover(self) -> None:
        """Let the replaced lists expire; heartbeats go on."""
        self.run(int(FULL_SIZE.handover_s) + 2)

    def run(self, seconds: int) -> None:
        """Exchange heartbeats and digests for some seconds of virtual time."""
        agents = self.own_agents
        period = int(FULL_SIZE.heartbeat_s * _TICKS_PER_S)
        for step in range(seconds * _TICKS_PER_S):
            self._now += _TICK_S
            self._note(self.machine.handle(Tick(), self._now))
            for number, member in enumerate(agents):
                if (number + step) % period == 0:
                    self._exchange(self._heartbeat(member, step))
            if step % period == 0:
                self._exchange(
                    TableDigest(self.machine.digest, 1, is_complete=True, is_reply=False)
                )

    def _make(self) -> EntryMembership:
        return EntryMembership(self._entries[0], FULL_SIZE, random.Random(SEED))

    def _heartbeat(self, member: Member, step: int) -> Heartbeat:
        digest = self.machine.view(member.service).digest
        return Heartbeat(member, step, _FLOWS, _FLOWS, digest, 1, 1)

    def _exchange(self, message: Any) -> None:
        self.received = self.received.add([message])
        self._note(self.receive(CODEC.decode(CODEC.encode(message))))

    def _note(self, actions: Iterable[Action]) -> None:
        self.sent = self.sent.add(sent_messages(actions))


class _Sample(NamedTuple):
    rows_kb: float
    processor_percent: float
    sent: float
    received: float
    datagrams: float
    list_change_ms: float
    handover_ms: float
    agents: int


class EntryMembershipLoad(Measurement):
    """Memory, traffic and processor time of membership at an entry instance."""

    @property
    def name(self) -> str:
        """Name for ``--only``."""
        return 'entry-membership'

    def run(self) -> Report:
        """Measure all sizes."""
        samples = [_measure(*size) for size in _SIZES]
        names = (
            ('memory of member rows at an entry instance', 'KB', 'rows_kb'),
            (
                'processor share of heartbeats and gossip',
                '% of a core',
                'processor_percent',
            ),
            ('heartbeats and gossip sent by an entry instance', 'B/s', 'sent'),
            ('heartbeats and gossip received by an entry instance', 'B/s', 'received'),
            ('datagrams of heartbeats and gossip', 'datagrams/s', 'datagrams'),
        )
        slopes = _AXIS.slopes(names, samples)
        ranked = _RANKING_AXIS.slopes(_RANKING_NAMES, samples)
        return Report((*_agents(samples[-1]), *_changes()), (*slopes, *ranked))


def _agents(sample: _Sample) -> Iterable[Figure]:
    yield Figure('agents that the driven entry instance serves', sample.agents, _AGENTS)
    entries = make_entries(ENTRIES)
    served: Counter[str] = Counter()
    for member in make_members(AGENTS, SERVICES):
        served.update(entry.entry for entry in _choose_cached(member.service, entries))
    mean = served.total() / ENTRIES
    yield Figure('mean of agents that an entry instance serves', mean, _AGENTS)
    largest = max(served.values())
    yield Figure('most agents that an entry instance serves', largest, _AGENTS)
    for bound in _BOUNDS:
        above = sum(count > bound for count in served.values()) / ENTRIES * _PERCENT
        yield Figure(f'entry instances that serve more than {bound} agents', above, '%')


@functools.cache
def _choose_cached(
    service: ServiceId,
    entries: tuple[EntryInstance, ...],
) -> tuple[EntryInstance, ...]:
    return choose_registrars(service, entries)


def _measure(agents: int, services: int, entries: int) -> _Sample:
    registrar = Registrar(agents, services, entries)
    _, memory = measure_memory(registrar.load)
    # The first scan after the fence ranks the registrars of every service.
    registrar.run(_WARM_UP_S)
    registrar.sent = Traffic()
    registrar.received = Traffic()
    started = time.process_time()
    registrar.run(_SECONDS)
    spent = time.process_time() - started
    sent, received = registrar.sent, registrar.received
    changes = [_change_list(registrar, version) for version in _VERSIONS]
    return _Sample(
        memory / KILOBYTE,
        spent / _SECONDS * _PERCENT,
        sent.octets / _SECONDS,
        received.octets / _SECONDS,
        (sent.datagrams + received.datagrams) / _SECONDS,
        min(begun for begun, _ in changes) * _MILLISECONDS,
        min(ended for _, ended in changes) * _MILLISECONDS,
        len(registrar.own_agents),
    )


def _change_list(registrar: Registrar, version: int) -> tuple[float, float]:
    """Return the times to apply a list and to end its handover."""
    begun = time_calls(lambda: registrar.replace_entries(version), 1)
    ended = time_calls(registrar.end_handover, 1)
    return begun.best, ended.best


def _changes() -> Iterable[Figure]:
    registrar = Registrar(*_SIZES[-1])
    registrar.load()
    member = registrar.own_agents[0]
    newer = member._replace(incarnation=Incarnation(member.incarnation + 1))
    traffic = Traffic().add(row_messages(1, [MemberRow(newer)]))
    yield Figure('bytes of one changed row to one peer', traffic.octets, 'B')
    before = registrar.sent
    registrar.receive(Heartbeat(newer, 1, 0, 0, 0, 1, 1))
    registrar.run(1)
    burst = registrar.sent.octets - before.octets
    yield Figure('bytes sent by a registrar for one changed row', burst, 'B')
