"""Conversion of the published configuration to traffic rules."""

from persimmonreach.configuration._head import HEAD_KEY
from persimmonreach.configuration._model import ServiceConfig
from persimmonreach.configuration._plan import StoredConfiguration
from persimmonreach.configuration._reading import ConfigurationReader
from persimmonreach.core import ServiceName
from persimmonreach.rules import (
    Route,
    RulesSnapshot,
    RulesSource,
    ServiceLimits,
    Target,
    TrafficRules,
)
from persimmonreach.store import Changes, Store, StoreContentError


class HeadRulesSource(RulesSource):
    """Reader of the rules in the layout that ``Publisher`` writes.

    Only the head is watched. Service keys are immutable, so each is read only once.
    """

    def __init__(self) -> None:
        self._reader: ConfigurationReader | None = None

    @property
    def prefix(self) -> str:
        """Prefix of the keys to watch."""
        return HEAD_KEY

    def read(self, store: Store) -> RulesSnapshot:
        """Read the head, and the services that have not been read yet."""
        reader = self._reader or ConfigurationReader(store)
        self._reader = reader
        # Read before the head, so that a watch from this revision misses no change.
        revision = store.list_prefix(HEAD_KEY).revision
        try:
            configuration = reader.read()
        except StoreContentError as error:
            return RulesSnapshot(revision, None, None, (str(error),))
        if not configuration.revision:
            return RulesSnapshot(revision, None, None)
        zones_out = frozenset(
            state.zone for state in configuration.head.zones if state.out
        )
        return RulesSnapshot(revision, make_rules(configuration), zones_out)

    def read_changes(self, store: Store, changes: Changes) -> RulesSnapshot:
        """Read the head again, because it determines the complete configuration."""
        return self.read(store)


def make_rules(configuration: StoredConfiguration) -> TrafficRules:
    """Convert a published configuration to traffic rules."""
    return TrafficRules(
        configuration.head.version,
        tuple(_make_route(service) for service in configuration.services),
        tuple(_make_limits(service) for service in configuration.services),
        zones=configuration.head.zones,
    )


def _make_route(service: ServiceConfig) -> Route:
    target = Target(ServiceName(service.name))
    return Route(service.name, service.address, (target,), service.traffic_class)


def _make_limits(service: ServiceConfig) -> ServiceLimits:
    return ServiceLimits(
        ServiceName(service.name),
        cold_requests=service.slow_start_floor,
        connections=service.connections,
        drain_deadline_s=service.drain_deadline_s,
        slots=service.slots,
    )
