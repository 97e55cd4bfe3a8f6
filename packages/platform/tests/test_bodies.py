"""Tests of the decoding of bodies of the platform.

They guard against malformed bodies from other writers that change the rules or
the state of a backend server.
"""

import json
from typing import Any

import pytest

from persimmonreach.core import Endpoint, ManualClock
from persimmonreach.discovery import AgentState
from persimmonreach.platform._bodies import (
    BodyError,
    PlatformRules,
    decode_report,
)
from persimmonreach.standins.store_fake import FakeStore
from persimmonreach.store import ANY_REVISION

REPORT = {
    'service': 'huvo11a',
    'address': '10.128.0.9:8080',
    'zone': 'port-louis',
    'version': 'v1',
    'slots': 1,
    'state': 'ready',
    'coldRemainingMs': 1500,
    'sequence': 4,
    'born': 1790000000000,
}
CONFIGURATION = {
    'version': 7,
    'routes': [
        {
            'name': 'r-1',
            'hostname': '198.18.0.1',
            'prefix': '/8080/',
            'routeType': 'unsafe',
            'timeoutMs': 2000,
            'targetLatencyMs': 150,
            'priority': 1,
            'service': 'huvo11a',
            'maxAttempts': 2,
        },
        {
            'name': 'r-2',
            'hostname': '198.18.0.1',
            'prefix': '/8443/',
            'weightedServices': [
                {'service': 'huvo11a', 'weight': 90},
                {'service': 'wuno96b', 'weight': 10},
            ],
        },
    ],
    'services': [{'name': 'huvo11a', 'coldS': 2.0, 'coldPerS': 4.5}],
    'limits': {'idleTimeoutMs': 15000},
    'unknown': 'is ignored',
}
RULES_SOURCE = PlatformRules()


def test_a_report_is_decoded() -> None:
    report = decode_report('i-7', json.dumps(REPORT).encode(), 'huvo11a')
    assert report.state is AgentState.READY
    assert (report.backend, report.sequence, report.slots) == ('i-7', 4, 1)
    assert report.cold_remaining_s == 1.5
    assert report.started_at_ms == 1790000000000


@pytest.mark.parametrize('field', ['sequence', 'state', 'slots', 'coldRemainingMs'])
@pytest.mark.parametrize('invalid_value', [None, 'x', -1, True, [], {}, 10**400, 1e300])
def test_a_report_with_an_invalid_field_is_refused(
    field: str, invalid_value: Any
) -> None:
    body = json.dumps({**REPORT, field: invalid_value}).encode()
    with pytest.raises(BodyError):
        decode_report('i-7', body, 'huvo11a')


@pytest.mark.parametrize(
    'invalid_address',
    ['10.0.0.1:99999', '10.0.0.1:0', 'backend.internal:80', '10.0.0.1', 8080, None],
)
def test_a_report_with_an_invalid_address_is_refused(invalid_address: Any) -> None:
    body = json.dumps({**REPORT, 'address': invalid_address}).encode()
    with pytest.raises(BodyError):
        decode_report('i-7', body, 'huvo11a')


@pytest.mark.parametrize('field', ['sequence', 'state', 'slots', 'coldRemainingMs'])
def test_a_report_with_a_missing_field_is_refused(field: str) -> None:
    body = {name: value for name, value in REPORT.items() if name != field}
    with pytest.raises(BodyError):
        decode_report('i-7', json.dumps(body).encode(), 'huvo11a')


@pytest.mark.parametrize('body', [b'', b'[]', b'"x"', b'{', b'\xff\xfe', b'null'])
def test_a_body_that_is_not_a_report_is_refused(body: bytes) -> None:
    with pytest.raises(BodyError):
        decode_report('i-7', body, 'huvo11a')


def test_a_report_of_another_service_is_refused() -> None:
    """Addresses of backend servers that are gone are used again by other services."""
    with pytest.raises(BodyError):
        decode_report('i-7', json.dumps(REPORT).encode(), 'wuno96b')


@pytest.fixture
def store() -> FakeStore:
    return FakeStore(ManualClock())


def put_configuration(store: FakeStore, content: Any) -> None:
    store.put('op/config', json.dumps(content).encode(), ANY_REVISION)


def test_a_configuration_is_decoded(store: FakeStore) -> None:
    put_configuration(store, CONFIGURATION)
    store.put('op/evacuate/mvd-a', b'{}', ANY_REVISION)
    snapshot = RULES_SOURCE.read(store)
    rules = snapshot.rules
    assert rules.version == 7
    assert rules.routes[0].destination == Endpoint('198.18.0.1', 8080)
    assert [target.weight for target in rules.routes[1].targets] == [90, 10]
    assert rules.services[0].cold_flows_per_s == 4.5
    assert snapshot.zones_out == {'mvd-a'}


@pytest.mark.parametrize(
    'change',
    [
        {'version': '7'},
        {'routes': {}},
        {'routes': [{}]},
        {'services': None},
        {'services': [{'name': 'x', 'coldPerS': 'fast'}]},
        {'services': [{'name': 'x', 'coldPerS': float('inf')}]},
        {'version': 10**400},
        {'routes': [{**CONFIGURATION['routes'][0], 'prefix': '/99999/'}]},
        {'routes': [{**CONFIGURATION['routes'][0], 'prefix': '/0/'}]},
        {'routes': [{**CONFIGURATION['routes'][0], 'hostname': 'counter.internal'}]},
        {'routes': [{**CONFIGURATION['routes'][0], 'hostname': '198.18.0.256'}]},
    ],
)
def test_a_malformed_configuration_is_refused_as_a_whole(
    store: FakeStore,
    change: dict[str, Any],
) -> None:
    put_configuration(store, {**CONFIGURATION, **change})
    snapshot = RULES_SOURCE.read(store)
    assert snapshot.rules is None
    assert snapshot.problems


def test_a_delta_separates_rules_and_zones(store: FakeStore) -> None:
    put_configuration(store, CONFIGURATION)
    store.put('op/evacuate/a', b'{}', ANY_REVISION)
    revision = RULES_SOURCE.read(store).revision
    store.delete('op/evacuate/a')
    store.put('op/evacuate/b', b'', ANY_REVISION)
    delta = RULES_SOURCE.read_changes(
        store, store.watch(RULES_SOURCE.prefix, revision, 0)
    )
    assert delta.rules is None
    assert (delta.zones_taken_out, delta.zones_restored) == ({'b'}, {'a'})
