"""Guards against a second agent that claims a flow held by another agent.

A delayed retransmission of a SYN is placed at a second backend server while the
flow is open at the first one. In soak seed 7 the second agent recorded the flow
as open, and its backend server reset it.
"""

from random import Random

import pytest

from persimmonreach.core import Action, Deliver, Endpoint, FlowKey, Incarnation, Received
from persimmonreach.discovery import AgentState
from persimmonreach.forwarding import (
    AgentForwarder,
    AgentIdentity,
    BackendPacketArrived,
    BackendStatusReported,
)
from persimmonreach.forwarding.messages import RoutedPacket
from persimmonreach.lookup import (
    FlowsQuery,
    FlowsResponse,
    PacketQuery,
    PacketReturned,
)
from persimmonreach.packets import ACK, FIN, PSH, SYN, Segment
from persimmonreach.packets.builder import (
    FlowEndpoints,
    build_inbound,
    build_outbound,
    pack_flow_key,
)
from persimmonreach.packets.ipv4 import Ipv4Packets
from persimmonreach.placement import FlowAccepted, FlowOffer
from persimmonreach.rules import ServiceLimits

KEY = pack_flow_key(FlowEndpoints(Endpoint('10.0.0.9', 40000), Endpoint('10.9.0.1', 443)))
ENTRY = Endpoint('10.0.0.1', 7000)
SYN_OFFER = FlowOffer(ServiceLimits('svc'), build_inbound(KEY, Segment(SYN, 100, 0)))
# The caller acknowledges a sequence number of the first backend server.
PACKET_FOR_OTHER_BACKEND = build_inbound(KEY, Segment(ACK | PSH, 101, 5001, b'request'))
# The second backend server has another initial sequence number.
SYN_ACK_PACKET = BackendPacketArrived(
    build_outbound(KEY, Segment(SYN | ACK, 900_000, 101))
)


def make_agent() -> AgentForwarder:
    identity = AgentIdentity('a1', 'svc', 'z', Incarnation(1))
    forwarder = AgentForwarder(identity, Ipv4Packets(), Random(1))
    forwarder.handle(BackendStatusReported('b1', 1, 1, AgentState.READY, 1, 0), 0)
    return forwarder


def receive(forwarder: AgentForwarder, message: object, now: float) -> tuple[Action, ...]:
    return forwarder.handle(Received(ENTRY, message), now)


def messages_of(actions: tuple[Action, ...], message_type: type) -> list:
    messages = [getattr(action, 'message', None) for action in actions]
    return [message for message in messages if isinstance(message, message_type)]


def is_delivered(actions: tuple[Action, ...]) -> bool:
    return any(isinstance(action, Deliver) for action in actions)


def held_flows(forwarder: AgentForwarder, now: float) -> tuple[FlowKey, ...]:
    responses = messages_of(receive(forwarder, FlowsQuery(9, (KEY,)), now), FlowsResponse)
    return responses[0].held


@pytest.mark.parametrize('message_type', [RoutedPacket, PacketQuery])
def test_packet_between_syn_and_syn_ack_does_not_open_the_flow(
    message_type: type,
) -> None:
    forwarder = make_agent()
    assert is_delivered(receive(forwarder, SYN_OFFER, 1))
    assert messages_of(
        receive(forwarder, RoutedPacket(PACKET_FOR_OTHER_BACKEND), 1), PacketReturned
    )
    forwarder.handle(SYN_ACK_PACKET, 1.001)
    assert not is_delivered(
        receive(forwarder, message_type(PACKET_FOR_OTHER_BACKEND), 1.002)
    )
    assert not held_flows(forwarder, 1.003)


def test_caller_can_complete_the_handshake_of_a_delayed_syn() -> None:
    """Guards against an agent that rejects the ACK of its backend server's SYN-ACK."""
    forwarder = make_agent()
    receive(forwarder, SYN_OFFER, 1)
    assert messages_of(forwarder.handle(SYN_ACK_PACKET, 1.001), FlowAccepted)
    final_ack = build_inbound(KEY, Segment(ACK, 101, 900_001))
    assert is_delivered(receive(forwarder, RoutedPacket(final_ack), 1.002))


def test_flow_of_which_only_data_was_seen_is_open() -> None:
    """Guards against a restarted agent that does not report a flow as held.

    The agent has not seen the handshake, and has to add the flow from a packet of
    either direction.
    """
    forwarder = make_agent()
    data_packet = build_outbound(KEY, Segment(ACK | PSH, 900_500, 101, b'answer'))
    forwarder.handle(BackendPacketArrived(data_packet), 1)
    assert held_flows(forwarder, 1.001) == (KEY,)


def close_flow(forwarder: AgentForwarder) -> None:
    """Open the flow of ``SYN_OFFER`` and close it from both ends."""
    receive(forwarder, SYN_OFFER, 1)
    forwarder.handle(SYN_ACK_PACKET, 1.001)
    caller_fin = build_inbound(KEY, Segment(ACK | FIN, 101, 900_001))
    receive(forwarder, RoutedPacket(caller_fin), 1.002)
    backend_fin = build_outbound(KEY, Segment(ACK | FIN, 900_001, 102))
    forwarder.handle(BackendPacketArrived(backend_fin), 1.003)


def test_new_flow_on_the_port_of_a_closed_one_is_admitted() -> None:
    """The SYN of the new flow was taken for a late copy and dropped for 5 s."""
    forwarder = make_agent()
    close_flow(forwarder)
    new_syn = build_inbound(KEY, Segment(SYN, 70_000, 0))
    actions = receive(forwarder, FlowOffer(ServiceLimits('svc'), new_syn), 1.1)
    assert is_delivered(actions)


def test_late_copy_of_the_syn_of_a_closed_flow_is_dropped() -> None:
    """The backend server would open a flow that no caller uses."""
    forwarder = make_agent()
    close_flow(forwarder)
    assert not is_delivered(receive(forwarder, SYN_OFFER, 1.1))


def test_packet_of_the_earlier_flow_does_not_open_the_new_one() -> None:
    """A late packet on a port that is in use again belongs to nobody any more."""
    forwarder = make_agent()
    close_flow(forwarder)
    new_syn = build_inbound(KEY, Segment(SYN, 70_000, 0))
    receive(forwarder, FlowOffer(ServiceLimits('svc'), new_syn), 1.1)
    new_syn_ack = build_outbound(KEY, Segment(SYN | ACK, 3_000_000, 70_001))
    forwarder.handle(BackendPacketArrived(new_syn_ack), 1.101)
    late = build_inbound(KEY, Segment(ACK | PSH, 101, 900_001, b'request'))
    assert not is_delivered(receive(forwarder, RoutedPacket(late), 1.102))
    assert held_flows(forwarder, 1.103) == ()
