"""Messages by which configuration spreads between nodes."""

from types import MappingProxyType
from typing import Final, NamedTuple

from persimmonreach.configuration._head import ZoneState
from persimmonreach.configuration._model import EntryInstance, ServiceConfig
from persimmonreach.core import EntryId, ServiceId


class ConfigOffer(NamedTuple):
    """What an entry instance has in force.

    Attributes
    ----------
    version
        Version of the head.
    digest
        Hash of the configuration of that version.
    age_ms
        Milliseconds since the store confirmed the version; -1 if it never
        did.
    overrides
        Changes of zones that the head does not hold yet.
    entries_version
        Version of the list of entry instances; 0 if it is not offered.

    """

    version: int
    digest: int
    age_ms: int
    overrides: tuple[ZoneState, ...]
    entries_version: int


class ConfigPull(NamedTuple):
    """Request for the changes after ``since``.

    Attributes
    ----------
    since
        Version that the sender has.
    version
        Version of which chunks were received; 0 at first.
    chunks
        Numbers of the wanted chunks; the first ones if empty.

    """

    since: int
    version: int = 0
    chunks: tuple[int, ...] = ()


class ConfigPush(NamedTuple):
    """One chunk of the changes from ``since`` to ``version``.

    Attributes
    ----------
    version
        Version after the changes.
    since
        Version before the changes; 0 if the chunks hold everything.
    chunk
        Number of this chunk, from 0.
    chunks
        Count of all chunks.
    digest
        Hash of the configuration of ``version``.
    zones
        All zones of the head; only in chunk 0.
    removed
        Ids of removed services.
    rows
        Added and changed services.

    """

    version: int
    since: int
    chunk: int
    chunks: int
    digest: int
    zones: tuple[ZoneState, ...]
    removed: tuple[ServiceId, ...]
    rows: tuple[ServiceConfig, ...]


class EntriesPull(NamedTuple):
    """Request for the changes of the list of entry instances."""

    since: int
    version: int = 0
    chunks: tuple[int, ...] = ()


class EntriesPush(NamedTuple):
    """One chunk of the changes of the list of entry instances.

    The fields are those of :class:`ConfigPush`.
    """

    version: int
    since: int
    chunk: int
    chunks: int
    removed: tuple[EntryId, ...]
    rows: tuple[EntryInstance, ...]


class ServicePull(NamedTuple):
    """An agent's request for its service.

    Attributes
    ----------
    name
        Name of the service.
    version
        Version that the agent has in force.

    """

    name: str
    version: int


class ServicePush(NamedTuple):
    """What an agent needs of the configuration.

    Attributes
    ----------
    version
        Version of the head.
    age_ms
        As in :class:`ConfigOffer`.
    zones
        Zones with overrides applied.
    service
        Service of the agent; nothing if it is not declared or left out.
    unchanged
        Whether the service is left out because the agent asked with this
        version. A process that has another version must not take the answer:
        it was meant for its predecessor.

    """

    version: int
    age_ms: int
    zones: tuple[ZoneState, ...]
    service: ServiceConfig | None
    unchanged: bool = False


MESSAGE_TYPES: Final = MappingProxyType(
    {
        80: ConfigOffer,
        81: ConfigPull,
        82: ConfigPush,
        83: EntriesPull,
        84: EntriesPush,
        85: ServicePull,
        86: ServicePush,
    },
)
