"""Traffic rules, and the events, actions and messages about them."""

from typing import Final, NamedTuple

from persimmonreach.core import Endpoint, ServiceName, Zone

# Priority of a route that declares none: in the middle of the range from 0 to 7.
DEFAULT_PRIORITY: Final = 4
LOWEST_PRIORITY: Final = 7


class TrafficClass(NamedTuple):
    """Class of service of the requests of one route.

    Attributes
    ----------
    priority
        Priority from 0, the most urgent, to ``LOWEST_PRIORITY``.
    objective_s
        Latency objective in seconds, from the first attempt of the caller; 0 if no
        class is declared.
    timeout_s
        Time in seconds after which the caller gives up a request; 0 if none is declared.

    """

    priority: int = DEFAULT_PRIORITY
    objective_s: float = 0
    timeout_s: float = 0

    @property
    def is_declared(self) -> bool:
        """Whether the route declares a class of service."""
        return self.objective_s > 0

    def describe(self) -> str:
        """Return the class as text for operators."""
        if not self.is_declared:
            return 'none'
        text = f'priority {self.priority}, objective {self.objective_s} s'
        return f'{text}, timeout {self.timeout_s} s' if self.timeout_s else text


DEFAULT_CLASS: Final = TrafficClass()


class ClassOfService(NamedTuple):
    """Class of a new flow, and its rank among the classes of its service.

    Attributes
    ----------
    traffic_class
        Class of the route.
    is_urgent
        Whether no route of the service has a better priority and another one has a
        worse one.

    """

    traffic_class: TrafficClass
    is_urgent: bool = False


class Target(NamedTuple):
    """Service that receives a weighted share of the new flows of a route.

    Attributes
    ----------
    service
        Name of the service.
    weight
        Share of the new flows, relative to the other targets of the route.

    """

    service: ServiceName
    weight: float = 1


class Route(NamedTuple):
    """Mapping from a destination address to the services that take new flows.

    Attributes
    ----------
    name
        Name of the route.
    destination
        Address and port to which callers connect.
    targets
        Services that take new flows, with their weights.
    traffic_class
        Class of service of the requests.

    """

    name: str
    destination: Endpoint
    targets: tuple[Target, ...]
    traffic_class: TrafficClass = DEFAULT_CLASS


class ServiceLimits(NamedTuple):
    """Limits for each backend server of a service.

    Attributes
    ----------
    service
        Name of the service.
    cold_flows_per_s
        Maximum rate of new flows to a cold backend server, per second; 0 if no
        limit is declared.
    cold_requests
        Maximum number of concurrent requests to a cold backend server; 0 if no
        limit is declared.
    connections
        Maximum number of concurrent flows to a backend server; 0 if no limit is
        declared.
    drain_deadline_s
        Seconds from the start of draining until the remaining flows of a backend
        server are reset; 0 means never.
    slots
        Maximum number of concurrent requests to a backend server that does not report
        its slots; 0 if no number is declared.

    """

    service: ServiceName
    cold_flows_per_s: float = 0
    cold_requests: float = 0
    connections: int = 0
    drain_deadline_s: float = 0
    slots: int = 0


class ZoneState(NamedTuple):
    """State of one declared availability zone, and the change that set it.

    Changes of a zone are ordered by ``sequence`` and then by ``change_id``,
    whether they arrive through the store or as an override.

    Attributes
    ----------
    zone
        Name of the availability zone.
    out
        Whether the zone is out of service.
    sequence
        Wall-clock time of the change in milliseconds, increased if necessary to
        exceed all known sequences of the zone.
    change_id
        Unique id of the change; orders changes with equal sequences.

    """

    zone: Zone
    out: bool = False
    sequence: int = 0
    change_id: str = ''

    @property
    def ordering_key(self) -> tuple[int, str]:
        """Sort key; the later of two changes has the larger key."""
        return self.sequence, self.change_id


class TrafficRules(NamedTuple):
    """Configuration by which entry instances route traffic.

    Attributes
    ----------
    version
        Version of the configuration, which only increases; 0 if no rules have
        been read yet.
    routes
        All routes.
    services
        Limits of the services.
    zones_out
        Availability zones out of service.
    zones
        State of each declared zone; empty if the layout in the store does not
        order the changes of zones.

    """

    version: int = 0
    routes: tuple[Route, ...] = ()
    services: tuple[ServiceLimits, ...] = ()
    zones_out: frozenset[Zone] = frozenset()
    zones: tuple[ZoneState, ...] = ()


class RulesSnapshot(NamedTuple):
    """Event: all rules were read from the store.

    Attributes
    ----------
    revision
        Revision of the store that the event reflects.
    rules
        Rules with ``zones_out`` left empty; None if the store holds no valid
        rules.
    zones_out
        Availability zones out of service; None if the store does not tell.
    problems
        Error message for each invalid value in the store.

    """

    revision: int
    rules: TrafficRules | None
    zones_out: frozenset[Zone] | None
    problems: tuple[str, ...] = ()


class RulesDelta(NamedTuple):
    """Event: a watch of the store returned, with or without changes.

    Attributes
    ----------
    revision
        Revision of the store that the event reflects.
    rules
        Changed rules with ``zones_out`` left empty; None if they did not change
        or are invalid.
    zones_taken_out
        Availability zones taken out of service.
    zones_restored
        Availability zones restored to service.
    problems
        Error message for each invalid value in the store.

    """

    revision: int
    rules: TrafficRules | None = None
    zones_taken_out: frozenset[Zone] = frozenset()
    zones_restored: frozenset[Zone] = frozenset()
    problems: tuple[str, ...] = ()


class RulesChanged(NamedTuple):
    """Action: the rules in force have changed.

    Attributes
    ----------
    rules
        Rules now in force.
    revision
        Revision of the store that the rules reflect.

    """

    rules: TrafficRules
    revision: int


class RulesOutdated(NamedTuple):
    """Message: a peer has different rules from a later revision of the store.

    The receiver reads the store again, unless its own watch returns the change first.

    Attributes
    ----------
    revision
        Revision of the store that the peer's rules reflect.

    """

    revision: int


class WatchAssigned(NamedTuple):
    """Message: the role of this process in watching the store has changed.

    Attributes
    ----------
    is_watcher
        Whether peers rely on this process to detect changes, so that it has to
        use the short watch timeout.

    """

    is_watcher: bool
