"""Loss of a rack, a zone or a region's links, and a store that is away."""

import random
import time
from collections.abc import Iterable
from typing import Final, NamedTuple

from persimmonreach.configuration import ConfigurationChanged, EntriesChanged
from persimmonreach.configuration.tasks import Backoff
from persimmonreach.core import Received, Tick
from persimmonreach.membership import (
    EntryMembership,
    Member,
    ViewChanged,
    choose_registrars,
)
from persimmonreach.membership._chunks import row_messages
from persimmonreach.membership._table import MemberRow
from persimmonreach.membership.messages import MemberRows
from persimmonreach.packets import Ipv4TcpCodec
from persimmonreach.proof.bench_base import (
    CODEC,
    KILOBYTE,
    Axis,
    Figure,
    Measurement,
    Report,
    datagram_bytes,
)
from persimmonreach.proof.bench_inputs import (
    AGENTS,
    ENTRIES,
    FULL_SIZE,
    SEED,
    SERVICES,
    ZONES,
    make_configuration,
    make_entries,
    make_members,
)
from persimmonreach.routing import EntryRouter

# A rack, ten racks, a zone of five.
_LOST: Final = (30, 300, AGENTS // len(ZONES))
_AXIS: Final = Axis('agents lost at once', _LOST, AGENTS // len(ZONES))
_MILLISECONDS: Final = 1000
_START_S: Final = 1000
_HOUR_S: Final = 3600
_RETRY_CAPS: Final = (
    ('registrations tried while the store is away', 5),
    ('watches tried while the store is away, all nodes stale', 30),
)
_RECEIVE_BUFFER: Final = '/proc/sys/net/core/rmem_max'


class _Sample(NamedTuple):
    received_kb: float
    datagrams: float
    processor_ms: float
    views: float


class LostAgents(Measurement):
    """What the death of many agents costs one entry instance."""

    @property
    def name(self) -> str:
        """Name for ``--only``."""
        return 'lost-agents'

    def run(self) -> Report:
        """Let a rack, ten racks and a zone fail."""
        samples = [_Node().lose(count) for count in _LOST]
        names = (
            ('accusations received by an entry instance', 'KB', 'received_kb'),
            ('datagrams of accusations received', 'datagrams', 'datagrams'),
            ('processor time of accusations and routes', 'ms', 'processor_ms'),
            ('views changed at an entry instance', 'views', 'views'),
        )
        return Report(slopes=_AXIS.slopes(names, samples))


class Outages(Measurement):
    """Region apart, and calls to a store that is away."""

    @property
    def name(self) -> str:
        """Name for ``--only``."""
        return 'outages'

    def run(self) -> Report:
        """Count registrars by region and calls by backoff."""
        return Report((*_regions(), *_calls_while_away(), _receive_buffer()))


class _Node:
    """Membership and routing table of one entry instance at the stated size."""

    def __init__(self) -> None:
        self._entries = make_entries(ENTRIES)
        self._members = make_members(AGENTS, SERVICES)
        own = self._entries[0]
        self._membership = EntryMembership(own, FULL_SIZE, random.Random(SEED))
        self._router = EntryRouter(own.zone, Ipv4TcpCodec())
        self._now = float(_START_S)
        self._views = 0

    def lose(self, count: int) -> _Sample:
        """Receive the accusations of all registrars of ``count`` agents."""
        self._load()
        lost = [member for member in self._members if member.zone == ZONES[1]][:count]
        messages = list(self._accusations(lost))
        datagrams = [CODEC.encode(message) for message in messages]
        self._views = 0
        started = time.process_time()
        for datagram in datagrams:
            self._receive(CODEC.decode(datagram))
        self._tick()
        spent = time.process_time() - started
        sizes = [datagram_bytes(message) for message in messages]
        return _Sample(
            sum(sizes) / KILOBYTE,
            len(sizes),
            spent * _MILLISECONDS,
            self._views,
        )

    def _load(self) -> None:
        configuration = ConfigurationChanged(make_configuration(SERVICES))
        self._router.handle(configuration, self._now)
        self._membership.handle(EntriesChanged(1, self._entries), self._now)
        self._tick()
        for message in row_messages(1, [MemberRow(row) for row in self._members]):
            self._receive(message)
        # Past the handover of a list, when accusations count at once, and past
        # the first scan, which ranks the registrars of all services.
        self._now += FULL_SIZE.handover_s
        for _ in range(int(FULL_SIZE.handover_s)):
            self._tick()

    def _tick(self) -> None:
        self._now += 1
        self._apply(self._membership.handle(Tick(), self._now))

    def _receive(self, message: MemberRows) -> None:
        received = Received(self._entries[1].endpoint, message)
        self._apply(self._membership.handle(received, self._now))

    def _apply(self, actions: Iterable[object]) -> None:
        for action in actions:
            if isinstance(action, ViewChanged):
                self._views += 1
                self._router.handle(action, self._now)

    def _accusations(self, lost: list[Member]) -> Iterable[MemberRows]:
        rows: dict[str, list[MemberRow]] = {}
        for member in lost:
            for registrar in choose_registrars(member.service, self._entries):
                accused = MemberRow(member, (registrar.entry,))
                rows.setdefault(registrar.entry, []).append(accused)
        for batch in rows.values():
            yield from row_messages(1, batch)


def _regions() -> Iterable[Figure]:
    entries = make_entries(ENTRIES)
    regions = {zone: zone.partition('-zone')[0] for zone in ZONES}
    for region in sorted(set(regions.values())):
        majorities = sum(
            sum(
                regions[row.zone] == region for row in choose_registrars(service, entries)
            )
            >= 2
            for service in range(1, SERVICES + 1)
        )
        name = f'services with a majority of registrars in {region}'
        yield Figure(name, majorities / SERVICES * 100, '%')


def _calls_while_away() -> Iterable[Figure]:
    for name, cap in _RETRY_CAPS:
        backoff = Backoff(cap, random.Random(SEED))
        spent = float(0)
        calls = 0
        while spent < _HOUR_S:
            spent += backoff.next_wait()
            calls += 1
        yield Figure(name, calls / spent * ENTRIES, 'calls/s')


def _receive_buffer() -> Figure:
    with open(_RECEIVE_BUFFER) as limit:
        size = int(limit.read())
    return Figure('largest receive buffer of this machine', size / KILOBYTE, 'KB')
