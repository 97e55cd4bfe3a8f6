"""Guards against a restarted agent that denies flows which its predecessor passed on.

The agent was restarted up to 0.35 s after the first report of its backend server. The
second report was the first one to reach the new process, which took the low sequence
number for proof that it had seen all flows. It returned their packets, and the callers
were reset (review/4).
"""

from random import Random

import pytest

from persimmonreach.core import Action, Deliver, Endpoint, Incarnation, Received
from persimmonreach.discovery import AgentState
from persimmonreach.forwarding import (
    AgentForwarder,
    AgentIdentity,
    BackendProbed,
    BackendStatusReported,
)
from persimmonreach.forwarding.messages import RoutedPacket
from persimmonreach.lookup import FlowNotFound, PacketQuery, PacketReturned
from persimmonreach.packets import ACK, PSH, SYN, Segment
from persimmonreach.packets.builder import FlowEndpoints, build_inbound, pack_flow_key
from persimmonreach.packets.ipv4 import Ipv4Packets
from persimmonreach.placement import FlowOffer, FlowRefused
from persimmonreach.rules import ServiceLimits

KEY = pack_flow_key(FlowEndpoints(Endpoint('10.0.0.9', 40000), Endpoint('10.9.0.1', 443)))
ENTRY = Endpoint('10.0.0.1', 7000)
REQUEST = build_inbound(KEY, Segment(ACK | PSH, 101, 5001, b'request'))
SYN_OFFER = FlowOffer(ServiceLimits('svc'), build_inbound(KEY, Segment(SYN, 100, 0)))
STARTED_AT_MS = 1_700_000_000_000


def make_agent(backend_age_s: float, sequence: int) -> AgentForwarder:
    """Return an agent that found its backend server running and had a report at 1 s.

    Parameters
    ----------
    backend_age_s
        Age of the backend server when the agent started, in seconds.
    sequence
        Number of the report.

    """
    identity = AgentIdentity('a1', 'svc', 'z', Incarnation(2), (), STARTED_AT_MS)
    forwarder = AgentForwarder(identity, Ipv4Packets(), Random(1))
    forwarder.handle(BackendProbed(True), 0.01)
    report = BackendStatusReported(
        'b1',
        STARTED_AT_MS - int(backend_age_s * 1000),
        sequence,
        AgentState.READY,
        1,
        0,
        age_s=backend_age_s + 1,
    )
    forwarder.handle(report, 1)
    return forwarder


def receive(forwarder: AgentForwarder, message: object, now: float) -> tuple[Action, ...]:
    return forwarder.handle(Received(ENTRY, message), now)


def messages_of(actions: tuple[Action, ...], message_type: type) -> list:
    messages = [getattr(action, 'message', None) for action in actions]
    return [message for message in messages if isinstance(message, message_type)]


def is_delivered(actions: tuple[Action, ...]) -> bool:
    return any(isinstance(action, Deliver) for action in actions)


@pytest.mark.parametrize('sequence', [1, 2, 7])
@pytest.mark.parametrize('backend_age_s', [0.1, 0.45, 0.7, 30])
@pytest.mark.parametrize('message_type', [RoutedPacket, PacketQuery])
def test_packet_of_a_flow_of_the_predecessor_reaches_the_backend_server(
    message_type: type, backend_age_s: float, sequence: int
) -> None:
    forwarder = make_agent(backend_age_s, sequence)
    actions = receive(forwarder, message_type(REQUEST), 6)
    assert is_delivered(actions)
    assert not messages_of(actions, PacketReturned)
    assert not messages_of(actions, FlowNotFound)


def test_backend_server_that_has_just_started_gets_no_new_flows() -> None:
    """A flow that is opened before is not known to an agent that starts then."""
    identity = AgentIdentity('a1', 'svc', 'z', Incarnation(1), (), STARTED_AT_MS)
    forwarder = AgentForwarder(identity, Ipv4Packets(), Random(1))
    forwarder.handle(BackendProbed(False), 8)
    report = BackendStatusReported(
        'b1', STARTED_AT_MS + 9900, 1, AgentState.READY, 1, 0, age_s=0.1
    )
    forwarder.handle(report, 10)
    assert messages_of(receive(forwarder, SYN_OFFER, 10.3), FlowRefused)
    assert is_delivered(receive(forwarder, SYN_OFFER, 10.5))
