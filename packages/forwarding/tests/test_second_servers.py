"""Guards against resets by a backend server at which a flow is only half open.

Copies of a SYN reached several backend servers. The caller completed the handshake with
one, and an agent that had no record of the flow delivered a packet to another. That one
repeated its SYN-ACK, which counted as proof that it held the flow, and its reset of the
unacceptable acknowledgement reached the caller. Soak seeds 111 and 112 broke 3 and 1
flows at a load of 38, with no line in the logs of the processes.
"""

from random import Random

import pytest

from persimmonreach.core import (
    Action,
    Endpoint,
    Incarnation,
    Received,
    SendToCaller,
    Tick,
)
from persimmonreach.discovery import AgentState, EntriesDiscovered, RegisteredEntry
from persimmonreach.forwarding import (
    AgentForwarder,
    AgentIdentity,
    BackendPacketArrived,
    BackendStatusReported,
)
from persimmonreach.forwarding.messages import RoutedPacket
from persimmonreach.lookup import (
    FlowsPublished,
    FlowsQuery,
    FlowsResponse,
    PacketQuery,
)
from persimmonreach.packets import ACK, PSH, RST, SYN, Segment
from persimmonreach.packets.builder import (
    FlowEndpoints,
    build_inbound,
    build_outbound,
    pack_flow_key,
)
from persimmonreach.packets.ipv4 import Ipv4Packets

KEY = pack_flow_key(FlowEndpoints(Endpoint('10.0.0.9', 40000), Endpoint('10.9.0.1', 443)))
ENTRY = Endpoint('10.0.0.1', 7000)
# The caller acknowledges a sequence number of the first backend server.
REQUEST = build_inbound(KEY, Segment(ACK | PSH, 101, 5001, b'request'))
SYN_ACK = BackendPacketArrived(build_outbound(KEY, Segment(SYN | ACK, 900_000, 101)))
RESET = BackendPacketArrived(build_outbound(KEY, Segment(RST, 5001, 0)))


def make_agent() -> AgentForwarder:
    """Return the agent of the second backend server, without a record of the flow."""
    identity = AgentIdentity('a2', 'svc', 'z', Incarnation(2))
    forwarder = AgentForwarder(identity, Ipv4Packets(), Random(1))
    entry = RegisteredEntry('e1', 'z', ENTRY)
    forwarder.handle(EntriesDiscovered((entry,)), 10)
    report = BackendStatusReported('b2', 1, 9, AgentState.READY, 1, 0)
    forwarder.handle(report, 10)
    return forwarder


def messages_of(actions: tuple[Action, ...], message_type: type) -> list:
    messages = [getattr(action, 'message', None) for action in actions]
    return [message for message in messages if isinstance(message, message_type)]


@pytest.mark.parametrize('message_type', [RoutedPacket, PacketQuery])
def test_reset_of_a_half_open_flow_does_not_reach_the_caller(message_type: type) -> None:
    forwarder = make_agent()
    forwarder.handle(Received(ENTRY, message_type(REQUEST)), 10.1)
    forwarder.handle(SYN_ACK, 10.101)
    actions = forwarder.handle(RESET, 10.102)
    assert not any(isinstance(action, SendToCaller) for action in actions)


@pytest.mark.parametrize('message_type', [RoutedPacket, PacketQuery])
def test_repeated_syn_ack_does_not_show_that_the_flow_is_held(message_type: type) -> None:
    forwarder = make_agent()
    forwarder.handle(Received(ENTRY, message_type(REQUEST)), 10.1)
    actions = forwarder.handle(SYN_ACK, 10.101)
    query = FlowsQuery(1, (KEY,))
    response = forwarder.handle(Received(ENTRY, query), 10.15)
    assert messages_of(response, FlowsResponse)[0].held == ()
    actions = (*actions, *forwarder.handle(Tick(), 10.3))
    assert not messages_of(actions, FlowsPublished)


def test_caller_can_complete_the_handshake_after_a_repeated_syn_ack() -> None:
    """Guards against an agent that denies the flow of its own backend server."""
    forwarder = make_agent()
    last_ack = build_inbound(KEY, Segment(ACK, 101, 900_001))
    forwarder.handle(Received(ENTRY, RoutedPacket(last_ack)), 10.1)
    forwarder.handle(SYN_ACK, 10.101)
    forwarder.handle(Received(ENTRY, RoutedPacket(last_ack)), 10.2)
    response = forwarder.handle(Received(ENTRY, FlowsQuery(1, (KEY,))), 10.3)
    assert messages_of(response, FlowsResponse)[0].held == (KEY,)
