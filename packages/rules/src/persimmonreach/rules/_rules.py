"""Rules for traffic in force at a node, and how they follow the store."""

from abc import ABC, abstractmethod
from collections.abc import Iterable
from typing import NamedTuple

from persimmonreach.core import (
    Action,
    Count,
    Endpoint,
    Event,
    ServiceName,
    StateChange,
    StateMachine,
    Zone,
)
from persimmonreach.store import Changes, Listing, StoreContentError, StoreValue


class Target(NamedTuple):
    """Service to which a share of a route's new flows goes."""

    service: ServiceName
    weight: float = 1


class Route(NamedTuple):
    """Where new flows to one address go.

    Attributes
    ----------
    name
        Name of the route.
    destination
        Address and port that callers use.
    targets
        Services and their weights.

    """

    name: str
    destination: Endpoint
    targets: tuple[Target, ...]


class ServiceRules(NamedTuple):
    """Limits of one service.

    Attributes
    ----------
    service
        Name of the service.
    cold_per_s
        New flows a second that a cold backend server bears; 0 if no limit is
        declared.

    """

    service: ServiceName
    cold_per_s: float = 0


class TrafficRules(NamedTuple):
    """What entry instances route by.

    Attributes
    ----------
    version
        Version of the routes; only rises. 0 means that none were read yet.
    routes
        All routes.
    services
        All services.
    zones_out
        Availability zones out of service.
    idle_s
        Seconds without a packet after which a flow may be forgotten.

    """

    version: int = 0
    routes: tuple[Route, ...] = ()
    services: tuple[ServiceRules, ...] = ()
    zones_out: frozenset[Zone] = frozenset()
    idle_s: float = 60


class RulesListed(NamedTuple):
    """Event: all keys were read from the store."""

    listing: Listing


class RulesWatched(NamedTuple):
    """Event: a watch of the store has returned."""

    changes: Changes


class RulesChanged(NamedTuple):
    """Action: other rules are in force.

    Attributes
    ----------
    rules
        Rules in force.
    as_of
        Revision of the store up to which they are current.

    """

    rules: TrafficRules
    as_of: int


class RulesOutdated(NamedTuple):
    """Message: another process has read other rules, and later."""


class WatchAssigned(NamedTuple):
    """Message: how closely this process has to watch the store.

    Attributes
    ----------
    is_close
        Whether the others rely on this process.

    """

    is_close: bool


class RulesDecoder(ABC):
    """Reads rules from the keys of one store layout."""

    @abstractmethod
    def decode_routes(self, row: StoreValue) -> TrafficRules | None:
        """Return the routes in a key; None if the key holds none.

        Raises
        ------
        StoreContentError
            If the value is malformed.

        """

    @abstractmethod
    def zone_of(self, key: str) -> Zone | None:
        """Return the zone that a key takes out of service; None if none."""


class RulesInForce(StateMachine):
    """Rules of the newest version seen, and the zones out of service.

    Events: ``RulesListed``, ``RulesWatched``. Actions: ``RulesChanged``,
    ``StateChange``, ``Count``.

    Parameters
    ----------
    decoder
        Layout of the store.

    """

    def __init__(self, decoder: RulesDecoder) -> None:
        self._decoder = decoder
        self._rules = TrafficRules()
        self._revision = 0
        self._confirmed_at: float | None = None

    @property
    def rules(self) -> TrafficRules:
        """Rules in force."""
        return self._rules

    @property
    def revision(self) -> int:
        """Revision of the store up to which the rules are current."""
        return self._revision

    def age(self, now: float) -> float | None:
        """Return the seconds since the store confirmed the rules."""
        return None if self._confirmed_at is None else now - self._confirmed_at

    def handle(self, event: Event, now: float) -> tuple[Action, ...]:
        """Return the actions that ``event`` causes."""
        match event:
            case RulesListed(listing):
                return self._on_listed(listing, now)
            case RulesWatched(changes):
                return self._on_watched(changes, now)
            case _:
                return (Count('rules_unknown_events'),)

    def _on_listed(self, listing: Listing, now: float) -> tuple[Action, ...]:
        if listing.revision < self._revision:
            # The store answered with an older state than it has shown before.
            return (Count('rules_stale_answers'),)
        zones = {self._decoder.zone_of(row.key) for row in listing.rows}
        return self._apply(
            listing.revision,
            listing.rows,
            frozenset(zone for zone in zones if zone is not None),
            now,
        )

    def _on_watched(self, changes: Changes, now: float) -> tuple[Action, ...]:
        if changes.revision < self._revision:
            return (Count('rules_stale_answers'),)
        zones = set(self._rules.zones_out)
        for row in changes.written:
            zones.add(self._decoder.zone_of(row.key))
        for key in changes.removed:
            zones.discard(self._decoder.zone_of(key))
        zones.discard(None)
        return self._apply(changes.revision, changes.written, frozenset(zones), now)

    def _apply(
        self,
        revision: int,
        rows: Iterable[StoreValue],
        zones_out: frozenset[Zone],
        now: float,
    ) -> tuple[Action, ...]:
        self._revision = revision
        self._confirmed_at = now
        before = self._rules
        self._rules = before._replace(zones_out=zones_out)
        refused = [action for row in rows for action in self._take(row)]
        if self._rules == before:
            return tuple(refused)
        out = ', '.join(sorted(zones_out))
        version = self._rules.version
        detail = f'version {version}, out: {out}'
        return (
            *refused,
            StateChange('rules_in_force', str(revision), detail),
            RulesChanged(self._rules, revision),
        )

    def _take(self, row: StoreValue) -> tuple[Action, ...]:
        try:
            rules = self._decoder.decode_routes(row)
        except StoreContentError as error:
            return (
                Count('rules_malformed'),
                StateChange('rules_malformed', row.key, str(error)),
            )
        if rules is None:
            return ()
        if rules.version < self._rules.version:
            return (Count('rules_older_versions_refused'),)
        self._rules = rules._replace(zones_out=self._rules.zones_out)
        return ()
