"""Task that watches the rules in the store and keeps them current."""

from collections.abc import Callable
from typing import Any, Final

import gevent

from persimmonreach.core import Action, Clock, Count, LogStateChange
from persimmonreach.rules._model import WatchAssigned
from persimmonreach.rules._rules import RulesInForce
from persimmonreach.rules._source import RulesSource
from persimmonreach.runtime import Task
from persimmonreach.store import Backoff, HistoryLostError, Store, StoreError

# A watch counts as one call to the store, however long it waits. An open watch can
# miss changes, because the store drops events or the connection stalls; with this
# timeout a change is still in force within 3 s.
SHORT_WATCH_TIMEOUT_S: Final = 1.5
# For processes that are not watchers: if their watch misses a change, a message from
# a peer reveals it, and ``RulesOutdated`` makes this task read the rules again. The
# store lets a watch wait for 30 s at most.
WATCH_TIMEOUT_S: Final = 25.0
# Delay after a change, so that the next watch returns a burst of changes at once.
BATCH_DELAY_S: Final = 0.25
# A peer reports a change as soon as its own watch has returned it. The watch of this
# process returns it within this time, too, unless it has stalled.
OUTDATED_DELAY_S: Final = 0.4


class RulesWatchTask(Task):
    """Task that owns the rules in force and the watch on the store.

    Messages: ``RulesOutdated``, ``WatchAssigned``.

    Parameters
    ----------
    store
        Store that holds the rules.
    source
        Reader for the layout of the rules in the store.
    rules
        State machine that decides which rules are in force.
    clock
        Source of the current time.
    sink
        Called with each action of ``rules`` and of the task.
    backoff
        Delays between retries while calls to the store fail.

    """

    def __init__(
        self,
        store: Store,
        source: RulesSource,
        rules: RulesInForce,
        clock: Clock,
        sink: Callable[[Action], None],
        backoff: Backoff,
    ) -> None:
        super().__init__(tick_interval_s=WATCH_TIMEOUT_S)
        self._watch_timeout_s = SHORT_WATCH_TIMEOUT_S
        self._store = store
        self._source = source
        self._rules = rules
        self._clock = clock
        self._sink = sink
        self._backoff = backoff
        self._is_store_unavailable = False

    def start(self) -> None:
        """Start to handle messages and to watch the rules."""
        super().start()
        self._spawn(self._watch_rules)

    def receive(self, message: Any) -> None:
        """Change the watch timeout, or read the rules again at once."""
        if isinstance(message, WatchAssigned):
            self._watch_timeout_s = (
                SHORT_WATCH_TIMEOUT_S if message.is_watcher else WATCH_TIMEOUT_S
            )
            return
        gevent.sleep(OUTDATED_DELAY_S)
        if self._rules.revision >= message.revision:
            return
        try:
            self._read_all()
        except StoreError as error:
            self._sink(LogStateChange('rules_not_read', 'peer', str(error)))

    def _apply(self, event: Any) -> None:
        for action in self._rules.handle(event, self._clock.now()):
            self._sink(action)

    def _read_all(self) -> None:
        self._apply(self._source.read(self._store))

    def tick(self) -> None:
        """Do nothing; all timed work happens in the watch loop."""

    def _watch_rules(self) -> None:
        is_loaded = False
        while True:
            try:
                is_loaded = self._read_or_watch(is_loaded)
            except StoreError as error:
                self._handle_failure(error)
                gevent.sleep(self._backoff.next_wait())
            else:
                self._handle_success()

    def _read_or_watch(self, is_loaded: bool) -> bool:
        """Read all rules or wait for changes; return whether the next call can watch."""
        if not is_loaded:
            self._read_all()
            return True
        revision = self._rules.revision
        try:
            changes = self._store.watch(
                self._source.prefix, revision, self._watch_timeout_s
            )
        except HistoryLostError:
            self._sink(Count('rules_history_lost'))
            return False
        self._apply(self._source.read_changes(self._store, changes))
        if changes.written or changes.deleted_keys:
            gevent.sleep(BATCH_DELAY_S)
        return True

    def _handle_failure(self, error: StoreError) -> None:
        self._sink(Count('rules_store_failures'))
        if not self._is_store_unavailable:
            self._is_store_unavailable = True
            self._sink(LogStateChange('store_lost', 'rules', str(error)))

    def _handle_success(self) -> None:
        self._backoff.reset()
        if self._is_store_unavailable:
            self._is_store_unavailable = False
            self._sink(LogStateChange('store_regained', 'rules'))
