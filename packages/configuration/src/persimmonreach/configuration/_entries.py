"""List of entry instances as an entry instance knows it."""

from typing import Any, Final

import xxhash

from persimmonreach.configuration._events import EntrySettings
from persimmonreach.configuration._model import EntriesChanged, EntryInstance
from persimmonreach.configuration._replication import VersionedTable
from persimmonreach.configuration._transfer import Puller, serve_entries
from persimmonreach.configuration.messages import EntriesPull
from persimmonreach.core import Action, Endpoint, EntryId, Received, Send

# Two readers survive the loss of one without a gap.
READERS_PER_ZONE: Final = 2
# After an outage all store leases (10 s) have lapsed; entry instances register
# again within 5 s, so that a list read earlier is not complete.
HOLD_S: Final = 15


class EntriesTable:
    """List of entry instances: from the store, or from a peer.

    Parameters
    ----------
    settings
        Settings of this entry instance.

    """

    def __init__(self, settings: EntrySettings) -> None:
        self._settings = settings
        self._table = VersionedTable(_entry_of)
        self._rows: tuple[EntryInstance, ...] = ()
        self._peers = settings.seeds
        self._is_reader = False
        self._puller = Puller(EntriesPull)
        self._hold_until: float | None = None
        # Whether the list was read from the store shortly after the start.
        self._is_unproven = False
        self._deferred: tuple[int, tuple[EntryInstance, ...]] | None = None

    @property
    def version(self) -> int:
        """Version of the list."""
        return self._table.version

    @property
    def rows(self) -> tuple[EntryInstance, ...]:
        """Known entry instances, ordered by id."""
        return self._rows

    @property
    def peers(self) -> tuple[Endpoint, ...]:
        """Endpoints of the other entry instances."""
        return self._peers

    @property
    def is_reader(self) -> bool:
        """Whether this entry instance reads the store for its zone."""
        return self._is_reader

    def is_held(self, now: float) -> bool:
        """Whether the list in the store may be incomplete."""
        if self._hold_until is None:
            self._hold_until = now + HOLD_S
        return now < self._hold_until

    def offered_version(self, now: float) -> int:
        """Return the version for peers; 0 while the list may be incomplete."""
        return 0 if self._is_unproven and self.is_held(now) else self.version

    def store_failed(self, now: float) -> None:
        """Freeze the list until entry instances had time to register again."""
        self._hold_until = now + HOLD_S

    def read(
        self,
        version: int,
        entries: tuple[EntryInstance, ...],
        now: float,
    ) -> tuple[Action, ...]:
        """Take over the list of the store."""
        is_held = self.is_held(now)
        loses_rows = not set(self.rows) <= set(entries)
        self._deferred = (version, entries) if is_held and loses_rows else None
        is_known = version <= self.version or set(entries) == set(self.rows)
        if self._deferred or is_known:
            return ()
        self._is_unproven = self._is_unproven or not self.version
        self._table.load(version, entries)
        return self._changed()

    def offered(
        self,
        peer: Endpoint,
        version: int,
        now: float,
    ) -> tuple[Action, ...]:
        """Pull a newer list from a peer."""
        if version <= self.version:
            return ()
        return self._puller.offer(peer, version, self.version, now)

    def pulled(self, peer: Endpoint, pull: EntriesPull) -> tuple[Action, ...]:
        """Answer a peer that asks for the list."""
        pushes = serve_entries(self._table, pull)
        return tuple(Send(peer, push) for push in pushes)

    def pushed(self, event: Received, now: float) -> tuple[Action, ...]:
        """Take over a complete newer list."""
        done, actions = self._puller.accept(event, self.version, now)
        if done is None or done.version <= self.version:
            return actions
        self._is_unproven = False
        self._table.apply(done.version, done.delta)
        return self._changed()

    def tick(self, now: float) -> tuple[Action, ...]:
        """Ask again for lost chunks; apply a list that was held back."""
        if self._deferred and not self.is_held(now):
            return self.read(*self._deferred, now)
        return self._puller.tick(self.version, now)

    def _changed(self) -> tuple[Action, ...]:
        own = self._settings
        self._rows = self._table.rows
        others = tuple(row.endpoint for row in self._rows if row.entry != own.entry)
        self._peers = others or own.seeds
        near = [row.entry for row in self._rows if row.zone == own.zone]
        ranked = sorted(near, key=_reader_score, reverse=True)
        self._is_reader = own.entry in ranked[:READERS_PER_ZONE]
        return (EntriesChanged(self.version, self._rows),)


def _reader_score(entry: EntryId) -> tuple[int, EntryId]:
    # core.rendezvous_score raises TypeError with xxhash 4, which hashes bytes
    # only.
    return xxhash.xxh3_64_intdigest(f'reader\n{entry}'.encode()), entry


def _entry_of(row: Any) -> EntryId:
    return row.entry
