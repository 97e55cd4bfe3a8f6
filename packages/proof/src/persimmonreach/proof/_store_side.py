"""What an entry instance does with the store: registers, reads, watches."""

from random import Random
from typing import Any, Final

from persimmonreach.configuration import (
    EntryInstance,
    Publisher,
    PublisherSettings,
    Store,
    StoreConfirmed,
    StoreError,
    StoreFailed,
    StoreRead,
    Timing,
)
from persimmonreach.configuration._head import ENTRIES_PREFIX, HEAD_KEY
from persimmonreach.configuration._reading import ConfigurationReader
from persimmonreach.configuration._registration import Registration, decode_entry
from persimmonreach.core import Clock

_PREFIXES: Final = (HEAD_KEY, ENTRIES_PREFIX)
# As in the tasks of the configuration slice.
_WATCH_S: Final = 5
_BACKOFF_S: Final = 1
_MS_PER_S: Final = 1000


class StoreSide:
    """Client of the store at one entry instance.

    Parameters
    ----------
    store
        Client with its own faults.
    entry
        Registration of the entry instance.
    clock
        Virtual time.

    """

    def __init__(self, store: Store, entry: EntryInstance, clock: Clock) -> None:
        self._store = store
        self._clock = clock
        self._registration = Registration(store, entry)
        self._reader = ConfigurationReader(store)
        self._revision = 0
        self._confirm_at: float = 0
        self._read_at: float = 0
        self._register_at: float = 0

    def tick(self, wants_store: bool) -> Any:
        """Return the event that the store causes, if any."""
        now = self._clock.now()
        self._register(now)
        if not wants_store or now < self._read_at:
            return None
        try:
            return self._read_or_watch(now)
        except StoreError:
            self._revision = 0
            self._read_at = now + _BACKOFF_S
            return StoreFailed()

    def _register(self, now: float) -> None:
        if now < self._register_at:
            return
        try:
            self._register_at = now + self._registration.renew()
        except StoreError:
            self._register_at = now + _BACKOFF_S

    def _read_or_watch(self, now: float) -> Any:
        if self._revision:
            if not self._store.watch(_PREFIXES, self._revision, _WATCH_S).changed:
                if now < self._confirm_at:
                    return None
                self._confirm_at = now + _WATCH_S
                return StoreConfirmed()
        listing = self._store.list_prefix(ENTRIES_PREFIX)
        base = self._reader.read()
        entries = tuple(decode_entry(row) for row in listing.rows)
        self._revision = listing.revision
        self._confirm_at = now + _WATCH_S
        head = base.head if base.revision else None
        return StoreRead(head, base.services, entries, listing.revision)


def make_publisher(store: Store, clock: Clock, rng: Random, pause: Any) -> Publisher:
    """Return a publisher that waits by ``pause``."""
    timing = Timing(clock, lambda: int(clock.now() * _MS_PER_S), pause)
    return Publisher(PublisherSettings('matrix', 5), store, timing, rng)
