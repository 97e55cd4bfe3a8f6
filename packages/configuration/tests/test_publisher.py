"""Tests of the publisher with a store that fails or is written concurrently.

They guard against changes that are lost, partly in force, reported with the wrong
outcome or overwritten by another operator.
"""

from contextlib import suppress
from random import Random

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from persimmonreach.configuration import (
    Accepted,
    AuditResult,
    Declarations,
    HeadRulesSource,
    OutcomeUnknown,
    Plan,
    Publisher,
    PublisherSettings,
    Rejected,
    ServiceConfig,
    TimeSource,
    encode_head,
    read_audit_trail,
    read_configuration,
    read_head,
)
from persimmonreach.configuration._audit import MAX_AUDIT_RECORDS
from persimmonreach.core import Endpoint, FindingsError, ManualClock, ServiceId, Zone
from persimmonreach.rules import RulesInForce
from persimmonreach.standins.store_fake import FakeStore
from persimmonreach.standins.store_state import Faults, StoreState
from persimmonreach.store import (
    CompareFailedError,
    KeyValue,
    StoreError,
    StoreUnavailableError,
    WriteOutcomeUnknownError,
)

ZONES = frozenset((Zone('a'), Zone('b')))
# Writes up to that of the head: two services, the audit record and the head.
WRITE_COUNT_OF_TWO_SERVICES = 4


def _make_declarations(*names: str, slots: int = 1) -> Declarations:
    services = tuple(
        ServiceConfig(ServiceId(0), name, Endpoint('10.9.0.1', 1 + port), slots)
        for port, name in enumerate(names)
    )
    return Declarations(services, ZONES)


def _make_publisher(store: FakeStore, clock: ManualClock, seed: int = 1) -> Publisher:
    time_source = TimeSource(clock, lambda: int(clock.now() * 1000), clock.advance)
    return Publisher(PublisherSettings(f'op{seed}', 5), store, time_source, Random(seed))


class _Harness:
    """Publisher under test, and a second client of its store without faults."""

    def __init__(self) -> None:
        self.clock = ManualClock(1)
        self.state = StoreState()
        self.store = FakeStore(self.clock, self.state)
        self.observer = FakeStore(self.clock, self.state)
        self.publisher = _make_publisher(self.store, self.clock)

    def publish(self, declarations: Declarations):
        return self.publisher.publish(self.publisher.plan(declarations))

    def slots_in_force(self) -> dict[str, int]:
        return {
            service.name: service.slots
            for service in read_configuration(self.observer).services
        }

    def audit_results(self) -> list[AuditResult]:
        records = read_audit_trail(self.observer, read_head(self.observer).head).records
        return [record.result for record in records]


def test_ids_are_never_reused_and_unchanged_services_keep_their_version() -> None:
    harness = _Harness()
    harness.publish(_make_declarations('x', 'y'))
    harness.publish(_make_declarations('x'))
    assert harness.publish(_make_declarations('x', 'z')) == Accepted(3)
    services = {
        service.name: service for service in read_configuration(harness.observer).services
    }
    assert (services['x'].service, services['x'].version) == (1, 1)
    assert (services['z'].service, services['z'].version) == (3, 3)
    assert not harness.publisher.plan(_make_declarations('x', 'z')).difference
    assert len(harness.observer.list_prefix('service/').rows) == 2


@pytest.mark.parametrize('lost_write', range(1, WRITE_COUNT_OF_TWO_SERVICES + 1))
def test_lost_response_to_each_write_is_resolved_as_accepted(lost_write: int) -> None:
    harness = _Harness()
    harness.store.set_faults(Faults(lose_writes=frozenset((lost_write,))))
    assert harness.publish(_make_declarations('x', 'y')) == Accepted(1)
    assert harness.slots_in_force() == {'x': 1, 'y': 1}
    assert harness.audit_results() == [AuditResult.ACCEPTED]


@pytest.mark.parametrize('step', range(8))
def test_outage_before_any_call_applies_all_of_a_change_or_nothing(step: int) -> None:
    harness = _Harness()
    harness.publish(_make_declarations('x'))
    calls_before = harness.store.call_count

    def start_outage(operation: str) -> None:
        if harness.store.call_count >= calls_before + step:
            harness.store.set_faults(Faults(outage=True))

    harness.store.set_call_hook(start_outage)
    try:
        outcome = harness.publish(_make_declarations('x', 'y', slots=2))
    except StoreUnavailableError:
        outcome = None
    expected = {'x': 2, 'y': 2} if outcome == Accepted(2) else {'x': 1}
    assert harness.slots_in_force() == expected
    assert outcome is None or outcome == Accepted(2)


def test_lost_head_response_before_an_outage_is_reported_as_unknown() -> None:
    harness = _Harness()
    plan = harness.publisher.plan(_make_declarations('x'))

    def start_outage(operation: str) -> None:
        # The third write, after the service and the audit record, is the head.
        if harness.store.write_count >= 3:
            harness.store.set_faults(Faults(outage=True))

    harness.store.set_faults(Faults(lose_writes=frozenset((3,))))
    harness.store.set_call_hook(start_outage)
    outcome = harness.publisher.publish(plan)
    assert outcome == OutcomeUnknown(plan.publish_id, 0, 1)
    assert 'either all of it is in force or none' in outcome.description
    # The record in the store is pending; its result is derived from the head.
    assert harness.audit_results() == [AuditResult.ACCEPTED]


@pytest.mark.parametrize('lost_write', [0, 3])
@pytest.mark.parametrize('step', range(9))
def test_concurrent_change_at_any_step_is_never_overwritten(
    step: int, lost_write: int
) -> None:
    # Lost write 0 stands for no lost response; write 3 is that of the head.
    harness = _Harness()
    harness.publish(_make_declarations('x'))
    other_publisher = _make_publisher(harness.observer, harness.clock, seed=2)
    calls_before = harness.store.call_count
    concurrent_results = []

    def publish_concurrently(operation: str) -> None:
        if harness.store.call_count == calls_before + step and not concurrent_results:
            # Marks that the change has started; its outcome follows.
            concurrent_results.append(1)
            concurrent_results.append(
                other_publisher.publish(
                    other_publisher.plan(_make_declarations('x', slots=7))
                )
            )

    harness.store.set_call_hook(publish_concurrently)
    harness.store.set_faults(Faults(lose_writes=frozenset((lost_write,))))
    first_outcome = harness.publish(_make_declarations('x', slots=5))
    harness.store.set_call_hook(None)
    accepted = [
        outcome
        for outcome in (first_outcome, *concurrent_results[1:])
        if isinstance(outcome, Accepted)
    ]
    versions = [outcome.version for outcome in accepted]
    assert len(set(versions)) == len(versions)
    assert read_head(harness.observer).head.version == 1 + len(accepted)
    if isinstance(first_outcome, Rejected):
        assert first_outcome.version == 2
        assert harness.slots_in_force() == {'x': 7}
    newest = max(accepted, key=lambda outcome: outcome.version)
    newest_slots = 5 if newest is first_outcome else 7
    assert harness.slots_in_force() == {'x': newest_slots}


def test_stale_read_after_a_lost_response_is_not_reported_as_rejected() -> None:
    harness = _Harness()
    harness.publish(_make_declarations('x'))
    old_head = harness.observer.get('head')
    harness.publish(_make_declarations('x', slots=2))
    stale_reads = []
    original_get = harness.store.get

    def stale_get(key: str):
        # The plan reads the current head; the next 3 reads of the head are stale.
        if harness.store.write_count and key == 'head' and len(stale_reads) < 3:
            stale_reads.append(key)
            return old_head
        return original_get(key)

    harness.store.get = stale_get
    harness.store.set_faults(Faults(lose_writes=frozenset((3,))))
    assert harness.publish(_make_declarations('x', slots=3)) == Accepted(3)
    assert stale_reads


class _DelayedWriteStore(FakeStore):
    """Store that applies the first write of the head after ``delay`` more calls.

    The response to that write is lost.
    """

    def __init__(self, clock: ManualClock, state: StoreState, delay: int) -> None:
        super().__init__(clock, state)
        self.delay = delay
        self.delayed_write = None

    def put(self, key: str, value: str, expected_revision: int, lease_id: int = 0) -> int:
        if key == 'head' and self.delayed_write is None:
            self.delayed_write = (key, value, expected_revision)
            raise WriteOutcomeUnknownError('no response before the timeout')
        return super().put(key, value, expected_revision, lease_id)

    def _enter(self, operation: str) -> None:
        if self.delayed_write:
            self.delay -= 1
        if self.delay == 0 and self.delayed_write:
            with suppress(CompareFailedError):
                self._state.put(KeyValue(*self.delayed_write), 0, 1)
        super()._enter(operation)


@pytest.mark.parametrize('is_concurrent', [False, True])
@pytest.mark.parametrize('delay', range(1, 8))
def test_delayed_write_is_resolved_to_one_outcome(
    delay: int, is_concurrent: bool
) -> None:
    harness = _Harness()
    harness.store = _DelayedWriteStore(harness.clock, harness.state, delay)
    harness.publisher = _make_publisher(harness.store, harness.clock)
    plan = harness.publisher.plan(_make_declarations('x', slots=5))
    if is_concurrent:
        other_publisher = _make_publisher(harness.observer, harness.clock, seed=2)
        other_publisher.publish(other_publisher.plan(_make_declarations('x', slots=7)))
    outcome = harness.publisher.publish(plan)
    # Calls the store again, so that longer delays expire before the check: all of
    # them, or those up to 5 if there is a concurrent change.
    harness.publisher.plan(_make_declarations('x'))
    if is_concurrent:
        assert outcome == Rejected(1)
        assert harness.slots_in_force() == {'x': 7}
    else:
        assert outcome == Accepted(1)
        assert harness.slots_in_force() == {'x': 5}


def test_rejected_stale_plan_changes_nothing_in_force() -> None:
    harness = _Harness()
    plan: Plan = harness.publisher.plan(_make_declarations('x', slots=9))
    harness.publish(_make_declarations('x'))
    assert harness.publisher.publish(plan) == Rejected(1)
    assert harness.slots_in_force() == {'x': 1}
    assert harness.audit_results() == [AuditResult.REJECTED, AuditResult.ACCEPTED]


def test_zone_change_is_written_only_for_a_declared_zone() -> None:
    harness = _Harness()
    harness.publish(_make_declarations('x'))
    harness.publisher.publish(harness.publisher.plan_zone_change(Zone('a'), out=True))
    head = read_head(harness.observer).head
    assert [state.out for state in head.zones] == [True, False]
    # An override that the head does not hold yet may set the opposite state.
    assert harness.publisher.plan_zone_change(Zone('a'), out=True).difference
    with pytest.raises(FindingsError, match='invalid command'):
        harness.publisher.plan_zone_change(Zone('q'), out=True)


@pytest.mark.parametrize('content', [b'{', b'[' * 200_000, b'{"version": 1e400}', None])
def test_unreadable_head_does_not_return_zones_to_service(content: bytes | None) -> None:
    harness = _Harness()
    harness.publish(_make_declarations('x'))
    harness.publisher.publish(harness.publisher.plan_zone_change(Zone('a'), out=True))
    rules = RulesInForce()
    source = HeadRulesSource()
    rules.handle(source.read(harness.observer), 0)
    assert rules.rules.zones_out == {'a'}
    if content is None:
        harness.observer.delete('head')
    else:
        harness.observer.put('head', content, -1)
    rules.handle(source.read(harness.observer), 1)
    assert rules.rules.zones_out == {'a'}
    assert rules.rules.routes


def test_malformed_audit_record_does_not_hide_the_others() -> None:
    harness = _Harness()
    harness.publish(_make_declarations('x'))
    harness.observer.put('audit/0000000099/odd', b'[' * 200_000, -1)
    trail = read_audit_trail(harness.observer, read_head(harness.observer).head)
    assert [record.result for record in trail.records] == [AuditResult.ACCEPTED]
    assert len(trail.problems) == 1


def test_audit_trail_is_limited_to_the_maximum_number_of_records() -> None:
    harness = _Harness()
    for number in range(MAX_AUDIT_RECORDS):
        harness.observer.put(f'audit/{number:010d}/old', '{}', -1)
    harness.observer.put('head', encode_head(read_head(harness.store).head), -1)
    harness.publish(_make_declarations('x'))
    keys = [row.key for row in harness.observer.list_prefix('audit/').rows]
    assert len(keys) == MAX_AUDIT_RECORDS


@settings(derandomize=True, max_examples=150, deadline=None)
@given(
    lost_calls=st.frozensets(st.integers(0, 30)),
    outage_calls=st.frozensets(st.integers(0, 30)),
    slots=st.lists(st.integers(1, 4), min_size=1, max_size=4),
)
def test_reported_outcomes_agree_with_the_store_under_any_faults(
    lost_calls: frozenset[int],
    outage_calls: frozenset[int],
    slots: list[int],
) -> None:
    harness = _Harness()
    calls = []

    def set_faults_of_call(operation: str) -> None:
        calls.append(operation)
        # Setting the faults resets the number of writes, so write 1 is this call.
        harness.store.set_faults(
            Faults(
                len(calls) in outage_calls, 0, frozenset((int(len(calls) in lost_calls),))
            )
        )

    harness.store.set_call_hook(set_faults_of_call)
    version = 0
    for slot_count in slots:
        try:
            outcome = harness.publish(_make_declarations('x', slots=slot_count))
        except StoreError:
            outcome = None
        new_version = read_head(harness.observer).head.version
        if isinstance(outcome, Accepted):
            assert new_version == outcome.version == version + 1
            assert harness.slots_in_force() == {'x': slot_count}
        elif not isinstance(outcome, OutcomeUnknown):
            assert new_version == version
        version = new_version
