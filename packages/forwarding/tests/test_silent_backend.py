"""Guards against an agent that claims flows for a backend server that does not respond.

An agent that has missed flows delivers queried packets to its backend server. A silent
backend server rejects none of them, while the operating system accepts connections for
it. The agent reported such flows as held, published them, and reset their callers when
the backend server was gone, although the flows were open at others (review/1).
"""

from random import Random

import pytest

from persimmonreach.core import (
    Action,
    Deliver,
    Endpoint,
    Incarnation,
    Received,
    Send,
    SendToCaller,
    Tick,
)
from persimmonreach.discovery import (
    AgentState,
    EntriesDiscovered,
    RegisteredEntry,
)
from persimmonreach.forwarding import (
    AgentForwarder,
    AgentIdentity,
    BackendPacketArrived,
    BackendProbed,
    BackendStatusReported,
)
from persimmonreach.forwarding.messages import RoutedPacket
from persimmonreach.lookup import (
    FlowFound,
    FlowNotFound,
    FlowsPublished,
    FlowsQuery,
    FlowsResponse,
    FlowUnconfirmed,
    PacketQuery,
)
from persimmonreach.packets import ACK, PSH, Segment
from persimmonreach.packets.builder import (
    FlowEndpoints,
    build_inbound,
    build_outbound,
    pack_flow_key,
)
from persimmonreach.packets.ipv4 import Ipv4Packets

KEY = pack_flow_key(FlowEndpoints(Endpoint('10.0.0.9', 40000), Endpoint('10.9.0.1', 443)))
ENTRY = Endpoint('10.0.0.1', 7000)
REQUEST = build_inbound(KEY, Segment(ACK | PSH, 101, 5001, b'request'))
RESPONSE = BackendPacketArrived(build_outbound(KEY, Segment(ACK | PSH, 5001, 101, b'x')))
OTHER_KEY = pack_flow_key(
    FlowEndpoints(Endpoint('10.0.0.9', 40001), Endpoint('10.9.0.1', 443))
)
OTHER_RESPONSE = BackendPacketArrived(
    build_outbound(OTHER_KEY, Segment(ACK | PSH, 1, 1, b'x'))
)
QUERIED_AT = 10.0


def make_successor() -> AgentForwarder:
    """Return an agent that started while its backend server was running."""
    identity = AgentIdentity('a1', 'svc', 'z', Incarnation(2))
    forwarder = AgentForwarder(identity, Ipv4Packets(), Random(1))
    entry = RegisteredEntry('e1', 'z', ENTRY)
    forwarder.handle(EntriesDiscovered((entry,)), QUERIED_AT)
    report = BackendStatusReported('b1', 1, 9, AgentState.READY, 1, 0)
    forwarder.handle(report, QUERIED_AT)
    return forwarder


def receive(forwarder: AgentForwarder, message: object, now: float) -> tuple[Action, ...]:
    return forwarder.handle(Received(ENTRY, message), now)


def wait(forwarder: AgentForwarder, start: float, end: float) -> tuple[Action, ...]:
    """Return the actions of all timers; connections to the server are accepted."""
    actions: list[Action] = []
    now = start
    while now < end:
        now = max(now + 0.001, min(forwarder.wake_at, end))
        actions.extend(forwarder.handle(Tick(), now))
        actions.extend(forwarder.handle(BackendProbed(True), now))
    return tuple(actions)


def messages_of(actions: tuple[Action, ...], message_type: type) -> list:
    messages = [getattr(action, 'message', None) for action in actions]
    return [message for message in messages if isinstance(message, message_type)]


def is_reset_sent(actions: tuple[Action, ...]) -> bool:
    return any(isinstance(action, SendToCaller) for action in actions)


@pytest.mark.parametrize('message_type', [PacketQuery, RoutedPacket])
def test_flow_of_a_silent_backend_server_is_not_claimed(message_type: type) -> None:
    forwarder = make_successor()
    actions = receive(forwarder, message_type(REQUEST), QUERIED_AT)
    assert any(isinstance(action, Deliver) for action in actions)
    actions = (*actions, *wait(forwarder, QUERIED_AT, QUERIED_AT + 1.5))
    assert not messages_of(actions, FlowFound)
    assert not messages_of(actions, FlowNotFound)
    assert not messages_of(actions, FlowsPublished)
    response = messages_of(
        receive(forwarder, FlowsQuery(1, (KEY,)), QUERIED_AT + 1.5), FlowsResponse
    )[0]
    assert response.held == ()
    assert response.indeterminate == (KEY,)


@pytest.mark.parametrize('message_type', [PacketQuery, RoutedPacket])
def test_caller_is_not_reset_when_a_silent_backend_server_is_gone(
    message_type: type,
) -> None:
    forwarder = make_successor()
    receive(forwarder, message_type(REQUEST), QUERIED_AT)
    wait(forwarder, QUERIED_AT, QUERIED_AT + 1.5)
    assert not is_reset_sent(forwarder.handle(BackendProbed(False), QUERIED_AT + 2))


def test_entry_instance_is_told_once_that_the_flow_is_unconfirmed() -> None:
    """A search without any response would wait for its timeout."""
    forwarder = make_successor()
    receive(forwarder, PacketQuery(REQUEST), QUERIED_AT)
    actions = wait(forwarder, QUERIED_AT, QUERIED_AT + 1.5)
    assert messages_of(actions, FlowUnconfirmed) == [FlowUnconfirmed(KEY, 'a1')]


def test_packets_of_other_flows_do_not_confirm_a_flow() -> None:
    """A backend server that resumes sends due responses before it reads its packets."""
    forwarder = make_successor()
    receive(forwarder, PacketQuery(REQUEST), QUERIED_AT)
    forwarder.handle(OTHER_RESPONSE, QUERIED_AT + 1)
    report = BackendStatusReported('b1', 1, 10, AgentState.READY, 1, 0)
    forwarder.handle(report, QUERIED_AT + 1)
    actions = wait(forwarder, QUERIED_AT + 1, QUERIED_AT + 1.5)
    assert not messages_of(actions, FlowFound)


def test_packet_of_the_flow_confirms_it() -> None:
    """The holder would otherwise not be found by searches without a directory."""
    forwarder = make_successor()
    receive(forwarder, PacketQuery(REQUEST), QUERIED_AT)
    wait(forwarder, QUERIED_AT, QUERIED_AT + 0.1)
    actions = forwarder.handle(RESPONSE, QUERIED_AT + 0.1)
    assert messages_of(actions, FlowFound) == [FlowFound(KEY, 'a1')]
    actions = wait(forwarder, QUERIED_AT + 0.1, QUERIED_AT + 0.5)
    assert FlowsPublished('a1', (KEY,)) in messages_of(actions, FlowsPublished)
    assert is_reset_sent(forwarder.handle(BackendProbed(False), QUERIED_AT + 2))


def test_all_entry_instances_that_search_for_a_flow_get_a_response() -> None:
    """The second query replaced the sender of the first, which waited for its timeout."""
    forwarder = make_successor()
    other_entry = Endpoint('10.0.0.2', 7000)
    receive(forwarder, PacketQuery(REQUEST), QUERIED_AT)
    forwarder.handle(Received(other_entry, PacketQuery(REQUEST)), QUERIED_AT + 0.001)
    actions = forwarder.handle(RESPONSE, QUERIED_AT + 0.01)
    recipients = {
        action.to
        for action in actions
        if isinstance(action, Send) and isinstance(action.message, FlowFound)
    }
    assert recipients == {ENTRY, other_entry}
