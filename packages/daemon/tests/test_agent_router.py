"""Guards against lost, misdirected and mixed-up packets at a whole agent.

The state machines of all slices are the real ones; only sockets are left out.
"""

from typing import Any

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from persimmonreach import membership
from persimmonreach.admission import BackendReported, BackendState
from persimmonreach.admission.messages import PlaceAnswer, PlaceFlow, Verdict
from persimmonreach.configuration import (
    Configuration,
    ConfigurationChanged,
    ServiceConfig,
)
from persimmonreach.core import Count, Deliver, Endpoint, Received, Reply, Send, Tick
from persimmonreach.daemon._agent_parts import make_router
from persimmonreach.daemon._settings import AgentSettings, BackendSetting, KeySetting
from persimmonreach.packets import (
    ACK,
    PSH,
    RST,
    SYN,
    AnswerFrame,
    CancelFrame,
    ForwardedPacket,
    Ipv4TcpCodec,
    MsgpackFrameCodec,
    Outcome,
    RefusalFrame,
    RequestFrame,
)
from persimmonreach.packets.builder import (
    FlowEnds,
    Segment,
    build_inbound,
    build_outbound,
    flow_key,
)
from persimmonreach.requests.messages import CancelElsewhere, RunElsewhere, RunOutcome
from persimmonreach.routing import (
    BackendPacketArrived,
    ConnectionsRead,
    DrainRequested,
)

NOW = 1000.0
SERVICE_ADDRESS = Endpoint('10.9.0.1', 443)
AGENT = Endpoint('127.0.0.1', 7000)
PEER = Endpoint('127.0.0.1', 7001)
OWN_KEY = flow_key(FlowEnds(AGENT, SERVICE_ADDRESS))
HEADERS = Ipv4TcpCodec()
FRAMES = MsgpackFrameCodec()
REQUEST_ID = b'r' * 16
SERVICE = ServiceConfig(7, 's', SERVICE_ADDRESS, slots=3, slow_start_floor=3)
SETTINGS = AgentSettings(
    'agent-1',
    'zone-a',
    's',
    '127.0.0.1',
    BackendSetting('127.0.0.1', 1, 2),
    Endpoint('127.0.0.1', 3),
    (PEER,),
    (KeySetting(1, '00' * 16),),
)


def key_of(port: int) -> Any:
    return flow_key(FlowEnds(Endpoint('10.1.0.1', port), SERVICE_ADDRESS))


def member(agent: str, endpoint: Endpoint) -> membership.Member:
    return membership.Member(
        agent, 1, 7, 'zone-a', endpoint, membership.MemberState.ACTIVE
    )


class Agent:
    """A router that knows its view and the open flows 1 and 2."""

    def __init__(self, *extra: bytes) -> None:
        self.router = make_router(SETTINGS, SERVICE, AGENT)
        members = (member('agent-1', AGENT), member('agent-2', PEER))
        self.handle(ConfigurationChanged(Configuration(1, (SERVICE,))))
        self.handle(membership.ViewChanged(membership.View(7, members, 1)))
        self.handle(membership.LeaseRenewed(NOW + 3))
        self.handle(BackendReported(BackendState.WARM, 0))
        keys = (key_of(1), OWN_KEY, key_of(2), *extra)
        self.adopted = self.handle(ConnectionsRead(keys))

    def handle(self, event: Any, now: float = NOW) -> tuple[Any, ...]:
        return self.router.handle(event, now)

    def receive(self, message: Any) -> tuple[Any, ...]:
        return self.handle(Received(PEER, message))

    def from_caller(self, port: int, payload: bytes) -> tuple[Any, ...]:
        packet = build_inbound(key_of(port), Segment(PSH | ACK, 50, 60, payload))
        return self.receive(ForwardedPacket(7, 0, packet))

    def from_backend(self, key: Any, payload: bytes) -> tuple[Any, ...]:
        packet = build_outbound(key, Segment(PSH | ACK, 60, 50, payload))
        return self.handle(BackendPacketArrived(packet))

    def delegate(self, port: int, idempotent: bool = False) -> tuple[Any, ...]:
        frame = RequestFrame(REQUEST_ID, 1, idempotent, 1000, b'%d' % port)
        return self.receive(RunElsewhere(7, 'agent-2', 1, key_of(port), frame))


def names(actions: tuple[Any, ...]) -> set[str]:
    return {action.name for action in actions if isinstance(action, Count)}


def frames(actions: tuple[Any, ...], kind: type) -> list[tuple[Any, Any]]:
    """Return flow and frame of each packet of one kind of action."""
    read = HEADERS.read_inbound if kind is Deliver else HEADERS.read_outbound
    found = []
    for action in actions:
        if isinstance(action, kind):
            header = read(action.packet)
            payload = action.packet[header.payload_offset :]
            found.append((header.key, FRAMES.decode(payload) if payload else None))
    return found


def sent(actions: tuple[Any, ...], kind: type) -> list[Any]:
    return [
        action.message
        for action in actions
        if isinstance(action, Send) and isinstance(action.message, kind)
    ]


def test_packets_of_adopted_flows_reach_the_backend_server() -> None:
    agent = Agent(b'short', b'\x11............')
    assert agent.router.flow_count == 2
    assert Count('connections_unreadable', 2) in agent.adopted
    for port in (1, 2):
        packet = build_inbound(key_of(port), Segment(PSH | ACK, 50, 60, b'data'))
        assert Deliver(packet) in agent.receive(ForwardedPacket(7, 0, packet))
        answer = build_outbound(key_of(port), Segment(PSH | ACK, 60, 54, b'push'))
        assert Reply(answer) in agent.handle(BackendPacketArrived(answer))


def test_requests_on_adopted_flows_are_not_run_again() -> None:
    agent = Agent()
    request = RequestFrame(REQUEST_ID, 0, False, 1000, b'order')
    # The request waits while the agent asks for records of its predecessor.
    waiting = agent.from_caller(1, FRAMES.encode(request))
    assert not frames(waiting, Deliver)
    assert not frames(waiting, Reply)
    for second in range(6):
        agent.handle(Tick(), NOW + second)
    actions = agent.from_caller(1, FRAMES.encode(request))
    key, refusal = only(frames(actions, Reply))
    assert key == key_of(1)
    assert refusal.outcome is Outcome.UNKNOWN
    assert not frames(actions, Deliver)


def test_draining_agent_refuses_placements_and_keeps_its_flows() -> None:
    agent = Agent()
    packet = build_inbound(key_of(9), Segment(SYN, 1))
    place = PlaceFlow(7, key_of(9), packet, 'agent-2', 1, 1, 1)
    accepted = only(sent(agent.receive(place), PlaceAnswer))
    assert accepted.verdict is Verdict.ACCEPTED
    assert membership.StateAnnounced(membership.MemberState.DRAINING) in agent.handle(
        DrainRequested()
    )
    assert agent.router.is_draining
    other = place._replace(key=key_of(10), number=2)
    refused = only(sent(agent.receive(other), PlaceAnswer))
    assert refused.verdict is Verdict.DRAINING
    assert agent.router.flow_count == 3
    assert frames(agent.from_caller(1, b'data'), Deliver) == [(key_of(1), None)]


def test_zone_taken_out_resets_all_flows_toward_both_ends() -> None:
    agent = Agent()
    for port in (1, 2):
        agent.from_caller(port, b'data')
        agent.from_backend(key_of(port), b'push')
    zones = frozenset(('zone-a',))
    out = Configuration(2, (SERVICE,), zones, zones)
    actions = agent.handle(ConfigurationChanged(out))
    toward = {Deliver: set(), Reply: set()}
    for action in actions:
        if isinstance(action, Deliver):
            header = HEADERS.read_inbound(action.packet)
        elif isinstance(action, Reply):
            header = HEADERS.read_outbound(action.packet)
        else:
            continue
        assert header.flags & RST
        toward[type(action)].add(header.key)
    assert toward[Deliver] == toward[Reply] == {key_of(1), key_of(2)}
    assert agent.router.flow_count == 0
    packet = build_inbound(key_of(9), Segment(SYN, 1))
    # The operator's alert on packets that still reach the zone.
    assert 'packets_zone_out' in names(agent.receive(ForwardedPacket(7, 0, packet)))
    place = PlaceFlow(7, key_of(9), packet, 'agent-2', 1, 1, 1)
    refused = only(sent(agent.receive(place), PlaceAnswer))
    assert refused.verdict is Verdict.DRAINING


@settings(derandomize=True)
@given(st.integers(0, 2**32).filter(lambda service: service != 7), st.integers(1, 3))
def test_packets_of_other_services_are_dropped_and_counted(
    service: int, port: int
) -> None:
    packet = build_inbound(key_of(port), Segment(SYN, 1))
    actions = Agent().receive(ForwardedPacket(service, 0, packet))
    assert actions == (Count('packets_wrong_service'),)


def only(rows: list[Any]) -> Any:
    assert len(rows) == 1
    return rows[0]


UNKNOWN_TYPE = b'\xf7PR1\x63\x91\x01'
MALFORMED = FRAMES.encode(RequestFrame(REQUEST_ID, 0, False, 1, b''))[:-1]


def test_unknown_frames_pass_and_malformed_or_unexpected_ones_do_not() -> None:
    agent = Agent()
    passed = build_inbound(key_of(1), Segment(PSH | ACK, 50, 60, UNKNOWN_TYPE))
    assert Deliver(passed) in agent.receive(ForwardedPacket(7, 0, passed))
    returned = build_outbound(key_of(1), Segment(PSH | ACK, 60, 50, UNKNOWN_TYPE))
    assert Reply(returned) in agent.handle(BackendPacketArrived(returned))
    answer = FRAMES.encode(AnswerFrame(REQUEST_ID, 1, 0, 1, b'x'))
    request = FRAMES.encode(RequestFrame(REQUEST_ID, 0, False, 1, b''))
    for actions, counter in (
        (agent.from_caller(1, MALFORMED), 'frames_malformed'),
        (agent.from_backend(key_of(1), MALFORMED), 'frames_malformed'),
        (agent.from_caller(1, answer), 'frames_unexpected'),
        (agent.from_backend(key_of(1), request), 'frames_unexpected'),
    ):
        assert counter in names(actions)
        assert not any(isinstance(row, Deliver | Reply) for row in actions)


@pytest.mark.parametrize('order', [(0, 1), (1, 0)])
def test_equal_request_ids_of_two_callers_get_their_own_answers(
    order: tuple[int, int],
) -> None:
    agent = Agent()
    handed = [
        frame
        for port in (5, 6)
        for key, frame in frames(agent.delegate(port), Deliver)
        if frame is not None and key == OWN_KEY
    ]
    assert [frame.body for frame in handed] == [b'5', b'6']
    assert handed[0].attempt != handed[1].attempt
    for index in order:
        frame = handed[index]
        answer = AnswerFrame(frame.request_id, frame.attempt, 0, 1, frame.body)
        actions = agent.from_backend(OWN_KEY, FRAMES.encode(answer))
        outcome = only(sent(actions, RunOutcome))
        assert outcome.key == key_of(5 + index)
        assert outcome.attempt == 1
        assert outcome.body == b'%d' % (5 + index)


def test_cancellation_and_refusal_reach_the_right_one_of_two_equal_ids() -> None:
    agent = Agent()
    first, second = (
        frames(agent.delegate(port), Deliver)[-1][1].attempt for port in (5, 6)
    )
    cancelled = agent.receive(CancelElsewhere('agent-2', key_of(5), REQUEST_ID, 1))
    assert (OWN_KEY, CancelFrame(REQUEST_ID, first)) in frames(cancelled, Deliver)
    shed = RefusalFrame(REQUEST_ID, second, Outcome.NOT_RUN, 'shed')
    outcome = only(sent(agent.from_backend(OWN_KEY, FRAMES.encode(shed)), RunOutcome))
    assert outcome.key == key_of(6)


def test_own_flow_is_opened_again_after_the_backend_server_reset_it() -> None:
    agent = Agent()
    syn = Deliver(build_inbound(OWN_KEY, Segment(SYN)))
    assert syn in agent.delegate(5)
    assert syn not in agent.delegate(6)
    reset = build_outbound(OWN_KEY, Segment(RST))
    closing = agent.handle(BackendPacketArrived(reset))
    assert not any(isinstance(row, Reply) for row in closing)
    assert syn in agent.delegate(8)
