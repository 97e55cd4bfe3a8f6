"""Pulling and serving one replicated table."""

from collections.abc import Callable, Sequence
from typing import Any, NamedTuple, TypeAlias

from persimmonreach.configuration._head import ZoneState
from persimmonreach.configuration._replication import (
    WINDOW_CHUNKS,
    Assembly,
    Delta,
    VersionedTable,
    split_delta,
)
from persimmonreach.configuration.messages import (
    ConfigPull,
    ConfigPush,
    EntriesPull,
    EntriesPush,
)
from persimmonreach.core import Endpoint, Received, Send

# Fixed part of an encoded row: numbers at their widest and the array header.
_SERVICE_ROW_BYTES = 72
_ENTRY_ROW_BYTES = 16

Pull: TypeAlias = ConfigPull | EntriesPull
Push: TypeAlias = ConfigPush | EntriesPush


class Transferred(NamedTuple):
    """A complete transfer."""

    version: int
    delta: Delta
    pushes: Sequence[Any]


class Puller:
    """Fetches newer versions of a table from one peer at a time.

    Parameters
    ----------
    pull_type
        Message that asks for the table.

    """

    def __init__(self, pull_type: Callable[..., Pull]) -> None:
        self._pull_type = pull_type
        self._assembly: Assembly | None = None
        self._peer: Endpoint | None = None

    def offer(
        self,
        peer: Endpoint,
        version: int,
        since: int,
        now: float,
    ) -> tuple[Send, ...]:
        """Return the request for an offered version, unless one is under way."""
        if self._assembly is not None and self._assembly.version >= version:
            return ()
        self._assembly = Assembly(version, now)
        self._peer = peer
        return (Send(peer, self._pull_type(since)),)

    def accept(
        self,
        event: Received,
        since: int,
        now: float,
    ) -> tuple[Transferred | None, tuple[Send, ...]]:
        """Keep a chunk; return the transfer once it is complete.

        Peers split the same delta in different ways, so chunks of another peer
        than the one asked are dropped.
        """
        assembly = self._assembly
        push: Push = event.message
        if assembly is None or event.sender != self._peer:
            return None, ()
        if push.since not in {0, since}:
            return None, ()
        assembly.add(push, now)
        if assembly.is_complete:
            self._assembly = None
            return _join(assembly), ()
        if (push.chunk + 1) % WINDOW_CHUNKS == 0:
            return None, self._ask(since)
        return None, ()

    def tick(self, since: int, now: float) -> tuple[Send, ...]:
        """Ask again for what has not arrived."""
        assembly = self._assembly
        if assembly is None or not assembly.is_due(now):
            return ()
        if assembly.is_abandoned:
            self._assembly = None
            return ()
        return self._ask(since)

    def _ask(self, since: int) -> tuple[Send, ...]:
        if self._assembly is None or self._peer is None:
            return ()
        missing = self._assembly.missing()
        return (
            Send(self._peer, self._pull_type(since, self._assembly.version, missing)),
        )


def _join(assembly: Assembly) -> Transferred:
    pushes = assembly.parts
    delta = Delta(
        pushes[0].since,
        tuple(key for push in pushes for key in push.removed),
        tuple(row for push in pushes for row in push.rows),
    )
    return Transferred(assembly.version, delta, pushes)


def serve_config(
    table: VersionedTable,
    zones: tuple[ZoneState, ...],
    digest: int,
    pull: ConfigPull,
) -> list[ConfigPush]:
    """Return the chunks that answer ``pull``."""
    delta = table.delta(pull.since)
    chunks = split_delta(delta, _service_size)
    return [
        ConfigPush(
            table.version,
            delta.since,
            number,
            len(chunks),
            digest,
            () if number else zones,
            *chunks[number],
        )
        for number in _wanted(pull, table.version, len(chunks))
    ]


def serve_entries(table: VersionedTable, pull: EntriesPull) -> list[EntriesPush]:
    """Return the chunks that answer ``pull``."""
    delta = table.delta(pull.since)
    chunks = split_delta(delta, _entry_size)
    return [
        EntriesPush(table.version, delta.since, number, len(chunks), *chunks[number])
        for number in _wanted(pull, table.version, len(chunks))
    ]


def _wanted(pull: Pull, version: int, count: int) -> Sequence[int]:
    if pull.version == version and pull.chunks:
        wanted = pull.chunks[:WINDOW_CHUNKS]
        return [number for number in wanted if 0 <= number < count]
    return range(min(count, WINDOW_CHUNKS))


def _service_size(part: Any) -> int:
    if isinstance(part, int):
        return 9
    return len(part.name) + len(part.address.host) + _SERVICE_ROW_BYTES


def _entry_size(part: Any) -> int:
    if isinstance(part, str):
        return len(part.encode()) + 3
    return (
        len(part.entry.encode())
        + len(part.zone.encode())
        + len(part.endpoint.host)
        + _ENTRY_ROW_BYTES
    )
