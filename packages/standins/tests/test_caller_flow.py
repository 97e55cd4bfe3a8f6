"""Guards against callers that overlook wrong responses and resets.

Also guards against retries of requests that may have run, which would run twice.
"""

import random
from typing import Any

import pytest

from persimmonreach.core import Endpoint, FlowKey, Tick
from persimmonreach.packets import ACK, PSH, RST, SYN, Ipv4TcpCodec, Segment
from persimmonreach.packets.builder import FlowEndpoints, build_outbound, pack_flow_key
from persimmonreach.standins._caller_events import (
    FlowEnded,
    FlowPlan,
    PacketReceived,
    RequestEnded,
    SendPacket,
)
from persimmonreach.standins._caller_flow import CallerFlow
from persimmonreach.standins._caller_journal import RequestOutcome
from persimmonreach.standins._frame_types import (
    ErrorFrame,
    Outcome,
    RequestFrame,
    ResponseFrame,
)
from persimmonreach.standins._frames import MsgpackFrameCodec

SERVICE = Endpoint('10.9.0.1', 443)
CALLER = Endpoint('10.1.0.1', 10_000)
KEY = pack_flow_key(FlowEndpoints(CALLER, SERVICE))


def open_flow(flow: CallerFlow) -> RequestFrame:
    flow.handle(Tick(), 0)
    syn_ack = build_outbound(KEY, Segment(SYN | ACK, 50, 1))
    flow.handle(PacketReceived(syn_ack), 0)
    return sent_frame(flow.handle(Tick(), 0))


def sent_packet(actions: tuple[Any, ...]) -> bytes:
    return next(action.packet for action in actions if isinstance(action, SendPacket))


def sent_frame(actions: tuple[Any, ...]) -> RequestFrame:
    packet = sent_packet(actions)
    header = Ipv4TcpCodec().read_inbound(packet)
    return MsgpackFrameCodec().decode(packet[header.payload_offset :])


def received_frame(frame: Any, key: FlowKey = KEY) -> PacketReceived:
    payload = MsgpackFrameCodec().encode(frame)
    return PacketReceived(build_outbound(key, Segment(PSH | ACK, 51, 1, payload)))


def make_caller_flow(idempotent_share: float = 0) -> CallerFlow:
    plan = FlowPlan(KEY, True, 1, idempotent_share=idempotent_share)
    return CallerFlow(plan, random.Random(1))


def test_parts_of_attempts_are_not_mixed_and_other_requests_are_ignored() -> None:
    flow = make_caller_flow()
    frame = open_flow(flow)
    other_request = ResponseFrame(b'x' * 16, 1, 0, 1, b'')
    assert not flow.handle(received_frame(other_request), 0.1)
    first_part = ResponseFrame(frame.request_id, 1, 0, 2, b'half')
    assert not flow.handle(received_frame(first_part), 0.1)
    other_attempt = ResponseFrame(frame.request_id, 2, 1, 2, b'other attempt')
    assert not flow.handle(received_frame(other_attempt), 0.1)
    second_part = ResponseFrame(frame.request_id, 1, 1, 2, b'rest')
    ended = flow.handle(received_frame(second_part), 0.1)
    assert ended == (RequestEnded(frame.request_id, RequestOutcome.WRONG),)


def test_request_is_retransmitted_and_times_out_only_after_its_deadline() -> None:
    flow = make_caller_flow()
    frame = open_flow(flow)
    retransmitted = sent_packet(flow.handle(Tick(), 0.3))
    assert sent_frame((SendPacket(retransmitted),)).request_id == frame.request_id
    # TCP retransmits a segment unchanged.
    assert sent_packet(flow.handle(Tick(), 0.6)) == retransmitted
    assert not any(
        isinstance(action, RequestEnded) for action in flow.handle(Tick(), 3.5)
    )
    assert RequestEnded(frame.request_id, RequestOutcome.NO_REPLY) in flow.handle(
        Tick(), 4
    )


@pytest.mark.parametrize('outcome', [Outcome.NOT_RUN, Outcome.UNKNOWN])
def test_request_is_retried_only_if_it_was_not_run(outcome: Outcome) -> None:
    flow = make_caller_flow()
    frame = open_flow(flow)
    error = ErrorFrame(frame.request_id, 0, outcome, 'test')
    flow.handle(received_frame(error), 0.1)
    actions = flow.handle(Tick(), 0.5)
    if outcome == Outcome.NOT_RUN:
        assert sent_frame(actions).request_id != frame.request_id
    else:
        assert not any(
            Ipv4TcpCodec().read_inbound(action.packet).payload_size for action in actions
        )


def test_reset_of_an_established_flow_is_reported() -> None:
    flow = make_caller_flow()
    frame = open_flow(flow)
    reset = PacketReceived(build_outbound(KEY, Segment(RST, 51)))
    expected = (RequestEnded(frame.request_id, RequestOutcome.RESET), FlowEnded('reset'))
    assert flow.handle(reset, 0.1) == expected


@pytest.mark.parametrize(
    ('reset', 'is_refused'),
    [
        (Segment(RST | ACK, 0, 1), True),
        (Segment(RST | ACK, 0, 7), False),
        (Segment(RST, 0), False),
    ],
)
def test_reset_of_a_syn_has_to_acknowledge_it(reset: Segment, is_refused: bool) -> None:
    """A real caller drops other resets and waits until it times out."""
    flow = make_caller_flow()
    syn = Ipv4TcpCodec().read_inbound(sent_packet(flow.handle(Tick(), 0)))
    acknowledgement = reset.acknowledgement + syn.sequence if reset.flags & ACK else 0
    packet = build_outbound(KEY, reset._replace(acknowledgement=acknowledgement))
    ended = flow.handle(PacketReceived(packet), 0.1)
    assert (FlowEnded('refused') in ended) is is_refused
