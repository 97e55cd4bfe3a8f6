"""Answers in parts."""

from typing import Final

# A part, its headers and the envelope fit into one datagram of 1,280 bytes,
# the smallest size that every link carries.
PART_BYTES: Final = 1100
# Bounds the memory that one malformed answer can take.
_MAX_PARTS: Final = 4096


class AnswerParts:
    """Parts of one answer of one attempt, in any order and repeated."""

    def __init__(self) -> None:
        self._parts = 0
        self._bodies: dict[int, bytes] = {}

    @property
    def is_empty(self) -> bool:
        """Whether no part has arrived."""
        return not self._bodies

    @property
    def is_whole(self) -> bool:
        """Whether all parts have arrived."""
        return bool(self._bodies) and len(self._bodies) == self._parts

    @property
    def body(self) -> bytes:
        """Content of the parts in order."""
        return b''.join(self._bodies[part] for part in sorted(self._bodies))

    def add(self, part: int, parts: int, body: bytes) -> bool:
        """Store a part and return whether it is consistent with the others."""
        expected = self._parts or parts
        if parts != expected or parts > _MAX_PARTS or not 0 <= part < parts:
            return False
        self._parts = parts
        return self._bodies.setdefault(part, body) == body


def split_body(body: bytes) -> list[bytes]:
    """Return ``body`` in parts that fit into a packet; at least one part."""
    starts = range(0, max(1, len(body)), PART_BYTES)
    return [body[start : start + PART_BYTES] for start in starts]
