"""Guards against reports that arrive after their sender has been replaced.

A report of a crashed backend server was delayed by a partition, and reached an agent
that had only seen its successor. The agent took it for a new backend server: it reset
the flows of the successor (review/2), and from then on dropped the reports of the
successor, although they were acknowledged (review/3).
"""

from random import Random

import pytest

from persimmonreach.core import (
    Action,
    Endpoint,
    Incarnation,
    ManualClock,
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
    ReportRejected,
)
from persimmonreach.forwarding.messages import RoutedPacket
from persimmonreach.forwarding.tasks import AgentTask, BackendLink, CallerLink
from persimmonreach.packets import ACK, PSH, SYN, Segment
from persimmonreach.packets.builder import (
    FlowEndpoints,
    build_inbound,
    build_outbound,
    pack_flow_key,
)
from persimmonreach.packets.ipv4 import Ipv4Packets
from persimmonreach.placement import FlowOffer, FlowRefused, RefusalReason
from persimmonreach.rules import ServiceLimits

KEY = pack_flow_key(FlowEndpoints(Endpoint('10.0.0.9', 40000), Endpoint('10.9.0.1', 443)))
ENTRY = Endpoint('10.0.0.1', 7000)
SYN_OFFER = FlowOffer(ServiceLimits('svc'), build_inbound(KEY, Segment(SYN, 100, 0)))
SYN_ACK = BackendPacketArrived(build_outbound(KEY, Segment(SYN | ACK, 5000, 101)))
REQUEST = RoutedPacket(build_inbound(KEY, Segment(ACK | PSH, 101, 5001, b'request')))
# Time zero of the agent in Unix milliseconds.
EPOCH_MS = 1_700_000_000_000
FORMER_STARTED_AT = 1.0
STARTED_AT = 6.0


def make_report(
    backend: str,
    started_at: float,
    sequence: int,
    now: float,
    state: AgentState = AgentState.READY,
) -> BackendStatusReported:
    started_at_ms = EPOCH_MS + int(started_at * 1000)
    return BackendStatusReported(
        backend, started_at_ms, sequence, state, 3, 0, age_s=now - started_at
    )


def make_agent() -> AgentForwarder:
    """Return an agent that has only seen the second of two backend servers."""
    identity = AgentIdentity('a1', 'svc', 'z', Incarnation(1), (), EPOCH_MS)
    forwarder = AgentForwarder(identity, Ipv4Packets(), Random(1))
    forwarder.handle(BackendProbed(False), 0)
    forwarder.handle(make_report('i-b', STARTED_AT, 1, STARTED_AT), STARTED_AT)
    return forwarder


def receive(forwarder: AgentForwarder, message: object, now: float) -> tuple[Action, ...]:
    return forwarder.handle(Received(ENTRY, message), now)


def open_flow(forwarder: AgentForwarder, now: float) -> None:
    receive(forwarder, SYN_OFFER, now)
    forwarder.handle(SYN_ACK, now)
    receive(forwarder, REQUEST, now)


def refusals(actions: tuple[Action, ...]) -> list[RefusalReason]:
    messages = [getattr(action, 'message', None) for action in actions]
    return [message.reason for message in messages if isinstance(message, FlowRefused)]


def is_rejected(actions: tuple[Action, ...]) -> bool:
    return any(isinstance(action, ReportRejected) for action in actions)


def is_reset_sent(actions: tuple[Action, ...]) -> bool:
    return any(isinstance(action, SendToCaller) for action in actions)


def test_successor_drains_after_a_delayed_report_of_its_predecessor() -> None:
    forwarder = make_agent()
    forwarder.handle(make_report('i-b', STARTED_AT, 2, 11.8), 11.8)
    for sequence in range(1, 6):
        delayed = make_report('i-a', FORMER_STARTED_AT, sequence, 12)
        assert is_rejected(forwarder.handle(delayed, 12))
    draining = make_report('i-b', STARTED_AT, 3, 12.5, AgentState.DRAINING)
    assert not is_rejected(forwarder.handle(draining, 12.5))
    assert refusals(receive(forwarder, SYN_OFFER, 13)) == [RefusalReason.DRAINING]


def test_delayed_report_resets_no_flow_of_the_successor() -> None:
    forwarder = make_agent()
    open_flow(forwarder, 7)
    forwarder.handle(make_report('i-b', STARTED_AT, 2, 11.9), 11.9)
    delayed = make_report('i-a', FORMER_STARTED_AT, 1, 12)
    assert not is_reset_sent(forwarder.handle(delayed, 12))
    assert not refusals(receive(forwarder, SYN_OFFER, 13))


def test_repeated_report_is_accepted_but_changes_nothing() -> None:
    """The response to a report may have been lost, and its state is in force."""
    forwarder = make_agent()
    draining = make_report('i-b', STARTED_AT, 3, 7, AgentState.DRAINING)
    forwarder.handle(draining, 7)
    overtaken = make_report('i-b', STARTED_AT, 2, 7.1)
    assert not is_rejected(forwarder.handle(draining, 7.1))
    assert not is_rejected(forwarder.handle(overtaken, 7.2))
    assert refusals(receive(forwarder, SYN_OFFER, 8)) == [RefusalReason.DRAINING]


def test_backend_server_that_started_after_a_step_of_the_clock_is_accepted() -> None:
    """The clock went back by 2 s between both starts, so the start times mislead. The
    reports of the server were ignored for as long as it ran.
    """
    forwarder = make_agent()
    accepted_at = None
    for sequence in range(1, 10):
        now = STARTED_AT + 1 + sequence * 0.77
        report = make_report('i-c', STARTED_AT - 1, sequence, now)
        if not is_rejected(forwarder.handle(report, now)):
            accepted_at = accepted_at or now
    assert accepted_at is not None
    draining = make_report('i-c', STARTED_AT - 1, 10, 15, AgentState.DRAINING)
    assert not is_rejected(forwarder.handle(draining, 15))
    assert refusals(receive(forwarder, SYN_OFFER, 16)) == [RefusalReason.DRAINING]


def test_backend_server_that_follows_a_refused_connection_is_accepted_at_once() -> None:
    forwarder = make_agent()
    forwarder.handle(BackendProbed(False), STARTED_AT + 1)
    report = make_report('i-c', STARTED_AT - 1, 1, STARTED_AT + 2)
    assert not is_rejected(forwarder.handle(report, STARTED_AT + 2))


@pytest.mark.parametrize('pause_s', [3.0, 30.0])
def test_paused_backend_server_keeps_its_flows_after_a_delayed_report(
    pause_s: float,
) -> None:
    """A delayed report is accepted while the server is paused, since nothing shows that
    it is still running. Its flows must not be reset for that, nor its reports ignored
    once it continues.
    """
    forwarder = make_agent()
    open_flow(forwarder, STARTED_AT)
    resumed_at = STARTED_AT + pause_s
    delayed = make_report('i-a', FORMER_STARTED_AT, 4, resumed_at)
    assert not is_reset_sent(forwarder.handle(delayed, resumed_at))
    draining = make_report('i-b', STARTED_AT, 2, resumed_at, AgentState.DRAINING)
    actions = forwarder.handle(draining, resumed_at + 0.1)
    assert not is_rejected(actions)
    assert not is_reset_sent(actions)
    refused = receive(forwarder, SYN_OFFER, resumed_at + 0.2)
    assert refusals(refused) in ([RefusalReason.DRAINING], [])
    other_key = pack_flow_key(
        FlowEndpoints(Endpoint('10.0.0.9', 40001), Endpoint('10.9.0.1', 443))
    )
    other_syn = FlowOffer(
        ServiceLimits('svc'), build_inbound(other_key, Segment(SYN, 1, 0))
    )
    refused = receive(forwarder, other_syn, resumed_at + 0.3)
    assert refusals(refused) == [RefusalReason.DRAINING]


class SilentLink(CallerLink, BackendLink):
    """Link without any packets."""

    def receive(self) -> bytes:
        raise NotImplementedError

    def send(self, packet: bytes) -> None:
        """Discard a packet."""

    def deliver(self, packet: bytes) -> None:
        """Discard a packet."""

    def probe(self) -> bool | None:
        return None

    def close(self) -> None:
        """Do nothing."""


class TaskWithoutSockets(AgentTask):
    """Task that receives no packets."""

    def _receive_packets(self) -> None:
        """Do nothing."""


def test_task_reports_whether_a_report_is_in_force() -> None:
    """A report that was only put into the mailbox was acknowledged."""
    clock = ManualClock(12)
    link = SilentLink()
    task = TaskWithoutSockets(make_agent(), link, clock, link, None, lambda action: None)
    with task:
        assert task.submit_report(make_report('i-b', STARTED_AT, 2, 12)) is True
        delayed = make_report('i-a', FORMER_STARTED_AT, 1, 12)
        assert task.submit_report(delayed) is False
        assert task.submit_report(make_report('i-b', STARTED_AT, 3, 12)) is True
