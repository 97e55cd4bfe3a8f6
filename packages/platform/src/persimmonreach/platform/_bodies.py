"""Decoding of JSON bodies of the platform.

Only this module, the class fields, the settings and the store client use the field
names of the platform. Bodies may come from other writers: a body with a missing field,
or with a field of the wrong type or out of range, is rejected as a whole. Only the class
fields of a route have defaults instead.
"""

from collections.abc import Iterable, Iterator
from types import MappingProxyType
from typing import Annotated, Final, Literal, NotRequired, TypedDict

from msgspec import Meta

from persimmonreach.core import Endpoint, ServiceName, Zone
from persimmonreach.core.codecs import (
    MAX_PORT,
    ContentError,
    Count,
    IpAddress,
    JsonDecoder,
    Name,
    Quantity,
)
from persimmonreach.discovery import AgentState
from persimmonreach.forwarding import BackendLeft, BackendStatusReported
from persimmonreach.platform._class_fields import (
    MS_PER_S,
    ClassFields,
    DecodedClass,
    decode_class,
    empty_class_fields,
)
from persimmonreach.rules import (
    Route,
    RulesDelta,
    RulesSnapshot,
    RulesSource,
    ServiceLimits,
    Target,
    TrafficRules,
)
from persimmonreach.store import Changes, KeyValue, Store

_RULES_PREFIX: Final = 'op/'
_CONFIGURATION_KEY: Final = 'op/config'
_ZONES_OUT_PREFIX: Final = 'op/evacuate/'
_AGENT_STATES: Final = MappingProxyType(
    {'ready': AgentState.READY, 'draining': AgentState.DRAINING},
)
# An address and a port, as in 10.128.0.9:8080.
_ADDRESS_PATTERN: Final = r'\A[0-9.]{7,15}:[0-9]{1,5}\Z'


# ``born`` is the start time of the backend server in milliseconds, by its own wall clock.
_ReportBody = TypedDict(
    '_ReportBody',
    {
        'service': Name,
        'address': Annotated[str, Meta(pattern=_ADDRESS_PATTERN)],
        'slots': Count,
        'state': Literal['ready', 'draining'],
        'coldRemainingMs': Count,
        'sequence': Count,
        'born': NotRequired[Count],
    },
)


class _LeaveBody(TypedDict):
    born: NotRequired[Count]


class _WeightedServiceBody(TypedDict):
    service: Name
    weight: Quantity


_RouteTargets = TypedDict(
    '_RouteTargets',
    {
        'service': NotRequired[Name],
        'weightedServices': NotRequired[list[_WeightedServiceBody] | None],
    },
)


class _RouteBody(ClassFields, _RouteTargets):
    """Route; ``hostname`` is an address and ``prefix`` a port such as ``/8080/``."""

    name: Name
    hostname: IpAddress
    prefix: Annotated[str, Meta(pattern=r'\A/?[0-9]{1,5}/?\Z')]


_ServiceBody = TypedDict(
    '_ServiceBody', {'name': Name, 'coldPerS': NotRequired[Quantity]}
)


class _ConfigurationBody(TypedDict):
    version: Count
    routes: list[_RouteBody]
    services: list[_ServiceBody]


_REPORT_DECODER: Final = JsonDecoder[_ReportBody](_ReportBody)
_LEAVE_DECODER: Final = JsonDecoder[_LeaveBody](_LeaveBody)
_CONFIGURATION_DECODER: Final = JsonDecoder[_ConfigurationBody](_ConfigurationBody)


class BodyError(ValueError):
    """A body is malformed or names another service."""


class PlatformRules(RulesSource):
    """Reader of the rules in the operator's keys in the platform's store."""

    @property
    def prefix(self) -> str:
        """Common prefix of the keys to watch."""
        return _RULES_PREFIX

    def read(self, store: Store) -> RulesSnapshot:
        """Read all rules from the store.

        Raises
        ------
        StoreError
            If a call to the store fails.

        """
        listing = store.list_prefix(_RULES_PREFIX)
        rules, problems = _find_rules(listing.rows)
        zones_out = frozenset(_select_zones(row.key for row in listing.rows))
        return RulesSnapshot(listing.revision, rules, zones_out, problems)

    def read_changes(self, store: Store, changes: Changes) -> RulesDelta:
        """Convert the result of a watch into an event."""
        rules, problems = _find_rules(changes.written)
        return RulesDelta(
            changes.revision,
            rules,
            frozenset(_select_zones(row.key for row in changes.written)),
            frozenset(_select_zones(changes.deleted_keys)),
            problems,
        )


def decode_report(
    backend: str, body: bytes, expected_service: str
) -> BackendStatusReported:
    """Decode the report of a backend server.

    Parameters
    ----------
    backend
        Id of the backend server.
    body
        JSON body of its heartbeat.
    expected_service
        Service of the agent that received the report.

    Raises
    ------
    BodyError
        If a field is missing, has the wrong type or is out of range, or if the report
        names another service.

    """
    try:
        fields = _REPORT_DECODER.decode(body)
        _parse_port(fields['address'].rpartition(':')[-1])
    except ContentError as error:
        raise BodyError(f'malformed report of {backend}: {error}') from error
    service = fields['service']
    if service != expected_service:
        raise BodyError(
            f'report names service {service}; expected the service of the agent'
        )
    return BackendStatusReported(
        backend=backend,
        started_at_ms=fields.get('born', 0),
        sequence=fields['sequence'],
        state=_AGENT_STATES[fields['state']],
        slots=fields['slots'],
        cold_remaining_s=fields['coldRemainingMs'] / MS_PER_S,
    )


def decode_leave(backend: str, body: bytes) -> BackendLeft:
    """Decode the call with which a backend server leaves.

    Parameters
    ----------
    backend
        Id of the backend server.
    body
        JSON body of the call; may be empty.

    Raises
    ------
    BodyError
        If the body is not empty and not JSON, or if its start time has the wrong type.

    """
    if not body:
        return BackendLeft(backend)
    try:
        fields = _LEAVE_DECODER.decode(body)
    except ContentError as error:
        raise BodyError(f'malformed call to leave of {backend}: {error}') from error
    return BackendLeft(backend, fields.get('born', 0))


def _find_rules(
    rows: Iterable[KeyValue],
) -> tuple[TrafficRules | None, tuple[str, ...]]:
    """Return the rules among ``rows``, and their problems."""
    for row in rows:
        if row.key == _CONFIGURATION_KEY:
            try:
                rules, problems = _decode_rules(row.value)
            except ContentError as error:
                return None, (f'{row.key}: {error}',)
            return rules, tuple(f'{row.key}: {problem}' for problem in problems)
    return None, ()


def _select_zones(keys: Iterable[str]) -> Iterator[Zone]:
    """Yield the zone named in each key under ``op/evacuate/``; skip other keys."""
    for key in keys:
        if key.startswith(_ZONES_OUT_PREFIX):
            yield Zone(key.removeprefix(_ZONES_OUT_PREFIX))


def _decode_rules(content: bytes) -> tuple[TrafficRules, tuple[str, ...]]:
    """Return the rules, and one problem for each malformed class field."""
    body = _decode_configuration(content)
    classes = [decode_class(route) for route in body['routes']]
    problems = tuple(
        'route {0}: {1}'.format(route['name'], problem)
        for route, decoded in zip(body['routes'], classes, strict=True)
        for problem in decoded.problems
    )
    rules = TrafficRules(
        version=body['version'],
        routes=tuple(map(_make_route, body['routes'], classes)),
        services=tuple(
            ServiceLimits(
                ServiceName(service['name']),
                cold_flows_per_s=service.get('coldPerS', 0),
            )
            for service in body['services']
        ),
    )
    return rules, problems


def _decode_configuration(content: bytes) -> _ConfigurationBody:
    try:
        return _CONFIGURATION_DECODER.decode(content)
    except ContentError:
        return _CONFIGURATION_DECODER.decode(empty_class_fields(content))


def _make_route(body: _RouteBody, decoded: DecodedClass) -> Route:
    port = _parse_port(body['prefix'].strip('/'))
    destination = Endpoint(body['hostname'], port)
    return Route(body['name'], destination, _make_targets(body), decoded.traffic_class)


def _make_targets(body: _RouteBody) -> tuple[Target, ...]:
    weighted_services = body.get('weightedServices')
    if weighted_services:
        return tuple(
            Target(ServiceName(weighted['service']), weighted['weight'])
            for weighted in weighted_services
        )
    service = body.get('service')
    if service is None:
        raise ContentError('route {0} names no service'.format(body['name']))
    return (Target(ServiceName(service)),)


def _parse_port(digits: str) -> int:
    port = int(digits)
    if not 1 <= port <= MAX_PORT:
        raise ContentError(f'port {port} is not between 1 and {MAX_PORT}')
    return port
