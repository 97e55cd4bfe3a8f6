"""Guards against agents that misjudge whether they have seen all open flows.

An agent that wrongly assumes that it has seen all sends a negative response for a flow
that its backend server holds. One that wrongly assumes that it has missed some
receives a packet query in each search.
"""

import pytest

from persimmonreach.discovery import AgentState
from persimmonreach.forwarding import BackendStatusReported
from persimmonreach.forwarding._incarnations import (
    MIN_BACKEND_AGE_S,
    BackendIncarnations,
)

AGENT_STARTED_AT_MS = 1_700_000_000_000


def make_report(started_at_ms: int, sequence: int) -> BackendStatusReported:
    return BackendStatusReported('i-1', started_at_ms, sequence, AgentState.READY, 3, 0)


def test_agent_started_with_its_backend_server_knows_all_flows() -> None:
    """After a power failure the first report that arrived had a high sequence
    number, since reports sent before the agent was listening count too. Each
    search then sent its packet to every agent.
    """
    incarnations = BackendIncarnations(AGENT_STARTED_AT_MS)
    incarnations.observe(make_report(AGENT_STARTED_AT_MS - 200, 6), 1)
    assert incarnations.are_all_flows_known(1)


@pytest.mark.parametrize('start_offset_ms', [-60_000, -1_200, 1_200])
def test_agent_started_apart_from_it_may_have_missed_flows(start_offset_ms: int) -> None:
    incarnations = BackendIncarnations(AGENT_STARTED_AT_MS)
    incarnations.observe(make_report(AGENT_STARTED_AT_MS + start_offset_ms, 6), 1)
    assert not incarnations.are_all_flows_known(1)


def test_start_times_of_different_clocks_are_not_compared() -> None:
    incarnations = BackendIncarnations()
    incarnations.observe(make_report(AGENT_STARTED_AT_MS, 6), 1)
    assert not incarnations.are_all_flows_known(1)


def observe_start(
    incarnations: BackendIncarnations, age_s: float, sequence: int = 1
) -> None:
    """Let the first report arrive at time 1."""
    started_at_ms = AGENT_STARTED_AT_MS + 1000 - int(age_s * 1000)
    incarnations.observe(make_report(started_at_ms, sequence)._replace(age_s=age_s), 1)


@pytest.mark.parametrize('sequence', [1, 2])
def test_low_sequence_number_does_not_prove_that_no_flow_was_missed(
    sequence: int,
) -> None:
    """An earlier process of the agent may have had the first report, and passed flows
    before it was restarted (review/4).
    """
    incarnations = BackendIncarnations(AGENT_STARTED_AT_MS)
    observe_start(incarnations, age_s=1.6, sequence=sequence)
    assert not incarnations.are_all_flows_known(1)
    assert not incarnations.is_start_seen(1)


def test_joint_start_does_not_prove_that_no_flow_was_missed() -> None:
    incarnations = BackendIncarnations(AGENT_STARTED_AT_MS)
    observe_start(incarnations, age_s=1.35, sequence=2)
    assert incarnations.are_all_flows_known(1)
    assert not incarnations.is_start_seen(1)


def test_refused_connection_proves_that_all_later_flows_are_known() -> None:
    incarnations = BackendIncarnations(AGENT_STARTED_AT_MS)
    incarnations.record_down(0.1)
    observe_start(incarnations, age_s=0.5)
    assert incarnations.is_start_seen(1)


def test_no_flow_is_admitted_while_a_restarted_agent_would_miss_it() -> None:
    """An agent that starts soon after its backend server relies on this."""
    incarnations = BackendIncarnations(AGENT_STARTED_AT_MS)
    assert incarnations.admits_from > 1000
    incarnations.record_sign(0.9)
    assert incarnations.admits_from == 0.9 + MIN_BACKEND_AGE_S
    observe_start(incarnations, age_s=0.2)
    assert incarnations.admits_from == pytest.approx(0.8 + MIN_BACKEND_AGE_S)


def test_old_backend_server_gets_flows_at_once() -> None:
    """A restart of an agent must not keep new flows away for longer than needed."""
    incarnations = BackendIncarnations(AGENT_STARTED_AT_MS)
    observe_start(incarnations, age_s=30)
    assert incarnations.admits_from <= 1


def test_step_of_the_clock_does_not_make_a_backend_server_old() -> None:
    incarnations = BackendIncarnations(AGENT_STARTED_AT_MS)
    incarnations.record_down(0.9)
    observe_start(incarnations, age_s=2.1)
    assert incarnations.admits_from >= 0.9 + MIN_BACKEND_AGE_S


def test_restarted_backend_server_is_new_again() -> None:
    incarnations = BackendIncarnations(AGENT_STARTED_AT_MS)
    observe_start(incarnations, age_s=30)
    report = make_report(AGENT_STARTED_AT_MS + 4900, 1)._replace(age_s=0.1)
    incarnations.observe(report, 5)
    assert incarnations.admits_from == pytest.approx(4.9 + MIN_BACKEND_AGE_S)
    assert incarnations.is_start_seen(5)


def test_clock_is_not_needed_where_no_start_times_are_compared() -> None:
    incarnations = BackendIncarnations()
    assert incarnations.admits_from < 0
