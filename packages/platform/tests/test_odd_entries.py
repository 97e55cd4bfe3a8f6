"""Guards against an odd entry of another writer that ends a process or a watch.

Other operators reported entries that were nested very deeply, held too large a number
or a port out of range. The processes that read the list ended again and again, or no
longer followed it.
"""

import json
from collections.abc import Callable
from contextlib import ExitStack, suppress
from random import Random
from typing import Any

import gevent
import pytest
from hypothesis import example, given, settings
from hypothesis import strategies as st

from persimmonreach.configuration.codecs import (
    decode_head,
    decode_record,
    decode_service,
)
from persimmonreach.core import Count, Endpoint, MonotonicClock
from persimmonreach.discovery import (
    AGENTS_PREFIX,
    ENTRIES_PREFIX,
    PROCESSES_PREFIX,
    AgentsDiscovered,
    EntriesDiscovered,
    RegisteredAgent,
    RegisteredEntry,
    Registration,
    decode_agent,
    decode_entry,
    encode_agent,
    encode_entry,
)
from persimmonreach.discovery.tasks import (
    AGENT_REGISTRATIONS,
    ENTRY_REGISTRATIONS,
    RegistrationQuery,
    RegistrationTask,
)
from persimmonreach.forwarding import BackendStatusReported
from persimmonreach.platform._bodies import BodyError, PlatformRules, decode_report
from persimmonreach.platform._endpoints import ReportEndpoint
from persimmonreach.platform.packets import PlatformPackets
from persimmonreach.rules import RulesChanged, RulesInForce, TrafficRules
from persimmonreach.rules.tasks import RulesWatchTask
from persimmonreach.runtime.http_client import HttpClient
from persimmonreach.standins.store_fake import FakeStore
from persimmonreach.store import (
    ANY_REVISION,
    Backoff,
    KeyValue,
    StoreContentError,
)

TIMEOUT_S = 10
NESTING = 200_000
AGENT = RegisteredAgent('a1', 'svc', 'z', Endpoint('10.0.0.1', 7000))
ENTRY = RegisteredEntry('e1', 'z', Endpoint('10.0.0.2', 7000))
REPORT: dict[str, Any] = {
    'service': 'svc',
    'address': '10.128.0.9:8080',
    'zone': 'z',
    'version': 'v1',
    'slots': 1,
    'state': 'ready',
    'coldRemainingMs': 0,
    'sequence': 4,
}
HEAD = {'version': 1, 'publishes': [], 'services': [], 'zones': [], 'next_service': 1}
ODD_CONTENTS = (
    b'',
    b'\xff\xfe',
    b'null',
    b'[' * NESTING,
    b'[' * NESTING + b']' * NESTING,
    b'{"service":' * NESTING,
    b'["svc","z","10.0.0.1",99999]',
    b'["svc","z","10.0.0.1",0]',
    b'["svc","z","10.0.0.1",1e400]',
    b'["svc","z","10.0.0.1",' + b'9' * 400 + b']',
    b'["svc","z","agent.internal",7000]',
    b'["svc","z","10.0.0.999",7000]',
    b'["","z","10.0.0.1",7000]',
    json.dumps(['\ud800', 'z', '10.0.0.1', 7000]).encode(),
    b'["z","10.0.0.1",65536]',
    b'["z","entry.internal",7000]',
    b'{"version":1e400}',
    b'{"version":' + b'9' * 400 + b'}',
)
json_values = st.recursive(
    st.none()
    | st.booleans()
    | st.integers(-(10**30), 10**30)
    | st.floats(allow_nan=False)
    | st.text(max_size=5),
    lambda children: (
        st.lists(children, max_size=4) | st.dictionaries(st.text(max_size=4), children)
    ),
    max_leaves=10,
)
contents = (
    st.sampled_from(ODD_CONTENTS)
    | st.binary(max_size=40)
    | json_values.map(lambda value: json.dumps(value).encode())
    | st.dictionaries(st.sampled_from([*REPORT, *HEAD, 'born']), json_values).map(
        lambda changes: json.dumps({**REPORT, **HEAD, **changes}).encode()
    )
)


def decode_report_as_own(body: bytes) -> BackendStatusReported:
    return decode_report('i-1', body, 'svc')


def read_rules(content: bytes) -> TrafficRules | None:
    store = FakeStore(MonotonicClock())
    store.put('op/config', content, ANY_REVISION)
    rules = PlatformRules().read(store).rules
    for route in rules.routes if rules else ():
        PlatformPackets().pack_destination(route.destination)
    return rules


DECODERS: dict[str, Callable[[bytes], Any]] = {
    'report': decode_report_as_own,
    'rules': read_rules,
    'agent': lambda content: decode_agent(KeyValue(AGENTS_PREFIX + 'a2', content, 1)),
    'entry': lambda content: decode_entry(KeyValue(ENTRIES_PREFIX + 'e2', content, 1)),
    'head': decode_head,
    'service': decode_service,
    'record': decode_record,
}


@pytest.mark.parametrize('name', DECODERS)
@pytest.mark.parametrize('content', ODD_CONTENTS)
def test_odd_content_is_rejected(name: str, content: bytes) -> None:
    try:
        assert DECODERS[name](content) is None
    except (BodyError, StoreContentError) as error:
        assert str(error)


@pytest.mark.parametrize('name', DECODERS)
@settings(derandomize=True, max_examples=200)
@given(content=contents)
@example(content=json.dumps({**REPORT, 'coldRemainingMs': 10**400}).encode())
@example(content=json.dumps({**HEAD, 'zones': [['z', 1, -1]]}).encode())
def test_decoders_raise_only_declared_errors(name: str, content: bytes) -> None:
    with suppress(BodyError, StoreContentError):
        DECODERS[name](content)


@pytest.mark.parametrize('key', [AGENTS_PREFIX, ENTRIES_PREFIX])
def test_key_without_the_id_of_an_instance_is_rejected(key: str) -> None:
    """An empty id stands for "not published" in messages."""
    decode = decode_agent if key == AGENTS_PREFIX else decode_entry
    value = encode_agent(AGENT) if key == AGENTS_PREFIX else encode_entry(ENTRY)
    with pytest.raises(StoreContentError):
        decode(KeyValue(key, value, 1))


def wait_until(condition: Callable[[], bool]) -> None:
    with gevent.Timeout(TIMEOUT_S):
        while not condition():
            gevent.sleep(0.01)


def test_registrations_are_followed_beside_odd_ones() -> None:
    """Each odd entry costs its own row; the other instances are discovered."""
    store = FakeStore(MonotonicClock())
    for number, content in enumerate(ODD_CONTENTS):
        store.put(f'{AGENTS_PREFIX}odd-{number}', content, ANY_REVISION)
        store.put(f'{ENTRIES_PREFIX}odd-{number}', content, ANY_REVISION)
    store.put(AGENTS_PREFIX + 'a1', encode_agent(AGENT), ANY_REVISION)
    actions: list[Any] = []
    task = RegistrationTask(
        store,
        Registration(store, ENTRIES_PREFIX + 'e1', encode_entry(ENTRY)),
        RegistrationQuery(PROCESSES_PREFIX, (AGENT_REGISTRATIONS, ENTRY_REGISTRATIONS)),
        actions.append,
        Backoff(1, Random(1)),
    )
    with task:
        wait_until(lambda: EntriesDiscovered((ENTRY,)) in actions)
        later = AGENT._replace(agent='a3')
        store.put(AGENTS_PREFIX + 'a3', encode_agent(later), ANY_REVISION)
        task.post(object())
        wait_until(lambda: AgentsDiscovered((AGENT, later)) in actions)
    assert actions.count(Count('registrations_malformed')) >= len(ODD_CONTENTS)


def test_watch_goes_on_after_odd_rules() -> None:
    """The rules in force stay, and the next valid version is taken over."""
    store = FakeStore(MonotonicClock())
    # Watches of the fake return at once.
    store.set_call_hook(lambda _: gevent.sleep(0.005))
    versions: list[int] = []

    def record(action: Any) -> None:
        if isinstance(action, RulesChanged):
            versions.append(action.rules.version)

    valid = {'routes': [], 'services': []}
    store.put('op/config', json.dumps({**valid, 'version': 1}).encode(), ANY_REVISION)
    rules = RulesInForce()
    backoff = Backoff(1, Random(1))
    arguments = (store, PlatformRules(), rules, MonotonicClock(), record, backoff)
    with RulesWatchTask(*arguments):
        wait_until(lambda: versions == [1])
        for content in ODD_CONTENTS:
            store.put('op/config', content, ANY_REVISION)
        store.put('op/evacuate/z', b'[' * NESTING, ANY_REVISION)
        wait_until(lambda: bool(rules.rules.zones_out))
        assert rules.rules.version == 1
        store.put('op/config', json.dumps({**valid, 'version': 9}).encode(), ANY_REVISION)
        wait_until(lambda: rules.rules.version == 9)


def test_heartbeats_are_received_after_odd_ones() -> None:
    events: list[Any] = []
    counts: list[Any] = []

    def submit(event: Any) -> bool:
        events.append(event)
        return True

    endpoint = ReportEndpoint(Endpoint('127.0.0.1', 0), 'svc', submit, counts.append)
    endpoint.start()
    client = HttpClient(Endpoint('127.0.0.1', endpoint.port), TIMEOUT_S)
    with ExitStack() as stack:
        stack.callback(endpoint.stop)
        stack.callback(client.close)
        for changes in ({'slots': 10**400}, {'address': '10.0.0.1:99999'}, {'zone': []}):
            path = '/Instances.Heartbeat/odd'
            client.request('POST', path, {**REPORT, **changes})
        response = client.request('POST', '/Instances.Heartbeat/i-1', REPORT)
    assert response.status == 200
    assert [event.backend for event in events] == ['odd', 'i-1']
    assert counts.count(Count('reports_malformed')) == 2
