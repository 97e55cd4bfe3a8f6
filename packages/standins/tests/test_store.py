"""Guards against a store client or stand-in that hides faults, and lapsed leases."""

import json
import subprocess
import sys
from collections.abc import Iterator
from random import Random

import gevent
import pytest
from gevent.event import AsyncResult

from persimmonreach.configuration import (
    ABSENT,
    ANY_REVISION,
    Accepted,
    CompareFailedError,
    ConfigurationChanged,
    Declarations,
    EntriesChanged,
    EntryConfiguration,
    EntryInstance,
    EntrySettings,
    LeaseLostError,
    OverrideSet,
    Publisher,
    PublisherSettings,
    StoreUnavailableError,
    StoreUncertainError,
    StoreValue,
    Timing,
    Unsettled,
    read_head,
)
from persimmonreach.configuration._registration import LEASE_S, Registration
from persimmonreach.configuration.adapters import HttpStore
from persimmonreach.configuration.tasks import (
    Backoff,
    EntryConfigurationTask,
    StoreAccess,
)
from persimmonreach.core import Endpoint, EntryId, ManualClock, MonotonicClock, Zone
from persimmonreach.standins.store import StoreServer
from persimmonreach.standins.store_fake import FakeStore
from persimmonreach.standins.store_state import Faults

LIMIT_S = 30
ZONES = Declarations((), frozenset((Zone('a'), Zone('b'))))
ENTRY = EntryInstance(EntryId('e1'), Zone('a'), Endpoint('127.0.0.1', 9))


@pytest.fixture
def server() -> Iterator[StoreServer]:
    started = StoreServer(MonotonicClock())
    started.start()
    yield started
    started.stop()


@pytest.fixture
def store(server: StoreServer) -> Iterator[HttpStore]:
    client = HttpStore(Endpoint('127.0.0.1', server.port), timeout_s=LIMIT_S)
    yield client
    client.close()


def _publisher(store: HttpStore, timeout_s: float = LIMIT_S) -> Publisher:
    timing = Timing(MonotonicClock(), lambda: 1, gevent.sleep)
    return Publisher(PublisherSettings('op', timeout_s), store, timing, Random(1))


def test_compare_and_swap_lists_and_deletes(store: HttpStore) -> None:
    revision = store.put('x/1', 'one', ABSENT)
    with pytest.raises(CompareFailedError):
        store.put('x/1', 'two', ABSENT)
    store.put('x/1', 'two', revision)
    with pytest.raises(CompareFailedError):
        store.put('x/1', 'three', revision)
    store.put('y', 'other', ANY_REVISION)
    assert [row.value for row in store.list_prefix('x/').rows] == ['two']
    store.delete('x/1')
    assert store.get('x/1') is None


def test_lost_answer_is_uncertain_and_the_write_took_effect(
    server: StoreServer,
    store: HttpStore,
) -> None:
    server.switch.set_faults(Faults(lose_writes=frozenset((1,))))
    with pytest.raises(StoreUncertainError):
        store.put('x', 'one', ABSENT)
    assert server.switch.writes == 1
    assert store.get('x').value == 'one'


def test_outage_and_closed_port_are_known_to_have_done_nothing(
    server: StoreServer,
    store: HttpStore,
) -> None:
    server.switch.set_faults(Faults(outage=True))
    with pytest.raises(StoreUnavailableError):
        store.put('x', 'one', ABSENT)
    server.switch.set_faults(Faults())
    assert store.get('x') is None
    server.stop()
    closed = HttpStore(Endpoint('127.0.0.1', server.port))
    with pytest.raises(StoreUnavailableError):
        closed.put('x', 'one', ABSENT)


def test_slow_store_makes_a_write_uncertain_and_a_read_unavailable(
    server: StoreServer,
) -> None:
    hasty = HttpStore(Endpoint('127.0.0.1', server.port), timeout_s=0.05)
    server.switch.set_faults(Faults(delay_s=1))
    with pytest.raises(StoreUncertainError):
        hasty.put('x', 'one', ABSENT)
    with pytest.raises(StoreUnavailableError):
        hasty.get('x')


def test_watch_returns_on_a_change_and_counts_as_one_call(
    server: StoreServer,
    store: HttpStore,
) -> None:
    revision = store.list_prefix('x').revision
    assert not store.watch(('x',), revision, 0).changed
    calls = server.switch.calls
    waiting = gevent.spawn(store.watch, ('x', 'z'), revision, LIMIT_S)
    store.put('y', 'unwatched', ANY_REVISION)
    assert not waiting.ready()
    store.put('x', 'one', ANY_REVISION)
    assert waiting.get(timeout=LIMIT_S).changed
    assert server.switch.calls == calls + 3


def test_paused_holder_of_a_lease_registers_again() -> None:
    clock = ManualClock()
    store = FakeStore(clock)
    registration = Registration(store, ENTRY)
    registration.renew()
    clock.advance(LEASE_S - 1)
    registration.renew()
    assert store.get('entries/e1')
    clock.advance(LEASE_S + 1)
    assert store.get('entries/e1') is None
    registration.renew()
    assert store.get('entries/e1')
    with pytest.raises(LeaseLostError):
        store.keep_alive(1)
    registration.withdraw()
    assert store.get('entries/e1') is None


def test_lost_answer_to_a_registration_is_repeated() -> None:
    for lost in (1, 2):
        store = FakeStore(ManualClock())
        store.set_faults(Faults(lose_writes=frozenset((lost,))))
        registration = Registration(store, ENTRY)
        with pytest.raises(StoreUncertainError):
            registration.renew()
        registration.renew()
        assert store.get('entries/e1')


def test_backoff_grows_to_its_cap_with_jitter() -> None:
    backoff = Backoff(5, Random(1))
    waits = [backoff.next_wait() for _ in range(9)]
    assert max(waits) <= 5
    assert min(waits[-3:]) >= 2
    backoff.reset()
    assert backoff.next_wait() < 1


@pytest.mark.parametrize('lost', [1, 2])
def test_publish_over_http_settles_lost_answers(
    server: StoreServer,
    store: HttpStore,
    lost: int,
) -> None:
    publisher = _publisher(store)
    plan = publisher.plan(ZONES)
    server.switch.set_faults(Faults(lose_writes=frozenset((lost,))))
    assert publisher.publish(plan) == Accepted(1)


class _StoreLostAfterHead(HttpStore):
    """Client that loses the answer to the head and then the store."""

    def __init__(self, server: StoreServer) -> None:
        super().__init__(Endpoint('127.0.0.1', server.port), timeout_s=LIMIT_S)
        self._server = server
        self._head_sent = False

    def get(self, key: str) -> StoreValue | None:
        if self._head_sent:
            self._server.switch.set_faults(Faults(outage=True))
        return super().get(key)

    def put(self, key: str, value: str, expected: int, lease: int = 0) -> int:
        if key == 'head' and not self._head_sent:
            self._head_sent = True
            self._server.switch.set_faults(Faults(lose_writes=frozenset((1,))))
        return super().put(key, value, expected, lease)


def test_publish_over_http_reports_an_unsettled_change(
    server: StoreServer,
    store: HttpStore,
) -> None:
    publisher = _publisher(_StoreLostAfterHead(server), timeout_s=1)
    assert isinstance(publisher.publish(publisher.plan(ZONES)), Unsettled)
    server.switch.set_faults(Faults())
    assert read_head(store).head.version == 1


def test_entry_task_follows_the_store_through_an_outage(
    server: StoreServer,
    store: HttpStore,
) -> None:
    seen: dict[object, AsyncResult] = {}

    def sink(action: object) -> None:
        if isinstance(action, ConfigurationChanged):
            configuration = action.configuration
            key = (configuration.version, len(configuration.zones_out))
            seen.setdefault(key, AsyncResult()).set(action)
        elif isinstance(action, EntriesChanged):
            seen.setdefault(len(action.entries), AsyncResult()).set(action)

    def wait(key: object) -> object:
        return seen.setdefault(key, AsyncResult()).get(timeout=LIMIT_S)

    operator = _publisher(store)
    assert operator.publish(operator.plan(ZONES)) == Accepted(1)
    machine = EntryConfiguration(EntrySettings(ENTRY.entry, ENTRY.zone), Random(1))
    client = HttpStore(Endpoint('127.0.0.1', server.port), timeout_s=LIMIT_S)
    access = StoreAccess(client, ENTRY, _publisher(client), Random(1))
    task = EntryConfigurationTask(machine, MonotonicClock(), print, sink, access)
    with task:
        wait((1, 0))
        wait(1)
        server.switch.set_faults(Faults(outage=True))
        task.post(OverrideSet(Zone('a'), True, 5, 'o1'))
        wait((1, 1))
        server.switch.set_faults(Faults())
        wait((2, 1))
        assert read_head(store).head.zones[0].change == 'o1'
    assert store.get('entries/e1') is None


def test_store_runs_as_a_process_and_is_controlled_over_http() -> None:
    command = [sys.executable, '-m', 'persimmonreach.standins.store', '--port', '0']
    with subprocess.Popen(command, stdout=subprocess.PIPE, text=True) as process:
        line = json.loads(process.stdout.readline())
        client = HttpStore(Endpoint('127.0.0.1', line['port']), timeout_s=LIMIT_S)
        client._calls.post('/control', b'{"outage": true}').read()
        with pytest.raises(StoreUnavailableError):
            client.get('x')
        counters = json.loads(client._calls.get('/control').read())
        process.terminate()
    assert line['event'] == 'listening'
    assert counters['calls'] == 1
