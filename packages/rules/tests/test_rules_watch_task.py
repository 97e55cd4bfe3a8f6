"""Tests of the task that watches the rules in the store.

They guard against a task that hangs, or whose rules stay outdated, after a lost
watch history, a store outage or a stalled watch, and against a log line for each
failed retry.
"""

from collections.abc import Callable, Sequence
from random import Random

import gevent
import pytest

from persimmonreach.core import Action, ManualClock
from persimmonreach.rules import (
    RulesChanged,
    RulesDelta,
    RulesInForce,
    RulesOutdated,
    RulesSnapshot,
    RulesSource,
    TrafficRules,
    WatchAssigned,
)
from persimmonreach.rules.tasks import (
    SHORT_WATCH_TIMEOUT_S,
    WATCH_TIMEOUT_S,
    RulesWatchTask,
)
from persimmonreach.standins.store_fake import FakeStore
from persimmonreach.standins.store_state import Faults
from persimmonreach.store import ANY_REVISION, Backoff, Changes, KeyValue, Store

RULES_KEY = 'op/routes'


class SingleKeySource(RulesSource):
    @property
    def prefix(self) -> str:
        return 'op/'

    def read(self, store: Store) -> RulesSnapshot:
        listing = store.list_prefix('op/')
        return RulesSnapshot(listing.revision, decode_rules(listing.rows), frozenset())

    def read_changes(self, store: Store, changes: Changes) -> RulesDelta:
        return RulesDelta(changes.revision, decode_rules(changes.written))


def decode_rules(rows: Sequence[KeyValue]) -> TrafficRules | None:
    return TrafficRules(int(rows[0].value)) if rows else None


class StallingStore(FakeStore):
    """Store that records watch timeouts and can stall its watches.

    Each watch sleeps for 10 ms, because those of ``FakeStore`` return at once and
    the watch loop would not let other greenlets run.
    """

    watch_timeouts_s: list[float]
    stalls_watches = False
    is_watch_stalled = False

    def watch(self, prefix: str, after_revision: int, timeout_s: float) -> Changes:
        self.watch_timeouts_s.append(timeout_s)
        gevent.sleep(0.01)
        if self.stalls_watches:
            self.is_watch_stalled = True
            gevent.sleep(60)
        return super().watch(prefix, after_revision, timeout_s)


@pytest.fixture
def store() -> StallingStore:
    fake_store = StallingStore(ManualClock(1))
    fake_store.watch_timeouts_s = []
    return fake_store


class Harness:
    def __init__(self, store: FakeStore) -> None:
        self.events: list[Action] = []
        self.task = RulesWatchTask(
            store,
            SingleKeySource(),
            RulesInForce(),
            ManualClock(1),
            self.events.append,
            Backoff(0.02, Random(1)),
        )

    def versions_in_force(self) -> list[int]:
        return [
            event.rules.version
            for event in self.events
            if isinstance(event, RulesChanged)
        ]


def wait_for(condition: Callable[[], object]) -> None:
    with gevent.Timeout(10):
        while not condition():
            gevent.sleep(0.005)


def test_a_written_change_is_put_in_force(store: StallingStore) -> None:
    """The task must continue to watch after it has read the rules."""
    store.put(RULES_KEY, b'1', ANY_REVISION)
    harness = Harness(store)
    with harness.task:
        wait_for(lambda: harness.versions_in_force() == [1])
        store.put(RULES_KEY, b'2', ANY_REVISION)
        wait_for(lambda: harness.versions_in_force() == [1, 2])


def test_rules_are_read_again_after_lost_history(store: StallingStore) -> None:
    """The store dropped the change, so no watch can return it."""
    store.put(RULES_KEY, b'1', ANY_REVISION)
    harness = Harness(store)
    with harness.task:
        wait_for(lambda: harness.versions_in_force() == [1])
        store.put(RULES_KEY, b'5', ANY_REVISION)
        store.state.drop_history()
        wait_for(lambda: harness.versions_in_force() == [1, 5])


def test_a_store_outage_is_logged_once_and_recovered(store: StallingStore) -> None:
    """The watch must resume after an outage, and retries must not fill the log."""
    store.put(RULES_KEY, b'1', ANY_REVISION)
    harness = Harness(store)
    with harness.task:
        wait_for(lambda: harness.versions_in_force() == [1])
        store.set_faults(Faults(outage=True))
        wait_for(lambda: store.call_names.count('watch') > 8)
        store.set_faults(Faults())
        store.put(RULES_KEY, b'2', ANY_REVISION)
        wait_for(lambda: harness.versions_in_force() == [1, 2])
    lost_events = [
        event for event in harness.events if getattr(event, 'event', '') == 'store_lost'
    ]
    assert len(lost_events) == 1


def test_outdated_rules_are_read_despite_a_stalled_watch(store: StallingStore) -> None:
    """A stalled watch missed version 6 for 6 s (scenario karilakaz-reach scale-2)."""
    store.put(RULES_KEY, b'1', ANY_REVISION)
    harness = Harness(store)
    with harness.task:
        wait_for(lambda: harness.versions_in_force() == [1])
        store.stalls_watches = True
        wait_for(lambda: store.is_watch_stalled)
        revision = store.put(RULES_KEY, b'6', ANY_REVISION)
        harness.task.post(RulesOutdated(revision))
        wait_for(lambda: harness.versions_in_force() == [1, 6])


def test_change_that_the_watch_returns_is_not_read_again(store: StallingStore) -> None:
    """Each of 59 entry instances read the rules once more after every change, since the
    message of a peer arrived before the result of the own watch.
    """
    store.put(RULES_KEY, b'1', ANY_REVISION)
    harness = Harness(store)
    with harness.task:
        wait_for(lambda: harness.versions_in_force() == [1])
        list_count = store.call_names.count('list')
        revision = store.put(RULES_KEY, b'2', ANY_REVISION)
        harness.task.post(RulesOutdated(revision))
        harness.task.post(WatchAssigned(False))
        wait_for(lambda: store.watch_timeouts_s[-1] == WATCH_TIMEOUT_S)
    assert harness.versions_in_force() == [1, 2]
    assert store.call_names.count('list') == list_count


def test_only_assigned_watchers_use_the_short_timeout(
    store: StallingStore,
) -> None:
    """The 3 s bound on changes depends on the short timeout of the watchers."""
    harness = Harness(store)
    with harness.task:
        wait_for(lambda: store.watch_timeouts_s)
        harness.task.post(WatchAssigned(False))
        wait_for(lambda: store.watch_timeouts_s[-1] == WATCH_TIMEOUT_S)
        harness.task.post(WatchAssigned(True))
        wait_for(lambda: store.watch_timeouts_s[-1] == SHORT_WATCH_TIMEOUT_S)
