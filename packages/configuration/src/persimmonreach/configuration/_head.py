"""Head of the configuration and its form in the store."""

import json
from typing import Any, Final, NamedTuple

import xxhash

from persimmonreach.configuration._model import (
    Configuration,
    ServiceConfig,
)
from persimmonreach.configuration._store import StoreContentError
from persimmonreach.core import Endpoint, ServiceId, Zone

HEAD_KEY: Final = 'head'
ENTRIES_PREFIX: Final = 'entries/'
SERVICES_PREFIX: Final = 'service/'
# A publisher that lost an answer settles within minutes; 200 ids cover more
# than four hours at 1,000 changes a day and take 8 KB of the head.
PUBLISH_IDS_KEPT: Final = 200
_FLOAT_FIELDS: Final = ('slow_start_floor', 'retry_budget', 'drain_deadline_s')


class ZoneState(NamedTuple):
    """Last change of one availability zone.

    Changes of a zone are ordered by ``sequence`` and then ``change``, no
    matter whether they came through the store or as an override.

    Attributes
    ----------
    zone
        Name of the availability zone.
    out
        Whether the zone is out of service.
    sequence
        Milliseconds of wall-clock time, raised above every known sequence of
        the zone.
    change
        Id of the change.

    """

    zone: Zone
    out: bool = False
    sequence: int = 0
    change: str = ''

    @property
    def order(self) -> tuple[int, str]:
        """Key by which the later of two changes is found."""
        return self.sequence, self.change


class HeadService(NamedTuple):
    """Reference from the head to an immutable service key."""

    service: ServiceId
    version: int
    publish: str

    @property
    def key(self) -> str:
        """Key of the service in the store.

        It holds the publish id, because two racing publishers plan the same
        version.
        """
        return f'{SERVICES_PREFIX}{self.service}/{self.version}/{self.publish}'


class Head(NamedTuple):
    """The one value that decides which configuration is in force.

    Attributes
    ----------
    version
        Rises by one with each accepted change.
    publishes
        Ids of the newest accepted changes, the newest last.
    services
        References to the services, ordered by id.
    zones
        State of each declared availability zone, ordered by name.
    next_service
        Id that the next new service gets; ids are never reused.

    """

    version: int = 0
    publishes: tuple[str, ...] = ()
    services: tuple[HeadService, ...] = ()
    zones: tuple[ZoneState, ...] = ()
    next_service: int = 1

    def succeed(self, publish: str) -> 'Head':
        """Return the head with the next version and publish id."""
        kept = (*self.publishes, publish)[-PUBLISH_IDS_KEPT:]
        return self._replace(version=self.version + 1, publishes=kept)


class Snapshot(NamedTuple):
    """Configuration of one version, without overrides."""

    version: int = 0
    services: tuple[ServiceConfig, ...] = ()
    zones: tuple[ZoneState, ...] = ()

    @property
    def digest(self) -> int:
        """Hash of the content; equal snapshots have equal digests."""
        return xxhash.xxh3_64_intdigest(repr(tuple(self)).encode())


def merge_zones(
    declared: tuple[ZoneState, ...],
    changes: tuple[ZoneState, ...],
) -> tuple[ZoneState, ...]:
    """Return the latest state of each zone of ``declared``."""
    latest = {state.zone: state for state in declared}
    for change in changes:
        known = latest.get(change.zone)
        if known is not None and change.order > known.order:
            latest[change.zone] = change
    return tuple(latest.values())


def make_configuration(
    snapshot: Snapshot,
    changes: tuple[ZoneState, ...] = (),
) -> Configuration:
    """Return the configuration in force with later changes of zones."""
    states = merge_zones(snapshot.zones, changes)
    return Configuration(
        snapshot.version,
        snapshot.services,
        frozenset(state.zone for state in states),
        frozenset(state.zone for state in states if state.out),
    )


def encode_head(head: Head) -> str:
    """Return the value for the store."""
    return json.dumps(head._asdict())


def decode_head(text: str) -> Head:
    """Return the head in a value of the store.

    Raises
    ------
    StoreContentError
        If the value is not a head.

    """
    try:
        return _parse_head(json.loads(text))
    except (ValueError, KeyError, TypeError) as error:
        raise StoreContentError(f'the head is malformed: {error}') from error


def encode_service(service: ServiceConfig) -> str:
    """Return the value for the store."""
    return json.dumps(service._asdict())


def decode_service(text: str) -> ServiceConfig:
    """Return the service in a value of the store.

    Raises
    ------
    StoreContentError
        If the value is not a service.

    """
    try:
        return _parse_service(json.loads(text))
    except (ValueError, KeyError, TypeError) as error:
        raise StoreContentError(f'a service is malformed: {error}') from error


def _parse_service(fields: dict[str, Any]) -> ServiceConfig:
    address = Endpoint(*fields.pop('address'))
    # Equal content has an equal digest only if numbers have one type.
    for name in _FLOAT_FIELDS:
        fields[name] = float(fields[name])
    return ServiceConfig(address=address, **fields)


def _parse_head(fields: dict[str, Any]) -> Head:
    return Head(
        fields['version'],
        tuple(fields['publishes']),
        tuple(HeadService(*row) for row in fields['services']),
        tuple(ZoneState(*row) for row in fields['zones']),
        fields['next_service'],
    )
