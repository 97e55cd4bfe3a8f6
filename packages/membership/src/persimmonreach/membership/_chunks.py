"""Lists in parts that fit into a datagram, and their assembly."""

from collections.abc import Callable, Sequence
from typing import Any, Final

from persimmonreach.configuration import EntriesChanged, EntryInstance
from persimmonreach.membership._table import MemberRow
from persimmonreach.membership._view import Member
from persimmonreach.membership.messages import EntryList, MemberRows, ServiceView

# 1,400 bytes a datagram less envelope and the message's own fields.
_PART_BYTES: Final = 1300
# Numbers, array headers and string headers of one element.
_ROW_OVERHEAD_BYTES: Final = 40
_ENTRY_OVERHEAD_BYTES: Final = 14
_STRING_HEADER_BYTES: Final = 2
# A 64-bit number takes 9 bytes.
DIGESTS_PER_PART: Final = 140


def row_bytes(row: MemberRow) -> int:
    """Return an upper bound of the encoded size of a row in bytes."""
    return member_bytes(row.member) + sum(
        _text_bytes(accuser) for accuser in row.accusers
    )


def member_bytes(member: Member) -> int:
    """Return an upper bound of the encoded size of a member in bytes."""
    texts = (member.agent, member.zone, member.endpoint.host)
    return _ROW_OVERHEAD_BYTES + sum(_text_bytes(text) for text in texts)


def entry_bytes(entry: EntryInstance) -> int:
    """Return an upper bound of the encoded size of an entry in bytes."""
    texts = (entry.entry, entry.zone, entry.endpoint.host)
    return _ENTRY_OVERHEAD_BYTES + sum(_text_bytes(text) for text in texts)


def split(
    elements: Sequence[Any],
    size_of: Callable[[Any], int],
) -> list[tuple[Any, ...]]:
    """Return ``elements`` in parts; one empty part if there are none."""
    parts: list[list[Any]] = [[]]
    used = 0
    for element in elements:
        size = size_of(element)
        if parts[-1] and used + size > _PART_BYTES:
            parts.append([])
            used = 0
        parts[-1].append(element)
        used += size
    return [tuple(part) for part in parts]


def row_messages(version: int, rows: Sequence[MemberRow]) -> list[MemberRows]:
    """Return the messages that carry ``rows``."""
    return [MemberRows(version, part) for part in split(rows, row_bytes) if part]


def view_messages(view: Any) -> list[ServiceView]:
    """Return the messages that carry a view."""
    parts = split(view.members, member_bytes)
    return [
        ServiceView(view.service, view.digest, index, len(parts), part)
        for index, part in enumerate(parts)
    ]


def list_messages(listed: EntriesChanged) -> list[EntryList]:
    """Return the messages that carry the list of entry instances."""
    parts = split(listed.entries, entry_bytes)
    return [
        EntryList(listed.version, index, len(parts), part)
        for index, part in enumerate(parts)
    ]


class Assembler:
    """Collects the parts of the newest list or view."""

    def __init__(self) -> None:
        self._key: Any = None
        self._parts: dict[int, tuple[Any, ...]] = {}

    def add(
        self,
        key: Any,
        part: int,
        parts: int,
        elements: tuple[Any, ...],
    ) -> tuple[Any, ...] | None:
        """Add a part; return all elements once every part has arrived."""
        if key != self._key:
            self._key = key
            self._parts = {}
        self._parts[part] = elements
        if len(self._parts) < parts:
            return None
        collected = self._parts
        self._key = None
        return tuple(
            element for index in sorted(collected) for element in collected[index]
        )


def _text_bytes(text: str) -> int:
    return len(text.encode()) + _STRING_HEADER_BYTES
