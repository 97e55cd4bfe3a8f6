"""The two deployments that the demo runs, with fewer flows than in production."""

from typing import Any, Final, NamedTuple, TypedDict

from persimmonreach.core import Endpoint

_SERVICE_PORT: Final = 443
_FLOWS_PER_SERVER: Final = 40
_CALLERS_PER_ZONE: Final = 2
_SINGLE_REQUESTS_PER_S: Final = 20
_LATENCY_OBJECTIVE_MS: Final = 400
# Callers wait this long for a response.
_REQUEST_TIMEOUT_MS: Final = 3000


class ClassDeclaration(TypedDict):
    """Object ``class`` of a service declaration."""

    priority: int
    latency_objective_ms: int
    timeout_ms: int


class ServicePlan(NamedTuple):
    """One service of a deployment and its callers.

    Attributes
    ----------
    servers
        Number of backend servers.
    flows
        Number of long flows; 0 for a service with a single request per flow.
    period_s
        Mean time between requests on a long flow, in seconds.
    singles_per_s
        Flows with a single request that are opened per second.
    push_period_s
        Seconds between pushed messages on a long flow; 0 for none.
    traffic_class
        Object ``class`` of the declaration; None if no class is declared.

    """

    name: str
    host: str
    servers: int
    slots: int
    flows: int = 0
    period_s: float = 4
    singles_per_s: float = 0
    push_period_s: float = 0
    traffic_class: ClassDeclaration | None = None

    @property
    def address(self) -> Endpoint:
        """Endpoint of the service."""
        return Endpoint(self.host, _SERVICE_PORT)

    def with_priority(self, priority: int) -> 'ServicePlan':
        """Return the service with a class of service of this priority."""
        declared = ClassDeclaration(
            priority=priority,
            latency_objective_ms=_LATENCY_OBJECTIVE_MS,
            timeout_ms=_REQUEST_TIMEOUT_MS,
        )
        return self._replace(traffic_class=declared)

    def declaration(self, connections: int) -> dict[str, Any]:
        """Return the content of the service's declaration."""
        declaration = {
            'name': self.name,
            'address': self.address._asdict(),
            'slots': self.slots,
            'slow_start': {'floor': 1},
            'connections': connections,
            'requests': {'largest_deadline_ms': 5000, 'retry_budget': 0.1},
        }
        if self.traffic_class is not None:
            declaration['class'] = self.traffic_class
        return declaration


class Deployment(NamedTuple):
    """Availability zones and services of one organisation.

    Attributes
    ----------
    key
        Key in ``build/demo.json``.
    caller_delay_ms
        One-way delay between callers and entry instances, in milliseconds.

    """

    key: str
    title: str
    zones: tuple[str, ...]
    caller_delay_ms: float
    long_service: ServicePlan
    single_service: ServicePlan

    @property
    def services(self) -> tuple[ServicePlan, ServicePlan]:
        """The service with long flows and the one with single requests."""
        return (self.long_service, self.single_service)

    @property
    def caller_hosts(self) -> tuple[str, ...]:
        """Addresses of the callers, two for each availability zone."""
        return tuple(
            f'10.1.{zone}.{caller}'
            for zone in range(1, len(self.zones) + 1)
            for caller in range(1, _CALLERS_PER_ZONE + 1)
        )

    @property
    def removed_zone(self) -> str:
        """Availability zone that is taken out of service and returned to it."""
        return self.zones[-1]


TENDEDEROS: Final = Deployment(
    'tendederos',
    'Tendederos del Plata',
    ('zone-a', 'zone-b', 'zone-c'),
    caller_delay_ms=3,
    long_service=ServicePlan(
        'counter',
        '10.9.0.1',
        servers=7,
        slots=3,
        flows=7 * _FLOWS_PER_SERVER,
        push_period_s=2,
    ),
    single_service=ServicePlan(
        'sheet', '10.9.0.2', servers=3, slots=3, singles_per_s=_SINGLE_REQUESTS_PER_S
    ),
)
KARI_LAKAZ: Final = Deployment(
    'kari_lakaz',
    'Kari Lakaz Routes',
    ('zone-a', 'zone-b', 'zone-c', 'zone-d'),
    caller_delay_ms=1,
    long_service=ServicePlan(
        'dispatch',
        '10.9.0.1',
        servers=7,
        slots=1,
        flows=7 * _FLOWS_PER_SERVER,
        push_period_s=2,
    ),
    single_service=ServicePlan(
        'sheets', '10.9.0.2', servers=4, slots=1, singles_per_s=_SINGLE_REQUESTS_PER_S
    ),
)
# A service has one address and therefore one class.
TENDEDEROS_WITH_CLASSES: Final = TENDEDEROS._replace(
    long_service=TENDEDEROS.long_service.with_priority(2),
    single_service=TENDEDEROS.single_service.with_priority(1),
)
