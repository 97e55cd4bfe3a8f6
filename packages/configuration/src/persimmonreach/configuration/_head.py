"""Head of the configuration."""

from typing import Final, NamedTuple

from persimmonreach.core import ServiceId
from persimmonreach.rules import ZoneState

HEAD_KEY: Final = 'head'
SERVICES_PREFIX: Final = 'service/'
# A publisher that lost a response resolves the outcome within minutes; 200 ids
# cover more than 4 hours at 1,000 changes per day and take 4 KB of the head.
MAX_PUBLISH_IDS: Final = 200


class ServiceReference(NamedTuple):
    """Reference from the head to the immutable key of a service.

    Attributes
    ----------
    service
        Id of the service.
    version
        Configuration version that last changed the service.
    publish_id
        Id of the change that wrote the key.

    """

    service: ServiceId
    version: int
    publish_id: str

    @property
    def key(self) -> str:
        """Key of the service in the store.

        The publish id makes it unique, because concurrent publishers plan the
        same version.
        """
        return f'{SERVICES_PREFIX}{self.service}/{self.version}/{self.publish_id}'


class Head(NamedTuple):
    """Single value in the store that determines which configuration is in force.

    Attributes
    ----------
    version
        Configuration version; each accepted change increments it.
    publishes
        Ids of the latest accepted changes, newest last.
    services
        References to the services, ordered by id.
    zones
        State of each declared availability zone, ordered by name.
    next_service
        Id that is assigned to the next new service; ids are never reused.

    """

    version: int = 0
    publishes: tuple[str, ...] = ()
    services: tuple[ServiceReference, ...] = ()
    zones: tuple[ZoneState, ...] = ()
    next_service: int = 1

    def with_next_version(self, publish_id: str) -> 'Head':
        """Return a copy with the version incremented and ``publish_id`` added."""
        publish_ids = (*self.publishes, publish_id)[-MAX_PUBLISH_IDS:]
        return self._replace(version=self.version + 1, publishes=publish_ids)


def merge_zone_states(
    declared: tuple[ZoneState, ...],
    changes: tuple[ZoneState, ...],
) -> tuple[ZoneState, ...]:
    """Return the state of each declared zone after its latest change.

    Parameters
    ----------
    declared
        State of each declared zone.
    changes
        Changes to apply; those of undeclared zones are ignored.

    """
    latest = {state.zone: state for state in declared}
    for change in changes:
        current = latest.get(change.zone)
        if current is not None and change.ordering_key > current.ordering_key:
            latest[change.zone] = change
    return tuple(latest.values())
