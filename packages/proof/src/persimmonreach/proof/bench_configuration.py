"""Publishing, store calls and what a new node has to learn."""

import random
import time
from collections import Counter
from collections.abc import Iterable
from typing import Final, NamedTuple

from persimmonreach.configuration import (
    Base,
    EntriesChanged,
    EntryConfiguration,
    EntryInstance,
    EntrySettings,
    StoreRead,
    read_base,
)
from persimmonreach.configuration._entries import READERS_PER_ZONE
from persimmonreach.configuration._registration import Registration
from persimmonreach.configuration.tasks import WATCH_S
from persimmonreach.core import ManualClock, Received
from persimmonreach.membership import EntryMembership
from persimmonreach.membership._chunks import row_messages
from persimmonreach.membership._table import MemberRow
from persimmonreach.proof.bench_base import (
    KILOBYTE,
    Axis,
    Figure,
    Measurement,
    Report,
    Slope,
)
from persimmonreach.proof.bench_exchange import Pair, Transfer
from persimmonreach.proof.bench_inputs import (
    AGENTS,
    ENTRIES,
    FULL_SIZE,
    SEED,
    SERVICES,
    ZONES,
    make_entries,
    make_members,
)
from persimmonreach.proof.bench_store import (
    changed_declarations,
    make_publisher,
    published_store,
)
from persimmonreach.standins.store_fake import FakeStore

_SIZES: Final = (100, 400, SERVICES)
_NODE_SIZES: Final = ((500, 123, 67), (2000, 491, 267), (AGENTS, SERVICES, ENTRIES))
_MILLISECONDS: Final = 1000
_RENEWALS: Final = 100
_AXIS: Final = Axis('services', _SIZES, SERVICES)
_NODE_AXIS: Final = Axis('agents', (500, 2000, AGENTS), AGENTS)


class _Publish(NamedTuple):
    seconds: float
    calls: float
    written: float
    head: float
    read: float


class Publishing(Measurement):
    """One publish that changes one service, and the readers' store calls."""

    @property
    def name(self) -> str:
        """Name for ``--only``."""
        return 'publishing'

    def run(self) -> Report:
        """Publish at all sizes."""
        samples = [_publish(count) for count in _SIZES]
        names = (
            ('processor time of a publish of one service', 'ms', 'seconds'),
            ('store calls of a publish of one service', 'calls', 'calls'),
            ('bytes written by a publish of one service', 'KB', 'written'),
            ('size of the head', 'KB', 'head'),
            ('bytes of all services that a reader reads first', 'KB', 'read'),
        )
        return Report(tuple(_store_calls()), _AXIS.slopes(names, samples))


class NewNode(Measurement):
    """What a new entry instance receives until it has all tables."""

    @property
    def name(self) -> str:
        """Name for ``--only``."""
        return 'new-node'

    def run(self) -> Report:
        """Bring a new node up to date at all sizes."""
        rows = [_learn_rows(*size) for size in _NODE_SIZES]
        services = [_learn_services(*size) for size in _NODE_SIZES]
        slopes = (
            *_transfer_slopes('the rows', rows),
            *_transfer_slopes('the configuration', services),
        )
        return Report(slopes=slopes)


def _transfer_slopes(what: str, transfers: list[Transfer]) -> Iterable[Slope]:
    title = f'new node learns {what}'
    names = (
        (f'{title}, bytes', 'B', 'octets'),
        (f'{title}, datagrams', 'datagrams', 'datagrams'),
        (f'{title}, processor time of both sides', 's', 'processor_s'),
    )
    return _NODE_AXIS.slopes(names, transfers)


def _publish(count: int) -> _Publish:
    store = published_store(count)
    publisher = make_publisher(store, ManualClock())
    before = set(_keys(store))
    calls = store.calls
    started = time.process_time()
    publisher.publish(publisher.plan(changed_declarations(count)))
    spent = time.process_time() - started
    made = store.calls - calls
    after = _keys(store)
    return _Publish(
        spent * _MILLISECONDS,
        made,
        _size(set(after) - before, '') / KILOBYTE,
        _size(after, 'head') / KILOBYTE,
        _size(after, 'service/') / KILOBYTE,
    )


def _keys(store: FakeStore) -> list[tuple[str, str]]:
    return [(row.key, row.value) for row in store.list_prefix('').rows]


def _size(rows: Iterable[tuple[str, str]], prefix: str) -> int:
    return sum(len(key) + len(value) for key, value in rows if key.startswith(prefix))


def _store_calls() -> Iterable[Figure]:
    readers = READERS_PER_ZONE * len(ZONES)
    clock = ManualClock()
    store = FakeStore(clock)
    operations: Counter[str] = Counter()
    store.set_hook(lambda operation: operations.update([operation]))
    registration = Registration(store, make_entries(1)[0])
    for _ in range(_RENEWALS):
        clock.advance(registration.renew())
    seconds = clock.now()
    renewals = operations.total() / seconds * ENTRIES
    unit = 'calls/s'
    yield Figure('lease renewals of all entry instances', renewals, unit)
    yield Figure('waiting watches of the readers', readers, 'calls')
    yield Figure('watches begun by the readers', readers / WATCH_S, unit)
    total = renewals + readers + readers / WATCH_S
    yield Figure('store calls at the stated size, nothing changes', total, unit)


def _learn_services(agents: int, services: int, entries: int) -> Transfer:
    listed = make_entries(entries)
    old, new = listed[0], listed[1]
    base = read_base(published_store(services))
    source = _configuration(old, new)
    source.handle(StoreRead(base.head, base.services, listed, 1), 0)
    # The list counts as complete only some time after the start.
    source.handle(StoreRead(base.head, base.services, listed, 1), _MILLISECONDS)
    target = _configuration(new, old)
    pair = Pair({old.endpoint: source, new.endpoint: target})
    return pair.run(lambda: len(target.entries) == entries and _has_all(target, base))


def _has_all(target: EntryConfiguration, base: Base) -> bool:
    return target.configuration.version == base.head.version


def _configuration(entry: EntryInstance, peer: EntryInstance) -> EntryConfiguration:
    settings = EntrySettings(entry.entry, entry.zone, (peer.endpoint,))
    return EntryConfiguration(settings, random.Random(SEED))


def _learn_rows(agents: int, services: int, entries: int) -> Transfer:
    listed = make_entries(2)
    old, new = listed
    source = EntryMembership(old, FULL_SIZE, random.Random(SEED))
    target = EntryMembership(new, FULL_SIZE, random.Random(SEED))
    rows = [MemberRow(member) for member in make_members(agents, services)]
    for machine in (source, target):
        machine.handle(EntriesChanged(1, listed), 0)
    for message in row_messages(1, rows):
        source.handle(Received(new.endpoint, message), 0)
    pair = Pair({old.endpoint: source, new.endpoint: target})
    return pair.run(lambda: target.digest == source.digest)
