"""Wire messages of membership; numbers 10 to 39."""

from types import MappingProxyType
from typing import Final, NamedTuple

from persimmonreach.configuration import EntryInstance
from persimmonreach.core import AgentId, EntryId, Incarnation, ServiceId
from persimmonreach.membership._table import MemberRow
from persimmonreach.membership._view import Member


class Heartbeat(NamedTuple):
    """An agent asks a registrar for its admission lease."""

    member: Member
    sequence: int
    flows: int
    flow_limit: int
    digest: int
    config_version: int
    entries_version: int


class HeartbeatAck(NamedTuple):
    """Answer to a heartbeat.

    Attributes
    ----------
    entry
        Registrar that answers.
    agent
        Agent that is answered.
    sequence
        Sequence number of the heartbeat.
    incarnation
        Highest incarnation of the agent that the registrar knows.
    lease_s
        Seconds of the lease from the sending of the heartbeat; 0 if refused.
    is_dead
        Whether the registrar declared this incarnation dead; only a higher
        one is granted a lease again.
    digest
        Digest of the registrar's view of the service.
    config_version
        Configuration version of the registrar.
    entries_version
        Version of the registrar's list of entry instances.

    """

    entry: EntryId
    agent: AgentId
    sequence: int
    incarnation: Incarnation
    lease_s: float
    is_dead: bool
    digest: int
    config_version: int
    entries_version: int


class ServiceView(NamedTuple):
    """One part of a registrar's view of a service."""

    service: ServiceId
    digest: int
    part: int
    parts: int
    members: tuple[Member, ...]


class MemberRows(NamedTuple):
    """Changed or requested rows."""

    entries_version: int
    rows: tuple[MemberRow, ...]


class EntryListRequest(NamedTuple):
    """Asks for the list of entry instances."""


class EntryList(NamedTuple):
    """One part of the list of entry instances."""

    version: int
    part: int
    parts: int
    entries: tuple[EntryInstance, ...]


class TableDigest(NamedTuple):
    """Hash of all rows.

    Attributes
    ----------
    digest
        Hash of all rows of the sender.
    entries_version
        Version of the sender's list of entry instances.
    is_complete
        Whether the sender's own table is known to be complete.
    is_reply
        Whether this answers a digest that was equal.

    """

    digest: int
    entries_version: int
    is_complete: bool
    is_reply: bool


class BucketDigests(NamedTuple):
    """Hash of the rows of each bucket of services."""

    digests: tuple[int, ...]


class RowDigests(NamedTuple):
    """Hashes of all rows of a bucket from ``first`` to ``last``."""

    bucket: int
    first: int
    last: int
    digests: tuple[int, ...]


class RowsWanted(NamedTuple):
    """Asks for rows of a bucket by their hashes."""

    bucket: int
    digests: tuple[int, ...]


MESSAGE_TYPES: Final = MappingProxyType(
    {
        10: Heartbeat,
        11: HeartbeatAck,
        12: ServiceView,
        13: MemberRows,
        14: EntryListRequest,
        15: EntryList,
        16: TableDigest,
        17: BucketDigests,
        18: RowDigests,
        19: RowsWanted,
    },
)
