"""Memory, processor time and handovers of an agent by flows."""

import itertools
import time
from collections.abc import Iterator, Sequence
from typing import Any, Final, NamedTuple

from persimmonreach.admission import TwoChoices
from persimmonreach.core import FlowKey, Received, Tick, bucket_of
from persimmonreach.flows import FlowTable, OpenFlow, ProbeSettings
from persimmonreach.membership import LeaseRenewed
from persimmonreach.ownership.messages import MESSAGE_TYPES as OWNERSHIP_TYPES
from persimmonreach.packets import ACK, SYN, ForwardedPacket
from persimmonreach.proof.bench_base import (
    KILOBYTE,
    MICROSECONDS,
    REPETITIONS,
    Axis,
    Figure,
    Measurement,
    Report,
    Timing,
    datagram_bytes,
    measure_memory,
    time_calls,
)
from persimmonreach.proof.bench_inputs import FLOWS_PER_AGENT, make_keys, make_packet
from persimmonreach.proof.bench_node import Node
from persimmonreach.proof.bench_world import TICK_S, World

_SERVERS: Final = 7
_SIZES: Final = (500, 1230, 2000)
_AXIS: Final = Axis('flows per agent', _SIZES, FLOWS_PER_AGENT)
_PACKETS: Final = 1000
_TICKS: Final = 10
_SILENT_S: Final = 30
_PROBE_S: Final = 5
_PACKETS_PER_STEP: Final = 100
_START_S: Final = 20
# Recent first packets are forgotten after 10 s.
_SETTLE_S: Final = 12
_HANDOVER_S: Final = 10
_MILLISECONDS: Final = 1000
_PERCENT: Final = 100
_OWNERSHIP_MESSAGES: Final = tuple(OWNERSHIP_TYPES.values())
_NAMES: Final = (
    ('memory of an agent for its flows', 'KB', 'memory_kb'),
    ('time of a tick of an agent, mean of 10 ticks', 'us', 'tick_us'),
    ('time to probe both ends of a silent flow', 'us', 'probing_us'),
    ('processor share of the ticks of an agent', '% of a core', 'tick_share'),
    ('time of a packet of a local flow', 'us', 'local_us'),
    ('time of a packet that the directory forwards', 'us', 'directory_us'),
    ('handover messages when one of 7 agents drains', 'datagrams', 'datagrams'),
    ('handover bytes when one of 7 agents drains', 'KB', 'handover_kb'),
    ('bytes of the handover of one bucket', 'B', 'bucket_bytes'),
    ('processor time of a handover, all 7 agents', 'ms', 'handover_ms'),
)


class _Sample(NamedTuple):
    memory_kb: float
    tick_us: float
    probing_us: float
    tick_share: float
    local_us: float
    directory_us: float
    datagrams: float
    handover_kb: float
    bucket_bytes: float
    handover_ms: float
    noise: float


class OwnershipTraffic:
    """Counts the messages about tokens and flows."""

    def __init__(self) -> None:
        self.datagrams = 0
        self.octets = 0

    def __call__(self, message: Any) -> None:
        """Count one message between agents."""
        if isinstance(message, _OWNERSHIP_MESSAGES):
            self.datagrams += 1
            self.octets += datagram_bytes(message)


class _Handover(NamedTuple):
    datagrams: int
    octets: int
    buckets: int
    seconds: float


class AgentFlows(Measurement):
    """Costs of an agent by flows on its backend server."""

    @property
    def name(self) -> str:
        """Name for ``--only``."""
        return 'agent-flows'

    def run(self) -> Report:
        """Measure all sizes."""
        samples = [_measure(flows) for flows in _SIZES]
        slopes = _AXIS.slopes(_NAMES, samples)
        noise = max(row.noise for row in samples)
        return Report((Figure('noise of the times', noise, 'worst/best'),), slopes)


def _measure(flows: int) -> _Sample:
    traffic = OwnershipTraffic()
    world = World(TwoChoices(), traffic)
    for number in range(_SERVERS):
        world.add(number)
    world.run(_START_S)
    keys = make_keys(flows * _SERVERS)
    _, memory = measure_memory(lambda: _open(world, keys))
    packets = _time_node(world, keys)
    handover = _hand_over(world, traffic)
    times = [_time_ticks(world), _time_probing(keys[:flows]), *packets]
    return _Sample(
        memory / _SERVERS / KILOBYTE,
        times[0].best * MICROSECONDS,
        times[1].best * MICROSECONDS,
        times[0].best / TICK_S * _PERCENT,
        times[2].best * MICROSECONDS,
        times[3].best * MICROSECONDS,
        handover.datagrams,
        handover.octets / KILOBYTE,
        handover.octets / handover.buckets,
        handover.seconds * _MILLISECONDS,
        max(timing.noise for timing in times),
    )


def _time_node(world: World, keys: Sequence[FlowKey]) -> list[Timing]:
    node = world.active[0]
    return [
        _time_packets(world, node, _local_keys(node, keys)),
        _time_packets(world, node, _directory_keys(node, keys)),
    ]


def _time_ticks(world: World) -> Timing:
    node = world.active[0]
    # The ticks run ahead of the other agents and of the heartbeats.
    lease = LeaseRenewed(world.now + _TICKS)
    node.router.handle(lease, world.now)
    ticks = itertools.count()
    timing = time_calls(lambda: _tick(node, ticks, world.now))
    return _per_call(timing, _TICKS)


def _per_call(timing: Timing, calls: int) -> Timing:
    return timing._replace(best=timing.best / calls)


def _hand_over(world: World, traffic: OwnershipTraffic) -> _Handover:
    node = world.active[0]
    before = (traffic.datagrams, traffic.octets, len(node.parts.ownership.owned))
    started = time.process_time()
    world.drain(node)
    world.run(_HANDOVER_S)
    spent = time.process_time() - started
    return _Handover(
        traffic.datagrams - before[0],
        traffic.octets - before[1],
        before[2],
        spent - _time_idle(world),
    )


def _tick(node: Node, ticks: Iterator[int], now: float) -> None:
    for tick in itertools.islice(ticks, _TICKS):
        node.router.handle(Tick(), now + tick * TICK_S)


def _time_probing(keys: Sequence[FlowKey]) -> Timing:
    now = iter(range(_SILENT_S, _SILENT_S * REPETITIONS, _PROBE_S))
    table = FlowTable(ProbeSettings(probes=REPETITIONS))
    for key in keys:
        table.handle(OpenFlow(key), 0)
    timing = time_calls(lambda: table.handle(Tick(), next(now)))
    return _per_call(timing, len(keys))


def _time_idle(world: World) -> float:
    started = time.process_time()
    world.run(_HANDOVER_S)
    return time.process_time() - started


def _open(world: World, keys: Sequence[FlowKey]) -> None:
    for first in range(0, len(keys), _PACKETS_PER_STEP):
        for key in keys[first : first + _PACKETS_PER_STEP]:
            world.send_packet(make_packet(key, SYN))
        world.run(TICK_S)
    world.run(_SETTLE_S)


def _local_keys(node: Node, keys: Sequence[FlowKey]) -> list[FlowKey]:
    return [key for key in keys if node.parts.flows.holds(key)][:_PACKETS]


def _directory_keys(node: Node, keys: Sequence[FlowKey]) -> list[FlowKey]:
    owned = node.parts.ownership.owned
    holds = node.parts.flows.holds
    return [key for key in keys if bucket_of(key) in owned and not holds(key)][:_PACKETS]


def _time_packets(world: World, node: Node, keys: list[FlowKey]) -> Timing:
    service = node.member.service
    sender = node.member.endpoint
    events = [
        Received(sender, ForwardedPacket(service, 0, make_packet(key, ACK)))
        for key in keys
    ]
    timing = time_calls(lambda: [node.router.handle(row, world.now) for row in events])
    return _per_call(timing, len(events))
