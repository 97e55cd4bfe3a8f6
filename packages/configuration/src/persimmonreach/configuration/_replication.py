"""Deltas between versions of a table, in chunks that may be lost."""

from collections.abc import Callable, Hashable, Iterable, Sequence
from typing import Any, Final, NamedTuple

# Payload of one chunk; the rest of the 1,400 bytes of a datagram is for the
# envelope and the fixed fields of a push.
CHUNK_BYTES: Final = 1200
# Chunks in flight to one node: 16 * 1,400 bytes fit every socket buffer.
WINDOW_CHUNKS: Final = 16
# Ten times the round trip between zones (4 ms one way).
RETRY_S: Final = 0.25
_RETRIES: Final = 8
# Removals remembered for deltas; a peer further behind gets the whole table.
_REMOVALS_KEPT: Final = 512


class Delta(NamedTuple):
    """Changes of a table.

    Attributes
    ----------
    since
        Version before the changes; 0 if ``rows`` is the whole table.
    removed
        Keys of removed rows.
    rows
        Added and changed rows.

    """

    since: int
    removed: tuple[Any, ...]
    rows: tuple[Any, ...]


class VersionedTable:
    """Rows by key with the version that last changed each.

    Parameters
    ----------
    key_of
        Returns the key of a row.

    """

    def __init__(self, key_of: Callable[[Any], Hashable]) -> None:
        self._key_of = key_of
        self._rows: dict[Hashable, Any] = {}
        self._changed: dict[Hashable, int] = {}
        self._removed: dict[Hashable, int] = {}
        self._version = 0
        self._complete_since = 0

    @property
    def version(self) -> int:
        """Version of the table."""
        return self._version

    @property
    def rows(self) -> tuple[Any, ...]:
        """All rows, ordered by key."""
        return tuple(self._rows[key] for key in sorted(self._rows))

    def load(self, version: int, rows: Iterable[Any]) -> None:
        """Replace the whole table."""
        fresh = {self._key_of(row): row for row in rows}
        gone = self._rows.keys() - fresh.keys()
        changed = [row for key, row in fresh.items() if self._rows.get(key) != row]
        if not self._version:
            self._complete_since = version
        self._apply(version, gone, changed)

    def apply(self, version: int, delta: Delta) -> None:
        """Apply a delta that starts at the present version or at 0."""
        if delta.since:
            self._apply(version, delta.removed, delta.rows)
        else:
            self.load(version, delta.rows)

    def preview(self, delta: Delta) -> tuple[Any, ...]:
        """Return the rows after a delta, ordered by key."""
        rows = dict(self._rows) if delta.since else {}
        for gone in delta.removed:
            rows.pop(gone, None)
        rows.update((self._key_of(row), row) for row in delta.rows)
        return tuple(rows[key] for key in sorted(rows))

    def delta(self, since: int) -> Delta:
        """Return the changes after ``since``, or all if it is too long ago."""
        if since < self._complete_since or not since:
            return Delta(0, (), self.rows)
        removed = [key for key, at in self._removed.items() if at > since]
        rows = [row for key, row in self._rows.items() if self._changed[key] > since]
        return Delta(since, tuple(sorted(removed)), tuple(sorted(rows)))

    def _apply(
        self,
        version: int,
        removed: Iterable[Hashable],
        rows: Iterable[Any],
    ) -> None:
        self._version = version
        for key in removed:
            self._rows.pop(key, None)
            self._changed.pop(key, None)
            self._removed[key] = version
        for row in rows:
            self._rows[self._key_of(row)] = row
            self._changed[self._key_of(row)] = version
            self._removed.pop(self._key_of(row), None)
        while len(self._removed) > _REMOVALS_KEPT:
            oldest = min(self._removed, key=self._removed.__getitem__)
            self._complete_since = self._removed.pop(oldest)


class Chunk(NamedTuple):
    """Part of a delta that fits one datagram."""

    removed: tuple[Any, ...]
    rows: tuple[Any, ...]


def split_delta(delta: Delta, size_of: Callable[[Any], int]) -> list[Chunk]:
    """Return the chunks of a delta; at least one.

    Parameters
    ----------
    delta
        Changes to send.
    size_of
        Returns an upper bound of the encoded size of a row or key in bytes.

    """
    removed = _split(delta.removed, size_of)
    rows = _split(delta.rows, size_of)
    chunks = [Chunk(part, ()) for part in removed] + [Chunk((), part) for part in rows]
    return [Chunk((), ()), *chunks]


def _split(
    parts: Sequence[Any],
    size_of: Callable[[Any], int],
) -> list[tuple[Any, ...]]:
    groups: list[list[Any]] = []
    used = CHUNK_BYTES
    for part in parts:
        size = size_of(part)
        if used + size > CHUNK_BYTES:
            groups.append([])
            used = 0
        groups[-1].append(part)
        used += size
    return [tuple(group) for group in groups]


class Assembly:
    """Chunks of one transfer that have arrived.

    Parameters
    ----------
    version
        Version that the transfer leads to; 0 until a chunk has arrived.
    now
        Time of the first request in seconds.

    """

    def __init__(self, version: int, now: float) -> None:
        self._version = version
        self._since = 0
        self._chunks = 0
        self._parts: dict[int, Any] = {}
        self._asked_at = now
        self._silent_rounds = 0

    @property
    def version(self) -> int:
        """Version that the transfer leads to."""
        return self._version

    @property
    def is_complete(self) -> bool:
        """Whether all chunks have arrived."""
        return bool(self._chunks) and len(self._parts) == self._chunks

    @property
    def is_abandoned(self) -> bool:
        """Whether the peer did not answer any of the last requests."""
        return self._silent_rounds > _RETRIES

    @property
    def parts(self) -> list[Any]:
        """Received pushes, ordered by chunk."""
        return [self._parts[number] for number in sorted(self._parts)]

    def add(self, push: Any, now: float) -> None:
        """Keep a chunk; one of a newer transfer starts over."""
        if (push.version, push.since) != (self._version, self._since):
            if push.version < self._version and self._parts:
                return
            self._version = push.version
            self._since = push.since
            self._parts.clear()
        self._chunks = push.chunks
        self._parts[push.chunk] = push
        self._silent_rounds = 0
        self._asked_at = now

    def missing(self) -> tuple[int, ...]:
        """Return the next chunks to ask for."""
        open_chunks = (
            number for number in range(self._chunks) if number not in self._parts
        )
        return tuple(open_chunks)[:WINDOW_CHUNKS]

    def is_due(self, now: float) -> bool:
        """Whether to ask again; counts the request if so."""
        if now - self._asked_at < RETRY_S:
            return False
        self._asked_at = now
        self._silent_rounds += 1
        return True
