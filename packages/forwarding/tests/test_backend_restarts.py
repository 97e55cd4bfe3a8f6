"""Guards against reports of a restarted backend server that reset its own flows.

A backend server that had crashed took flows before its first report. The report showed
a new start, and the agent reset all flows that it knew, with the requests at work
(review/5).
"""

from random import Random
from typing import NamedTuple

import pytest

from persimmonreach.core import (
    Action,
    Deliver,
    Endpoint,
    FlowKey,
    Incarnation,
    Received,
    SendToCaller,
)
from persimmonreach.discovery import AgentState
from persimmonreach.forwarding import (
    AgentForwarder,
    AgentIdentity,
    BackendPacketArrived,
    BackendProbed,
    BackendStatusReported,
)
from persimmonreach.forwarding.messages import RoutedPacket
from persimmonreach.packets import ACK, PSH, SYN, Segment
from persimmonreach.packets.builder import (
    FlowEndpoints,
    build_inbound,
    build_outbound,
    pack_flow_key,
)
from persimmonreach.packets.ipv4 import Ipv4Packets
from persimmonreach.placement import FlowOffer
from persimmonreach.rules import ServiceLimits

ENTRY = Endpoint('10.0.0.1', 7000)
EPOCH_MS = 1_700_000_000_000
LAST_REPORT_AT = 5.0


class Restart(NamedTuple):
    """Times in seconds, by the clock of the agent."""

    started_at: float
    first_report_at: float
    clock_step_s: float = 0


RESTART = Restart(started_at=5.3, first_report_at=6.07)


def make_key(port: int) -> FlowKey:
    return pack_flow_key(
        FlowEndpoints(Endpoint('10.0.0.9', port), Endpoint('10.9.0.1', 443))
    )


def make_agent() -> AgentForwarder:
    identity = AgentIdentity('a1', 'svc', 'z', Incarnation(1), (), EPOCH_MS)
    forwarder = AgentForwarder(identity, Ipv4Packets(), Random(1))
    forwarder.handle(BackendProbed(False), 0)
    for sequence, now in enumerate((1.0, LAST_REPORT_AT)):
        report = BackendStatusReported(
            'i-b', EPOCH_MS + 1000, sequence, AgentState.READY, 3, 0, age_s=now - 1
        )
        forwarder.handle(report, now)
    return forwarder


def report_restart(forwarder: AgentForwarder, restart: Restart) -> tuple[Action, ...]:
    """Let the first report after a restart arrive; the clock may step before."""
    age_s = restart.first_report_at - restart.started_at + restart.clock_step_s
    started_at_ms = EPOCH_MS + int(restart.started_at * 1000)
    report = BackendStatusReported(
        'i-b', started_at_ms, 1, AgentState.READY, 3, 0, age_s=age_s
    )
    return forwarder.handle(report, restart.first_report_at)


def open_flow(forwarder: AgentForwarder, port: int, now: float) -> FlowKey:
    key = make_key(port)
    syn = FlowOffer(ServiceLimits('svc'), build_inbound(key, Segment(SYN, 100, 0)))
    forwarder.handle(Received(ENTRY, syn), now)
    syn_ack = build_outbound(key, Segment(SYN | ACK, 5000, 101))
    forwarder.handle(BackendPacketArrived(syn_ack), now)
    forwarder.handle(Received(ENTRY, make_request(key)), now)
    return key


def make_request(key: FlowKey) -> RoutedPacket:
    return RoutedPacket(build_inbound(key, Segment(ACK | PSH, 101, 5001, b'request')))


def reset_keys(actions: tuple[Action, ...]) -> set[FlowKey]:
    packets = Ipv4Packets()
    return {
        packets.read_outbound(action.packet).key
        for action in actions
        if isinstance(action, SendToCaller)
    }


@pytest.mark.parametrize('is_crash_noticed', [True, False])
def test_first_report_keeps_the_flows_that_its_sender_has_opened(
    is_crash_noticed: bool,
) -> None:
    forwarder = make_agent()
    former_key = open_flow(forwarder, 1000, 4)
    actions: tuple[Action, ...] = ()
    if is_crash_noticed:
        actions = forwarder.handle(BackendProbed(False), 5.2)
        forwarder.handle(BackendProbed(True), 5.4)
    key = open_flow(forwarder, 1001, 5.95)
    actions = (*actions, *report_restart(forwarder, RESTART))
    assert reset_keys(actions) == {former_key}
    delivered = forwarder.handle(Received(ENTRY, make_request(key)), 6.1)
    assert any(isinstance(action, Deliver) for action in delivered)


def test_flow_that_was_opened_after_the_last_report_of_the_former_process_is_reset() -> (
    None
):
    """Its caller would wait for the response of a process that has ended."""
    forwarder = make_agent()
    key = open_flow(forwarder, 1000, LAST_REPORT_AT + 0.1)
    assert reset_keys(report_restart(forwarder, RESTART)) == {key}


@pytest.mark.parametrize('clock_step_s', [-2.0, 2.0])
def test_no_flow_is_reset_after_a_step_of_the_clock(clock_step_s: float) -> None:
    """The start of the new process is not known then, and the backend server decides."""
    forwarder = make_agent()
    open_flow(forwarder, 1000, 4)
    key = open_flow(forwarder, 1001, 5.95)
    restart = RESTART._replace(clock_step_s=clock_step_s)
    assert not reset_keys(report_restart(forwarder, restart))
    delivered = forwarder.handle(Received(ENTRY, make_request(key)), 6.1)
    assert any(isinstance(action, Deliver) for action in delivered)


def test_delayed_report_of_the_former_process_does_not_date_its_end() -> None:
    """It arrived after the new process had opened flows, and before its first report."""
    forwarder = make_agent()
    key = open_flow(forwarder, 1001, 5.95)
    delayed = BackendStatusReported(
        'i-b', EPOCH_MS + 1000, 9, AgentState.READY, 3, 0, age_s=5
    )
    forwarder.handle(delayed, 6)
    assert key not in reset_keys(report_restart(forwarder, RESTART))


def test_flow_that_is_opened_again_by_the_new_process_is_kept() -> None:
    """A copy of the SYN reached the new process, whose SYN-ACK the caller accepted."""
    forwarder = make_agent()
    key = make_key(1000)
    syn = FlowOffer(ServiceLimits('svc'), build_inbound(key, Segment(SYN, 100, 0)))
    for sequence, now in ((5000, LAST_REPORT_AT + 0.1), (77_000, 5.5)):
        forwarder.handle(Received(ENTRY, syn), now)
        syn_ack = build_outbound(key, Segment(SYN | ACK, sequence, 101))
        forwarder.handle(BackendPacketArrived(syn_ack), now)
    request = build_inbound(key, Segment(ACK | PSH, 101, 77_001, b'request'))
    forwarder.handle(Received(ENTRY, RoutedPacket(request)), 5.51)
    assert not reset_keys(report_restart(forwarder, RESTART))
