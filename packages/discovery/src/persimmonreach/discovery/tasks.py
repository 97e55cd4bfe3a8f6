"""Task that registers a process and reads the registrations of others."""

from collections.abc import Callable
from typing import Any, Final, NamedTuple

import gevent

from persimmonreach.core import Action, Count, LogStateChange
from persimmonreach.discovery._events import AgentsDiscovered, EntriesDiscovered
from persimmonreach.discovery._registration import (
    AGENTS_PREFIX,
    ENTRIES_PREFIX,
    RENEWAL_INTERVAL_S,
    Registration,
)
from persimmonreach.discovery.codecs import decode_agent, decode_entry
from persimmonreach.runtime import Task
from persimmonreach.store import Backoff, KeyValue, Store, StoreContentError, StoreError

# Less than the 2 s within which a registration must be restored after an outage.
MAX_BACKOFF_S: Final = 1


class RegistrationQuery(NamedTuple):
    """Query for the registrations of other processes.

    Attributes
    ----------
    prefix
        Prefix of all keys to read.
    kinds
        Kinds of registrations below the prefix.

    """

    prefix: str
    kinds: tuple['RegistrationKind', ...]


class RegistrationKind(NamedTuple):
    """Key prefix, decoder and event type of one kind of registrations.

    Attributes
    ----------
    prefix
        Prefix of the keys of this kind.
    decode
        Decodes one registration; raises ``StoreContentError``.
    event_type
        Type of the event that carries all registrations of this kind.

    """

    prefix: str
    decode: Callable[[KeyValue], Any]
    event_type: type


AGENT_REGISTRATIONS: Final = RegistrationKind(
    AGENTS_PREFIX, decode_agent, AgentsDiscovered
)
ENTRY_REGISTRATIONS: Final = RegistrationKind(
    ENTRIES_PREFIX, decode_entry, EntriesDiscovered
)


class RegistrationTask(Task):
    """Task that keeps a process registered and reads the other registrations.

    The key of this process is written before the other keys are read. If two
    processes start concurrently, at least one of them then reads the key of the other.

    Parameters
    ----------
    store
        Store of the platform.
    registration
        Key of this process.
    query
        Which registrations of other processes are read.
    sink
        Receives the events and actions of the task.
    backoff
        Delays between attempts while the store is unavailable.

    """

    def __init__(
        self,
        store: Store,
        registration: Registration,
        query: RegistrationQuery,
        sink: Callable[[Action], None],
        backoff: Backoff,
    ) -> None:
        super().__init__(tick_interval_s=RENEWAL_INTERVAL_S)
        self._store = store
        self._registration = registration
        self._query = query
        self._sink = sink
        self._backoff = backoff
        self._is_store_unavailable = False

    def start(self) -> None:
        """Start registering the process."""
        super().start()
        self._spawn(self._keep_registered)

    def receive(self, message: Any) -> None:
        """Read the registrations again; the content of the message is not used."""
        try:
            self._read_registrations()
        except StoreError as error:
            self._sink(Count('registrations_not_read'))
            self._sink(LogStateChange('registrations_not_read', '', str(error)))

    def tick(self) -> None:
        """Do nothing: renewals run in a separate greenlet."""

    def withdraw(self) -> None:
        """Remove the registration; it lapses if the store does not respond."""
        # A renewal in flight would register the process again.
        self.kill_greenlets()
        try:
            self._registration.withdraw()
        except StoreError as error:
            self._sink(LogStateChange('registration_left_to_lapse', '', str(error)))

    def _keep_registered(self) -> None:
        while True:
            try:
                self._renew()
            except StoreError as error:
                self._on_store_failure(error)
                gevent.sleep(self._backoff.next_wait())
            else:
                self._on_store_recovered()
                gevent.sleep(RENEWAL_INTERVAL_S)

    def _renew(self) -> None:
        was_registered = self._registration.is_registered
        if self._is_store_unavailable:
            # A successful renewal does not show whether the store removed the key
            # during the outage.
            self._registration.write()
        else:
            self._registration.renew()
        if self._is_store_unavailable or not was_registered:
            self._sink(LogStateChange('registered', ''))
            self._read_registrations()

    def _read_registrations(self) -> None:
        stored_values = self._store.list_prefix(self._query.prefix).rows
        for kind in self._query.kinds:
            decoded = (self._decode(kind, stored) for stored in stored_values)
            self._sink(
                kind.event_type(tuple(item for item in decoded if item is not None))
            )

    def _decode(self, kind: RegistrationKind, stored: KeyValue) -> Any:
        if not stored.key.startswith(kind.prefix):
            return None
        try:
            return kind.decode(stored)
        except StoreContentError as error:
            # A malformed key of another writer does not affect the other keys.
            self._sink(Count('registrations_malformed'))
            self._sink(LogStateChange('registration_malformed', stored.key, str(error)))
            return None

    def _on_store_failure(self, error: StoreError) -> None:
        self._sink(Count('registration_failures'))
        if not self._is_store_unavailable:
            self._is_store_unavailable = True
            self._sink(LogStateChange('store_lost', 'registration', str(error)))

    def _on_store_recovered(self) -> None:
        self._backoff.reset()
        if self._is_store_unavailable:
            self._is_store_unavailable = False
            self._sink(LogStateChange('store_regained', 'registration'))
