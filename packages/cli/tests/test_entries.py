"""Guards against wrong reports of processes, waits that end too early and lost overrides.

Processes that lag, do not reply or are unknown must not be reported as current. A zone
change must be neither lost nor misreported if the store is unavailable, its answer
is lost or another change is accepted first. Flows must not end without confirmation,
and usage errors must keep their exit code.
"""

import json
from collections.abc import Sequence
from pathlib import Path
from typing import Any

import pytest
from cleo.testers.application_tester import ApplicationTester
from hypothesis import given, settings
from hypothesis import strategies as st

from persimmonreach.cli._dependencies import Dependencies
from persimmonreach.cli._merged_status import merge_call_results
from persimmonreach.cli._waiting import find_rollout_progress
from persimmonreach.cli.main import make_application
from persimmonreach.configuration import Head, encode_head, read_head
from persimmonreach.control import (
    AgentReport,
    AgentSummary,
    CallResult,
    EntrySummary,
    ExplainReply,
    ExplainRequest,
    StatusReply,
    StatusRequest,
    ZoneReply,
    ZoneRequest,
)
from persimmonreach.control.adapters import OperatorClient
from persimmonreach.core import Endpoint, ManualClock
from persimmonreach.standins.store_fake import FakeStore
from persimmonreach.standins.store_state import Faults
from persimmonreach.store import ABSENT, KeyValue

STORE_OPTIONS = '--store 127.0.0.1:1 --operator kari --timeout 2'
CONTROL_OPTIONS = '--control 127.0.0.1:11 --control 127.0.0.1:12'
ENTRY_SUMMARIES = (EntrySummary('e1', 'a'), EntrySummary('e2', 'b'))


def _make_agent_summary(
    agent: str, zone: str, report: AgentReport | None, **fields: Any
) -> Any:
    return AgentSummary('x', agent, zone, 'active', True, 1, report)._replace(**fields)


def _make_status_reply(
    instance: str, version: int, *members: AgentSummary
) -> StatusReply:
    return StatusReply(instance, version, 0.5, (), members, ENTRY_SUMMARIES, True)


class _FakeOperatorClient(OperatorClient):
    """Fake client of two entry instances, e1 at port 11 and e2 at port 12.

    Entry instances at ``override_ignoring_ports`` accept overrides without applying
    them.
    """

    def __init__(self) -> None:
        self.status_replies = {
            11: _make_status_reply('e1', 1),
            12: _make_status_reply('e2', 1),
        }
        self.unreachable_ports: set[int] = set()
        self.override_ignoring_ports: set[int] = set()
        self.zone_requests: list[ZoneRequest] = []
        self.before_status_call: Any = None

    def call_all(
        self, endpoints: Sequence[Endpoint], request: Any
    ) -> tuple[CallResult, ...]:
        if isinstance(request, StatusRequest) and self.before_status_call:
            self.before_status_call()
        return tuple(self._call(endpoint, request) for endpoint in endpoints)

    def set_version(self, version: int) -> None:
        for port, reply in self.status_replies.items():
            self.status_replies[port] = reply._replace(configuration_version=version)

    def set_members(self, *members: AgentSummary) -> None:
        for port, reply in self.status_replies.items():
            self.status_replies[port] = reply._replace(members=members)

    def _call(self, endpoint: Endpoint, request: Any) -> CallResult:
        if endpoint.port in self.unreachable_ports:
            return CallResult(endpoint, problem='no reply within 5 s')
        if isinstance(request, ExplainRequest):
            reply = ExplainReply('x', 'x-1', 'a', 'known here')
            return CallResult(endpoint, reply)
        if isinstance(request, ZoneRequest):
            return CallResult(endpoint, self._set_zone(endpoint.port, request))
        return CallResult(endpoint, self.status_replies[endpoint.port])

    def _set_zone(self, port: int, request: ZoneRequest) -> ZoneReply:
        if request.zone not in 'ab':
            return ZoneReply(False, 'no availability zone')
        self.zone_requests.append(request)
        if port not in self.override_ignoring_ports:
            out = (request.zone,) if request.out else ()
            self.status_replies[port] = self.status_replies[port]._replace(zones_out=out)
        return ZoneReply(True, 'taken')


class _CliRunner:
    def __init__(self, directory: Path) -> None:
        self.clock = ManualClock()
        self.store = FakeStore(self.clock)
        self.operator_client = _FakeOperatorClient()
        dependencies = Dependencies(
            lambda endpoint: self.store,
            self.operator_client,
            self.clock,
            self.clock.advance,
        )
        self.tester = ApplicationTester(make_application(dependencies))
        self.directory = directory
        address = {'host': '10.9.0.1', 'port': 1}
        declaration = {'name': 'x', 'address': address, 'slots': 1}
        (directory / 'x.service.json').write_text(json.dumps(declaration))
        (directory / 'zones.json').write_text('{"availability_zones": ["a", "b"]}')

    def run(self, command: str, answer: str = '') -> int:
        return self.tester.execute(command, inputs=answer)

    def run_json(self, command: str) -> tuple[int, dict[str, Any]]:
        code = self.run(f'{command} --output json')
        return code, json.loads(self.tester.io.fetch_output())

    @property
    def output(self) -> str:
        return self.tester.io.fetch_output()

    @property
    def error_output(self) -> str:
        return self.tester.io.fetch_error()

    def publish(self) -> tuple[int, dict[str, Any]]:
        return self.run_json(
            f'publish {self.directory} --yes {STORE_OPTIONS} {CONTROL_OPTIONS}'
        )

    def start_store_outage(self) -> None:
        self.store.set_faults(Faults(outage=True))


@pytest.fixture
def cli(tmp_path: Path) -> _CliRunner:
    return _CliRunner(tmp_path)


@pytest.fixture
def published(cli: _CliRunner) -> _CliRunner:
    """Return a runner whose declarations are published as version 1."""
    cli.publish()
    return cli


def _make_report(version: int, flows: int = 0) -> AgentReport:
    return AgentReport(version, 0.2, flows, 100, 1)


def test_publish_waits_until_all_nodes_have_the_version(cli: _CliRunner) -> None:
    cli.operator_client.set_version(0)

    def update_versions() -> None:
        cli.operator_client.set_version(int(cli.clock.now() >= 1))

    cli.operator_client.before_status_call = update_versions
    code, result = cli.publish()
    assert code == 0
    assert result['waiting']['result'] == 'in_force'
    assert result['waiting']['seconds'] == 1


def test_lagging_nodes_are_listed_and_have_their_own_exit_code(cli: _CliRunner) -> None:
    cli.operator_client.status_replies[12] = _make_status_reply('e2', 0)
    cli.operator_client.set_members(_make_agent_summary('x-1', 'a', _make_report(0)))
    code, result = cli.publish()
    assert code == 6
    assert result['result'] == 'accepted'
    assert result['waiting']['lagging'] == [
        'entry instance e2: version 0',
        'agent x-1: knew of version 0 0.2 s ago',
    ]


def test_entry_instance_without_answer_is_not_reported_as_current(
    cli: _CliRunner,
) -> None:
    cli.operator_client.unreachable_ports = {12}
    code, result = cli.publish()
    assert code == 6
    assert '127.0.0.1:12' in result['waiting']['lagging'][0]


def test_nodes_with_unknown_version_are_not_reported_as_current(cli: _CliRunner) -> None:
    cli.operator_client.set_members(_make_agent_summary('x-1', 'a', None))
    command = f'publish {cli.directory} --yes {STORE_OPTIONS} --control 127.0.0.1:11'
    code, result = cli.run_json(command)
    assert code == 6
    assert result['waiting']['result'] == 'not_confirmed'
    assert [line.split(':')[0] for line in result['waiting']['unknown']] == [
        'entry instance e2',
        'agent x-1',
    ]
    # Processes of unknown version must not be awaited until the timeout.
    assert cli.clock.now() == 0


def test_missing_control_address_skips_the_wait_with_a_message(cli: _CliRunner) -> None:
    assert cli.run(f'publish {cli.directory} --yes {STORE_OPTIONS}') == 0
    assert 'Not waited' in cli.output


AGENT_SUMMARIES = st.builds(
    AgentSummary,
    st.just('x'),
    st.sampled_from(['x-1', 'x-2', 'x-3']),
    st.sampled_from('ab'),
    st.sampled_from(['joining', 'active', 'draining', 'left']),
    st.booleans(),
    st.integers(1, 3),
    st.none()
    | st.builds(
        AgentReport,
        st.integers(0, 5),
        st.floats(0, 9),
        st.just(1),
        st.just(2),
        st.integers(1, 3),
    ),
)


@settings(derandomize=True, max_examples=200, deadline=None)
@given(st.lists(st.tuples(st.integers(0, 5), st.lists(AGENT_SUMMARIES)), max_size=4))
def test_in_force_means_that_no_node_lags(replies: Any) -> None:
    call_results = [
        CallResult(Endpoint('h', port), _make_status_reply(f'e{port}', version, *members))
        for port, (version, members) in enumerate(replies, 1)
    ]
    merged = merge_call_results(call_results)
    # The order of the replies must not matter.
    assert merged == merge_call_results(list(reversed(call_results)))._replace(
        replies=merged.replies
    )
    if find_rollout_progress(merged, 3).result == 'in_force':
        assert all(version >= 3 for version, _ in replies)
        for summary in merged.present_members:
            assert summary.report is not None
            assert summary.report.config_version >= 3
            assert summary.report.incarnation == summary.incarnation


def test_status_merges_the_newest_report_and_the_flows_left_of_a_drain(
    cli: _CliRunner,
) -> None:
    draining = _make_agent_summary('x-1', 'a', None, state='draining')
    cli.operator_client.status_replies[11] = _make_status_reply('e1', 3, draining)
    cli.operator_client.status_replies[12] = _make_status_reply(
        'e2', 4, _make_agent_summary('x-1', 'a', _make_report(4, 9))
    )
    assert cli.run(f'status {CONTROL_OPTIONS}') == 0
    text = cli.output
    assert 'x x-1 a: draining, 9 flows left, version 4, heard 0.2 s ago' in text
    assert 'e1 a: version 3, confirmed 0.5 s ago, ready' in text
    cli.operator_client.unreachable_ports = {11}
    code, result = cli.run_json(f'status {CONTROL_OPTIONS}')
    assert code == 0
    assert result['unanswered'][0]['problem'] == 'no reply within 5 s'
    assert result['not_heard'] == ['e1']
    cli.operator_client.unreachable_ports = {11, 12}
    assert cli.run(f'status {CONTROL_OPTIONS}') == 7
    assert 'No entry instance answers' in cli.error_output


def test_flow_explain_returns_the_agent_and_validates_addresses(cli: _CliRunner) -> None:
    code, result = cli.run_json(f'flow explain 10.1.1.1:5 10.9.0.1:1 {CONTROL_OPTIONS}')
    assert code == 0
    assert [route['agent'] for route in result['routes']] == ['x-1']
    for invalid_address in (
        '10.1.1.1',
        '::1:5',
        'host:5',
        '10.1.1.1:0',
        '10.1.1.1:65536',
    ):
        assert (
            cli.run(f'flow explain {invalid_address} 10.9.0.1:1 {CONTROL_OPTIONS}') == 2
        )
        assert 'CALLER' in cli.error_output


@pytest.mark.parametrize(
    'command',
    [
        'status',
        'status --control nowhere',
        'status --output',
        'status --unknown',
        'flow explain',
        'frobnicate',
        'availability-zone out a b --store 127.0.0.1:1',
        'availability-zone out a --store 127.0.0.1:1 --timeout soon',
        'availability-zone out a --store 127.0.0.1:1 --timeout nan',
    ],
)
def test_invalid_arguments_end_with_code_2_on_the_error_stream(
    cli: _CliRunner, command: str, monkeypatch: pytest.MonkeyPatch
) -> None:
    monkeypatch.delenv('PERSIMMONREACH_CONTROL', raising=False)
    assert cli.run(command) == 2
    assert cli.error_output.strip()
    assert not cli.output
    assert cli.store.write_count == 0


def test_control_addresses_come_from_the_environment(
    cli: _CliRunner, monkeypatch: pytest.MonkeyPatch
) -> None:
    monkeypatch.setenv('PERSIMMONREACH_CONTROL', '127.0.0.1:11, 127.0.0.1:12')
    assert len(cli.run_json('status')[1]['entries']) == 2


def test_flows_are_not_ended_without_confirmation(published: _CliRunner) -> None:
    published.operator_client.set_members(
        _make_agent_summary('x-1', 'a', _make_report(9, 30)),
        _make_agent_summary('x-2', 'b', _make_report(9, 40)),
    )
    published.operator_client.set_version(9)
    command = f'availability-zone out a {STORE_OPTIONS} {CONTROL_OPTIONS}'
    assert published.run(command, 'no\n') == 3
    assert (
        'flows that end: 30; backend servers that leave service: 1, that remain: 1'
        in published.output
    )
    assert published.run(f'{command} --output json') == 2
    assert not read_head(published.store).head.zones[0].out
    assert published.tester.execute(command, interactive=False) == 2
    assert 'no terminal' in published.error_output
    code, result = published.run_json(f'{command} --yes')
    assert code == 0
    assert result['effects'][0]['room'] == 60
    assert result['effects'][0]['flows_ending'] == 30
    assert read_head(published.store).head.zones[0].out


@pytest.mark.parametrize('state', ['out', 'in'])
def test_zone_changes_without_the_store_become_overrides(
    published: _CliRunner, state: str
) -> None:
    published.start_store_outage()
    code, result = published.run_json(
        f'availability-zone {state} a {STORE_OPTIONS} {CONTROL_OPTIONS}'
    )
    assert code == 0
    assert result['result'] == 'overridden'
    assert result['in_force'] == ['e1', 'e2']
    assert 'not yet in the store' in result['note']
    first, second = published.operator_client.zone_requests
    assert first == second
    assert first.out is (state == 'out')
    # The sequence is the wall-clock time in milliseconds.
    assert first.sequence > 1_600_000_000_000


def test_override_reports_entry_instances_that_did_not_confirm(
    published: _CliRunner,
) -> None:
    published.start_store_outage()
    published.operator_client.unreachable_ports = {12}
    code, result = published.run_json(
        f'availability-zone out a {STORE_OPTIONS} {CONTROL_OPTIONS}'
    )
    assert (code, result['in_force']) == (0, ['e1'])
    assert result['not_confirmed'] == ['127.0.0.1:12: no reply within 5 s']
    published.operator_client.unreachable_ports = set()
    published.operator_client.override_ignoring_ports = {11, 12}
    published.operator_client.status_replies = {
        11: _make_status_reply('e1', 1),
        12: _make_status_reply('e2', 1),
    }
    code, result = published.run_json(
        f'availability-zone out a {STORE_OPTIONS} {CONTROL_OPTIONS}'
    )
    assert (code, result['in_force']) == (6, [])


def test_override_without_any_confirmation_is_an_error(published: _CliRunner) -> None:
    published.start_store_outage()
    published.operator_client.unreachable_ports = {11, 12}
    assert (
        published.run(f'availability-zone out a {STORE_OPTIONS} {CONTROL_OPTIONS}') == 5
    )
    assert 'No entry instance has confirmed' in published.error_output
    assert published.run(f'availability-zone out a {STORE_OPTIONS}') == 5
    assert 'Nothing has changed' in published.error_output
    published.operator_client.unreachable_ports = set()
    assert (
        published.run(f'availability-zone out q {STORE_OPTIONS} {CONTROL_OPTIONS}') == 2
    )


def test_lost_answer_is_resolved_without_an_override(published: _CliRunner) -> None:
    # The second write of a zone change is that of the head, after the audit record.
    published.store.set_faults(Faults(lose_writes=frozenset((2,))))
    published.operator_client.set_version(2)
    code, result = published.run_json(
        f'availability-zone out a {STORE_OPTIONS} {CONTROL_OPTIONS}'
    )
    assert (code, result['result']) == (0, 'accepted')
    assert not published.operator_client.zone_requests


def test_unsettled_write_is_followed_by_an_override_of_the_same_state(
    published: _CliRunner,
) -> None:
    # The outage starts after the second write, that of the head.
    def start_outage(operation: str) -> None:
        if published.store.write_count >= 2:
            published.start_store_outage()

    published.store.set_faults(Faults(lose_writes=frozenset((2,))))
    published.store.set_call_hook(start_outage)
    code, result = published.run_json(
        f'availability-zone out a {STORE_OPTIONS} {CONTROL_OPTIONS}'
    )
    assert (code, result['result']) == (0, 'overridden')
    assert result['unsettled']['to_version'] == 2
    assert published.clock.now() >= 2
    assert [request.out for request in published.operator_client.zone_requests] == [
        True,
        True,
    ]


def test_unsettled_write_without_entry_instances_in_reach_stays_unsettled(
    published: _CliRunner,
) -> None:
    """The change was in the store, but the exit code said that nothing had changed."""

    def start_outage(operation: str) -> None:
        if published.store.write_count >= 2:
            published.start_store_outage()

    published.operator_client.unreachable_ports = {11, 12}
    published.store.set_faults(Faults(lose_writes=frozenset((2,))))
    published.store.set_call_hook(start_outage)
    code, result = published.run_json(
        f'availability-zone out a {STORE_OPTIONS} {CONTROL_OPTIONS}'
    )
    assert (code, result['result']) == (4, 'unsettled')
    assert result['to_version'] == 2


@pytest.mark.parametrize('state', ['stopping', 'a-state-of-a-later-version'])
def test_status_accepts_every_state_of_an_agent(cli: _CliRunner, state: str) -> None:
    """The commands failed while an agent stopped and its backend server went on."""
    member = _make_agent_summary('x-1', 'a', _make_report(4, 9), state=state)
    cli.operator_client.set_members(member)
    assert cli.run(f'status {CONTROL_OPTIONS}') == 0
    assert state in cli.output


def test_concurrent_change_is_reported_without_an_override(
    published: _CliRunner,
) -> None:
    def publish_concurrently(operation: str) -> None:
        if operation == 'put' and published.store.write_count == 1:
            published.store.set_call_hook(None)
            revision = published.store.state.get('head', 0).revision
            concurrent_head = encode_head(Head(2, ('rival',)))
            published.store.state.put(
                KeyValue('head', concurrent_head, revision or ABSENT), 0, 0
            )

    # Resets the number of writes.
    published.store.set_faults(Faults())
    published.store.set_call_hook(publish_concurrently)
    assert (
        published.run(f'availability-zone out a {STORE_OPTIONS} {CONTROL_OPTIONS}') == 3
    )
    assert not published.operator_client.zone_requests
