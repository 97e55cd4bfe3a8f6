"""Member rows and their merge order."""

from collections.abc import Iterable
from typing import Final, NamedTuple

import xxhash

from persimmonreach.core import AgentId, EntryId, Incarnation, ServiceId
from persimmonreach.membership._view import Member, View

# 64 digests fit into one datagram; a bucket holds about 90 rows at full size.
TABLE_BUCKETS: Final = 64
LARGEST_DIGEST: Final = 0xFFFFFFFFFFFFFFFF


class MemberRow(NamedTuple):
    """Row of one member as entry instances exchange it.

    Attributes
    ----------
    member
        The member; ``alive`` is false once a majority declared it dead.
    accusers
        Registrars that declared this incarnation dead; empty once a majority
        did.

    """

    member: Member
    accusers: tuple[EntryId, ...] = ()

    @property
    def is_settled(self) -> bool:
        """Whether the member is dead or has left."""
        return not self.member.is_reachable

    @property
    def digest(self) -> int:
        """Hash of the whole row."""
        return xxhash.xxh3_64_intdigest(
            repr((tuple(self.member), self.accusers)).encode()
        )


def member_digest(member: Member) -> int:
    """Return the hash of a member; equal on all nodes."""
    return xxhash.xxh3_64_intdigest(repr(tuple(member)).encode())


def merge_rows(one: MemberRow, other: MemberRow) -> MemberRow:
    """Return the row that follows from both; the order does not matter."""
    if one.member.incarnation != other.member.incarnation:
        return max(one, other, key=lambda row: row.member.incarnation)
    # Rows of one incarnation differ in state and liveness; the remaining
    # fields are compared so that a conflict ends the same way everywhere.
    latest = max(one.member, other.member, key=lambda row: (row.state, row))
    alive = one.member.alive and other.member.alive
    accusers = tuple(sorted({*one.accusers, *other.accusers})) if alive else ()
    return MemberRow(latest._replace(alive=alive), accusers)


class MemberTable:
    """Rows by agent with digests that follow each change.

    Removed rows leave their incarnation behind, so that a delayed message
    cannot bring them back.
    """

    def __init__(self) -> None:
        self._rows: dict[AgentId, MemberRow] = {}
        self._services: dict[ServiceId, dict[AgentId, MemberRow]] = {}
        self._removed: dict[AgentId, Incarnation] = {}
        self._views: dict[ServiceId, View] = {}
        self._accused: set[AgentId] = set()
        self._settled: set[AgentId] = set()
        self._buckets = [0 for _ in range(TABLE_BUCKETS)]

    @property
    def digest(self) -> int:
        """Hash of all rows."""
        return xxhash.xxh3_64_intdigest(repr(self._buckets).encode())

    @property
    def bucket_digests(self) -> tuple[int, ...]:
        """Hash of the rows of each bucket of services."""
        return tuple(self._buckets)

    @property
    def services(self) -> tuple[ServiceId, ...]:
        """Services that have rows."""
        return tuple(self._services)

    @property
    def rows(self) -> tuple[MemberRow, ...]:
        """All rows."""
        return tuple(self._rows.values())

    @property
    def accused(self) -> tuple[MemberRow, ...]:
        """Rows that some registrar, but no majority, declared dead."""
        return tuple(self._rows[agent] for agent in self._accused)

    @property
    def settled(self) -> tuple[MemberRow, ...]:
        """Rows of members that are dead or have left."""
        return tuple(self._rows[agent] for agent in self._settled)

    def find(self, agent: AgentId) -> MemberRow | None:
        """Return the row of an agent."""
        return self._rows.get(agent)

    def known_incarnation(self, agent: AgentId) -> int:
        """Return the highest incarnation seen, also of a removed row."""
        row = self._rows.get(agent)
        return row.member.incarnation if row else self._removed.get(agent, 0)

    def rows_of(self, service: ServiceId) -> tuple[MemberRow, ...]:
        """Return the rows of a service."""
        return tuple(self._services.get(service, {}).values())

    def bucket_rows(self, bucket: int) -> dict[int, MemberRow]:
        """Return the rows of a bucket by their hash."""
        rows = (
            row
            for service in self._services
            if service % TABLE_BUCKETS == bucket
            for row in self._services[service].values()
        )
        return {row.digest: row for row in rows}

    def merge(self, row: MemberRow) -> bool:
        """Merge a row; return whether the table changed."""
        agent = row.member.agent
        if row.member.incarnation <= self._removed.get(agent, -1):
            if row.is_settled:
                return False
            # The sender has missed the death of this member: listed as dead
            # again, the row reaches the sender by anti-entropy.
            row = MemberRow(row.member._replace(alive=False))
        previous = self._rows.get(agent)
        merged = merge_rows(previous, row) if previous else row
        if merged == previous:
            return False
        if previous:
            self._take_out(previous)
        self._rows[agent] = merged
        self._services.setdefault(merged.member.service, {})[agent] = merged
        if merged.accusers:
            self._accused.add(agent)
        if merged.is_settled:
            self._settled.add(agent)
        self._count(merged, 1)
        return True

    def remove(self, agent: AgentId) -> None:
        """Remove a row and remember its incarnation."""
        self._removed[agent] = self._rows[agent].member.incarnation
        self.discard(agent)

    def discard(self, agent: AgentId) -> None:
        """Remove a row that another node may list again."""
        self._take_out(self._rows.pop(agent))

    def forget_removed(self, agent: AgentId) -> None:
        """Forget the incarnation of a removed row."""
        self._removed.pop(agent, None)

    def view(self, service: ServiceId) -> View:
        """Return the members of a service."""
        known = self._views.get(service)
        if known is None:
            members = sorted(row.member for row in self.rows_of(service))
            known = View(service, tuple(members), digest_members(members))
            self._views[service] = known
        return known

    def _take_out(self, row: MemberRow) -> None:
        service = row.member.service
        self._accused.discard(row.member.agent)
        self._settled.discard(row.member.agent)
        self._services[service].pop(row.member.agent)
        if not self._services[service]:
            self._services.pop(service)
        self._count(row, -1)

    def _count(self, row: MemberRow, sign: int) -> None:
        self._views.pop(row.member.service, None)
        bucket = row.member.service % TABLE_BUCKETS
        self._buckets[bucket] = (
            self._buckets[bucket] + sign * row.digest
        ) & LARGEST_DIGEST


def digest_members(members: Iterable[Member]) -> int:
    """Return the digest of a view; independent of the order of members."""
    return sum(member_digest(member) for member in members) & LARGEST_DIGEST
