"""Events and actions of the configuration in force."""

from typing import NamedTuple

from persimmonreach.configuration._head import Head, ZoneState
from persimmonreach.configuration._model import EntryInstance, ServiceConfig
from persimmonreach.core import Endpoint, EntryId, Zone


class EntrySettings(NamedTuple):
    """Settings of an entry instance's configuration.

    Attributes
    ----------
    entry
        Id of this entry instance.
    zone
        Availability zone of this entry instance.
    seeds
        Entry instances to ask before the list of them is known.
    enforce_version_order
        Whether an older version is refused; off only to show that tests
        detect the fault.

    """

    entry: EntryId
    zone: Zone
    seeds: tuple[Endpoint, ...] = ()
    enforce_version_order: bool = True


class AgentSettings(NamedTuple):
    """Settings of an agent's configuration.

    Attributes
    ----------
    service
        Name of the service in its declaration.
    endpoints
        Entry instances to ask.
    enforce_version_order
        As in :class:`EntrySettings`.

    """

    service: str
    endpoints: tuple[Endpoint, ...]
    enforce_version_order: bool = True


class StoreRead(NamedTuple):
    """The store was read.

    Attributes
    ----------
    head
        Head of the configuration; nothing if none was published yet.
    services
        Services of the head.
    entries
        Registered entry instances.
    entries_version
        Revision of the store at which ``entries`` was read.

    """

    head: Head | None
    services: tuple[ServiceConfig, ...]
    entries: tuple[EntryInstance, ...]
    entries_version: int


class StoreConfirmed(NamedTuple):
    """The store reports no change since it was last read."""


class StoreFailed(NamedTuple):
    """The store did not answer."""


class OverrideSet(NamedTuple):
    """An operator sets the state of a zone at this entry instance.

    Attributes
    ----------
    zone
        Declared availability zone.
    out
        Whether to take it out of service.
    sequence
        Milliseconds of wall-clock time at the operator.
    change
        Id of the override.

    """

    zone: Zone
    out: bool
    sequence: int
    change: str


class VersionOffered(NamedTuple):
    """An entry instance announced its version, for example in a heartbeat."""

    version: int
    endpoint: Endpoint


class AbsorbOverrides(NamedTuple):
    """Write overrides into the head of the store."""

    overrides: tuple[ZoneState, ...]
