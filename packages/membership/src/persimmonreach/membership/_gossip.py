"""Anti-entropy between entry instances."""

from types import MappingProxyType
from typing import Any

from persimmonreach.core import Action, Endpoint, Send
from persimmonreach.membership._chunks import DIGESTS_PER_PART, row_messages
from persimmonreach.membership._registrars import RegistrarSets
from persimmonreach.membership._table import LARGEST_DIGEST, MemberRow, MemberTable
from persimmonreach.membership.messages import (
    BucketDigests,
    RowDigests,
    RowsWanted,
    TableDigest,
)


class AntiEntropy:
    """Compares hashes with a peer and exchanges only the rows that differ.

    The table hash is compared first, then the hash of each bucket, then the
    hashes of the rows of differing buckets.

    Parameters
    ----------
    table
        Member rows.
    registrars
        Holds the list of entry instances in force.

    """

    def __init__(self, table: MemberTable, registrars: RegistrarSets) -> None:
        self._table = table
        self._registrars = registrars
        self._has_matched = False
        self._has_waited = False
        self._handlers = MappingProxyType(
            {
                TableDigest: self._compare_tables,
                BucketDigests: self._compare_buckets,
                RowDigests: self._compare_rows,
                RowsWanted: self._send_wanted,
            },
        )

    @property
    def has_matched(self) -> bool:
        """Whether the hash of a complete peer was equal at least once."""
        return self._has_matched

    def note_waited(self) -> None:
        """Count the own table as complete for peers, even without a match.

        When all entry instances start together, none has a complete peer.
        """
        self._has_waited = True

    def open_exchange(self, peer: Endpoint) -> Action:
        """Return the message that starts a comparison."""
        return Send(peer, self._summary(is_reply=False))

    def receive(self, message: Any, sender: Endpoint) -> tuple[Action, ...]:
        """Answer a message of an exchange; empty for other messages."""
        answer: Any = self._handlers.get(type(message))
        if answer is None:
            return ()
        return tuple(Send(sender, reply) for reply in answer(message))

    def _summary(self, *, is_reply: bool) -> TableDigest:
        version = self._registrars.present.version
        is_complete = self._has_matched or self._has_waited
        return TableDigest(self._table.digest, version, is_complete, is_reply)

    def _compare_tables(self, message: TableDigest) -> tuple[Any, ...]:
        is_equal = message.digest == self._table.digest
        # Two instances that both just started can be equal and lack rows.
        self._has_matched = self._has_matched or (is_equal and message.is_complete)
        if message.is_reply:
            return ()
        if is_equal:
            return (self._summary(is_reply=True),)
        return (BucketDigests(self._table.bucket_digests),)

    def _compare_buckets(self, message: BucketDigests) -> tuple[Any, ...]:
        own = self._table.bucket_digests
        return tuple(
            part
            for bucket, digest in enumerate(message.digests[: len(own)])
            if digest != own[bucket]
            for part in self._row_digests(bucket)
        )

    def _row_digests(self, bucket: int) -> list[RowDigests]:
        digests = sorted(self._table.bucket_rows(bucket))
        parts: list[RowDigests] = []
        first = 0
        while len(digests) > DIGESTS_PER_PART:
            part = digests[:DIGESTS_PER_PART]
            digests = digests[DIGESTS_PER_PART:]
            parts.append(RowDigests(bucket, first, part[-1], tuple(part)))
            first = part[-1] + 1
        return [*parts, RowDigests(bucket, first, LARGEST_DIGEST, tuple(digests))]

    def _compare_rows(self, message: RowDigests) -> tuple[Any, ...]:
        listed = set(message.digests)
        own = self._table.bucket_rows(message.bucket)
        missing_there = [
            row
            for digest, row in own.items()
            if message.first <= digest <= message.last and digest not in listed
        ]
        wanted = tuple(sorted(listed - set(own)))
        ask = (RowsWanted(message.bucket, wanted),) if wanted else ()
        return (*self._carry(missing_there), *ask)

    def _send_wanted(self, message: RowsWanted) -> tuple[Any, ...]:
        own = self._table.bucket_rows(message.bucket)
        return self._carry([own[digest] for digest in message.digests if digest in own])

    def _carry(self, rows: list[MemberRow]) -> tuple[Any, ...]:
        return tuple(row_messages(self._registrars.present.version, rows))
