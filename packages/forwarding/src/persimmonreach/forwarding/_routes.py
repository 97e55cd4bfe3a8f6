"""Routing table of an entry instance."""

from collections.abc import Iterable, Mapping
from typing import Final

import xxhash

from persimmonreach.core import FlowKey, ServiceName
from persimmonreach.packets import PacketFormat
from persimmonreach.rules import (
    LOWEST_PRIORITY,
    ClassOfService,
    Route,
    ServiceLimits,
    Target,
    TrafficClass,
    TrafficRules,
)

_HASH_BITS: Final = 64
_HASH_VALUE_COUNT: Final = 1 << _HASH_BITS
# Class of a route that declares none, of a service that declares classes.
_UNDECLARED_CLASS: Final = TrafficClass(LOWEST_PRIORITY, objective_s=1)


class RouteTable:
    """Maps destinations to the services that receive their new flows.

    Parameters
    ----------
    packet_format
        Codec of the packets of the front end.

    """

    def __init__(self, packet_format: PacketFormat) -> None:
        self._packet_format = packet_format
        self._rules = TrafficRules()
        self._routes_by_destination: dict[bytes, Route] = {}
        self._limits_by_service: dict[str, ServiceLimits] = {}
        self._classes_by_destination: dict[bytes, dict[ServiceName, ClassOfService]] = {}

    @property
    def rules(self) -> TrafficRules:
        """Rules that the table was built from."""
        return self._rules

    @property
    def is_loaded(self) -> bool:
        """Whether rules have been loaded."""
        return self._rules.version > 0

    def load(self, rules: TrafficRules) -> None:
        """Rebuild the table from ``rules``."""
        self._rules = rules
        self._routes_by_destination = {
            self._packet_format.pack_destination(route.destination): route
            for route in rules.routes
        }
        self._limits_by_service = {limits.service: limits for limits in rules.services}
        ranges = _find_priority_ranges(rules.routes)
        classes = {
            destination: _rank_class(route, ranges)
            for destination, route in self._routes_by_destination.items()
        }
        self._classes_by_destination = {
            destination: ranked for destination, ranked in classes.items() if ranked
        }

    def resolve(self, key: FlowKey) -> ServiceLimits | None:
        """Return the service for a new flow and its limits; None without a route."""
        route = self._routes_by_destination.get(
            self._packet_format.extract_destination(key)
        )
        if route is None:
            return None
        service = _select_target(route.targets, key).service
        return self._limits_by_service.get(service, ServiceLimits(service))

    def resolve_class(self, key: FlowKey) -> ClassOfService | None:
        """Return the class of a new flow; None if its service declares no class."""
        destination = self._packet_format.extract_destination(key)
        classes = self._classes_by_destination.get(destination)
        if classes is None:
            return None
        targets = self._routes_by_destination[destination].targets
        return classes.get(_select_target(targets, key).service)


def _find_priority_ranges(routes: Iterable[Route]) -> dict[ServiceName, tuple[int, int]]:
    """Return best and worst priority of each service that declares classes."""
    priorities: dict[ServiceName, list[int]] = {}
    declaring: set[ServiceName] = set()
    for route in routes:
        for target in route.targets:
            priority = _get_effective_class(route).priority
            priorities.setdefault(target.service, []).append(priority)
            if route.traffic_class.is_declared:
                declaring.add(target.service)
    return {
        service: (min(priorities[service]), max(priorities[service]))
        for service in declaring
    }


def _rank_class(
    route: Route, ranges: Mapping[ServiceName, tuple[int, int]]
) -> dict[ServiceName, ClassOfService]:
    """Return the class of a route in each of its services that declares classes."""
    traffic_class = _get_effective_class(route)
    classes: dict[ServiceName, ClassOfService] = {}
    for target in route.targets:
        if target.service in ranges:
            best, worst = ranges[target.service]
            is_urgent = best < worst and traffic_class.priority == best
            classes[target.service] = ClassOfService(traffic_class, is_urgent)
    return classes


def _get_effective_class(route: Route) -> TrafficClass:
    is_declared = route.traffic_class.is_declared
    return route.traffic_class if is_declared else _UNDECLARED_CLASS


def _select_target(targets: tuple[Target, ...], key: FlowKey) -> Target:
    """Select a target by weight.

    The choice depends on a hash of the key alone, so that all retransmissions
    of a SYN reach the same service.
    """
    if len(targets) == 1:
        return targets[0]
    total_weight = sum(target.weight for target in targets)
    offset = xxhash.xxh3_64_intdigest(key) / _HASH_VALUE_COUNT * total_weight
    for target in targets:
        offset -= target.weight
        if offset < 0:
            return target
    return targets[-1]
