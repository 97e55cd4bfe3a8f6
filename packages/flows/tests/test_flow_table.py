"""Guards against dead flows that stay open and quiet but healthy flows that are ended."""

import pytest

from persimmonreach.core import Deliver, Endpoint, Reply, Tick
from persimmonreach.flows import (
    AdoptFlows,
    BackendPacket,
    CallerPacket,
    EndAllFlows,
    EndReason,
    FlowClosed,
    FlowTable,
    OpenFlow,
    ProbeSettings,
)
from persimmonreach.packets import ACK, FIN, RST, Ipv4TcpCodec
from persimmonreach.packets.builder import (
    FlowEnds,
    Segment,
    build_inbound,
    build_outbound,
    flow_key,
)

KEY = flow_key(FlowEnds(Endpoint('10.0.0.9', 40000), Endpoint('10.9.0.1', 443)))
CODEC = Ipv4TcpCodec()
LONGEST_SILENCE_S = 45


def run(table: FlowTable, caller_answers: bool, backend_answers: bool) -> float | None:
    """Return when the flow was ended during ten minutes without traffic."""
    for second in range(600):
        for action in table.handle(Tick(), float(second)):
            if isinstance(action, FlowClosed):
                return float(second)
            if isinstance(action, Reply) and caller_answers:
                packet = build_inbound(KEY, Segment(ACK, 5, 9))
                table.handle(CallerPacket(CODEC.read_inbound(packet)), float(second))
            if isinstance(action, Deliver) and backend_answers:
                packet = build_outbound(KEY, Segment(ACK, 9, 5))
                table.handle(BackendPacket(CODEC.read_outbound(packet)), float(second))
    return None


@pytest.mark.parametrize('event', [OpenFlow(KEY), AdoptFlows((KEY,))])
@pytest.mark.parametrize('caller', [True, False])
@pytest.mark.parametrize('backend', [True, False])
def test_only_flows_with_a_dead_end_are_ended(
    event: OpenFlow | AdoptFlows,
    caller: bool,
    backend: bool,
) -> None:
    table = FlowTable(ProbeSettings())
    table.handle(event, 0)
    ended = run(table, caller, backend)
    if caller and backend:
        assert ended is None
    else:
        assert ended is not None
        assert ended <= LONGEST_SILENCE_S


def test_without_probing_a_dead_flow_stays() -> None:
    table = FlowTable(ProbeSettings(enabled=False))
    table.handle(OpenFlow(KEY), 0)
    assert run(table, caller_answers=False, backend_answers=False) is None


def test_ending_resets_both_ends() -> None:
    table = FlowTable(ProbeSettings())
    table.handle(OpenFlow(KEY), 0)
    packet = build_inbound(KEY, Segment(ACK, 100, 200))
    table.handle(CallerPacket(CODEC.read_inbound(packet)), 0)
    reply, deliver = table.handle(EndAllFlows(EndReason.ZONE_OUT), 1)[:2]
    reset = CODEC.read_outbound(reply.packet)
    assert reset.flags & RST
    assert reset.sequence == 200
    assert CODEC.read_inbound(deliver.packet).flags & RST
    assert not table.holds(KEY)


def test_a_caller_whose_reset_was_lost_gets_it_again_when_a_zone_is_out() -> None:
    table = FlowTable(ProbeSettings())
    table.handle(OpenFlow(KEY), 0)
    reset = table.handle(EndAllFlows(EndReason.ZONE_OUT), 1)[0]
    repeated = [
        action for tenth in range(100) for action in table.handle(Tick(), 1 + tenth / 10)
    ]
    assert repeated == [reset, reset]


def test_a_half_closed_flow_stays_until_both_ends_closed() -> None:
    table = FlowTable(ProbeSettings())
    table.handle(OpenFlow(KEY), 0)
    packet = build_inbound(KEY, Segment(FIN | ACK))
    table.handle(CallerPacket(CODEC.read_inbound(packet)), 0)
    assert table.holds(KEY)
    packet = build_outbound(KEY, Segment(FIN | ACK))
    table.handle(BackendPacket(CODEC.read_outbound(packet)), 0)
    assert not table.holds(KEY)
