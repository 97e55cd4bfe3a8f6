"""Task that follows the rules in the store."""

from collections.abc import Callable
from typing import Any, Final

import gevent

from persimmonreach.core import Action, Clock, Count, StateChange
from persimmonreach.rules._rules import RulesInForce, RulesListed, RulesWatched
from persimmonreach.runtime import Task
from persimmonreach.store import Backoff, HistoryLostError, Store, StoreError

# A waiting watch counts as one call. A connection that has gone silent is
# noticed when the watch should have returned.
WATCH_S: Final = 5
# Changes in quick succession are read together.
COLLECT_S: Final = 0.1


class RulesFollowerTask(Task):
    """Owns the rules in force and the watch that keeps them current.

    Parameters
    ----------
    store
        Store of the platform.
    prefix
        Start of the keys that hold the rules.
    rules
        Decides which rules are in force.
    clock
        Source of the time.
    sink
        Takes the actions of ``rules``.
    backoff
        Waits while the store does not answer.

    """

    def __init__(
        self,
        store: Store,
        prefix: str,
        rules: RulesInForce,
        clock: Clock,
        sink: Callable[[Action], None],
        backoff: Backoff,
    ) -> None:
        super().__init__(tick_seconds=WATCH_S)
        self._store = store
        self._prefix = prefix
        self._rules = rules
        self._clock = clock
        self._sink = sink
        self._backoff = backoff
        self._is_away = False

    def start(self) -> None:
        """Start to follow."""
        self._spawn(self._follow)

    def receive(self, message: Any) -> None:
        """Put an answer of the store in force."""
        for action in self._rules.handle(message, self._clock.now()):
            self._sink(action)

    def tick(self) -> None:
        """Do nothing: the task waits for the store."""

    def _follow(self) -> None:
        is_listed = False
        while True:
            try:
                is_listed = self._read(is_listed)
            except StoreError as error:
                self._note_away(error)
                gevent.sleep(self._backoff.next_wait())
            else:
                self._note_back()

    def _read(self, is_listed: bool) -> bool:
        if not is_listed:
            self.receive(RulesListed(self._store.list_prefix(self._prefix)))
            return True
        try:
            changes = self._store.watch(self._prefix, self._rules.revision, WATCH_S)
        except HistoryLostError:
            self._sink(Count('rules_history_lost'))
            return False
        self.receive(RulesWatched(changes))
        if changes.written or changes.removed:
            gevent.sleep(COLLECT_S)
        return True

    def _note_away(self, error: StoreError) -> None:
        self._sink(Count('rules_store_failures'))
        if not self._is_away:
            self._is_away = True
            self._sink(StateChange('store_lost', 'rules', str(error)))

    def _note_back(self) -> None:
        self._backoff.reset()
        if self._is_away:
            self._is_away = False
            self._sink(StateChange('store_regained', 'rules'))
