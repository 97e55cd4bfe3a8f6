"""Tasks that keep the configuration of a node current."""

from collections.abc import Callable
from random import Random
from typing import Any, Final, NamedTuple, TypeAlias

import gevent
from gevent.event import Event
from gevent.queue import Queue

from persimmonreach.configuration._entry import EntryConfiguration
from persimmonreach.configuration._events import (
    AbsorbOverrides,
    StoreConfirmed,
    StoreFailed,
    StoreRead,
)
from persimmonreach.configuration._head import ENTRIES_PREFIX, HEAD_KEY, ZoneState
from persimmonreach.configuration._model import EntryInstance
from persimmonreach.configuration._publisher import Publisher
from persimmonreach.configuration._reading import ConfigurationReader
from persimmonreach.configuration._registration import (
    Registration,
    decode_entry,
)
from persimmonreach.configuration._store import Store, StoreError
from persimmonreach.core import Action, Clock, Endpoint, Send, StateMachine, Tick
from persimmonreach.runtime import Task

# Finer than the repetition of lost chunks (0.25 s).
TICK_S: Final = 0.2
# Bounds the age of a confirmation at a reader.
WATCH_S: Final = 5
_FIRST_BACKOFF_S: Final = 0.2
# 760 nodes that watch a store that is down cause 25 calls/s.
_WATCH_BACKOFF_CAP_S: Final = 30
# Below the time for which lists are frozen after an outage (15 s).
_REGISTER_BACKOFF_CAP_S: Final = 5

SendMessage: TypeAlias = Callable[[Endpoint, Any], None]
Sink: TypeAlias = Callable[[Action], None]


class StoreAccess(NamedTuple):
    """What an entry instance needs to use the store.

    Attributes
    ----------
    store
        Store of the platform.
    entry
        Registration of this entry instance.
    publisher
        Writes overrides into the head.
    random
        Source of the jitter of repeated calls.

    """

    store: Store
    entry: EntryInstance
    publisher: Publisher
    random: Random


class Backoff:
    """Waits between repeated calls: doubled up to a cap, with jitter.

    Parameters
    ----------
    cap_s
        Longest wait in seconds.
    random
        Source of the jitter.

    """

    def __init__(self, cap_s: float, random: Random) -> None:
        self._cap_s = cap_s
        self._random = random
        self._next_s = _FIRST_BACKOFF_S

    def reset(self) -> None:
        """Start again with the shortest wait."""
        self._next_s = _FIRST_BACKOFF_S

    def next_wait(self) -> float:
        """Return the next wait in seconds."""
        wait = self._next_s
        self._next_s = min(2 * wait, self._cap_s)
        return self._random.uniform(wait / 2, wait)


class _ConfigurationTask(Task):
    def __init__(
        self,
        machine: StateMachine,
        clock: Clock,
        send: SendMessage,
        sink: Sink,
    ) -> None:
        super().__init__(TICK_S)
        self._machine = machine
        self._clock = clock
        self._send = send
        self._sink = sink

    def receive(self, message: Any) -> None:
        """Handle one event."""
        for action in self._machine.handle(message, self._clock.now()):
            self._perform(action)

    def tick(self) -> None:
        """Act on elapsed time."""
        self.receive(Tick())

    def _perform(self, action: Action) -> None:
        if isinstance(action, Send):
            self._send(action.to, action.message)
        else:
            self._sink(action)


class AgentConfigurationTask(_ConfigurationTask):
    """Runs an :class:`AgentConfiguration`.

    Parameters
    ----------
    machine
        Decisions.
    clock
        Monotonic clock.
    send
        Sends a message to an endpoint.
    sink
        Takes all other actions.

    """


class EntryConfigurationTask(_ConfigurationTask):
    """Runs an :class:`EntryConfiguration` and owns its store client.

    Parameters
    ----------
    machine
        Decisions.
    clock
        Monotonic clock.
    send
        Sends a message to an endpoint.
    sink
        Takes all other actions.
    access
        Store, and what this entry instance writes to it.

    """

    def __init__(
        self,
        machine: EntryConfiguration,
        clock: Clock,
        send: SendMessage,
        sink: Sink,
        access: StoreAccess,
    ) -> None:
        super().__init__(machine, clock, send, sink)
        self._entry_machine = machine
        self._access = access
        self._registration = Registration(access.store, access.entry)
        self._reader = ConfigurationReader(access.store)
        self._store_wanted = Event()
        self._overrides: Queue = Queue()

    def start(self) -> None:
        """Start the greenlets of the task."""
        super().start()
        self._update_wanted()
        self._spawn(self._follow)
        self._spawn(self._register)
        self._spawn(self._absorb)
        self._resources.callback(self._registration.withdraw)

    def receive(self, message: Any) -> None:
        """Handle one event."""
        super().receive(message)
        self._update_wanted()

    def _update_wanted(self) -> None:
        if self._entry_machine.wants_store(self._clock.now()):
            self._store_wanted.set()
        else:
            self._store_wanted.clear()

    def _perform(self, action: Action) -> None:
        if isinstance(action, AbsorbOverrides):
            self._overrides.put_nowait(action.overrides)
        else:
            super()._perform(action)

    def _follow(self) -> None:
        backoff = Backoff(_WATCH_BACKOFF_CAP_S, self._access.random)
        revision = 0
        while True:
            self._store_wanted.wait()
            try:
                revision = self._read_or_watch(revision)
            except StoreError:
                revision = 0
                self.post(StoreFailed())
                gevent.sleep(backoff.next_wait())
            else:
                backoff.reset()

    def _read_or_watch(self, revision: int) -> int:
        store = self._access.store
        if revision:
            prefixes = (HEAD_KEY, ENTRIES_PREFIX)
            if not store.watch(prefixes, revision, WATCH_S).changed:
                self.post(StoreConfirmed())
                return revision
        listing = store.list_prefix(ENTRIES_PREFIX)
        base = self._reader.read()
        entries = tuple(decode_entry(row) for row in listing.rows)
        head = base.head if base.revision else None
        self.post(StoreRead(head, base.services, entries, listing.revision))
        return listing.revision

    def _register(self) -> None:
        backoff = Backoff(_REGISTER_BACKOFF_CAP_S, self._access.random)
        while True:
            try:
                wait = self._registration.renew()
            except StoreError:
                wait = backoff.next_wait()
            else:
                backoff.reset()
            gevent.sleep(wait)

    def _absorb(self) -> None:
        while True:
            overrides: tuple[ZoneState, ...] = self._overrides.get()
            try:
                self._access.publisher.absorb(overrides)
            except StoreError:
                # The state machine asks again as long as it is needed.
                continue
