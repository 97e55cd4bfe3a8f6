"""Packet path of one entry instance and one agent as real processes."""

from typing import Any, Final, NamedTuple

import gevent

from persimmonreach.proof.bench_base import (
    MICROSECONDS,
    Axis,
    Figure,
    Measurement,
    Report,
    Slope,
)
from persimmonreach.proof.bench_deployment import (
    Deployment,
    processor_seconds,
    wait_figure,
)
from persimmonreach.proof.bench_inputs import ENTRIES, FLOWS, NEW_FLOWS_PER_S
from persimmonreach.proof.bench_traffic import Sink

_FLOWS: Final = 1000
_RATES: Final = (1000, 4000, 8000, 12_000)
_FLOOD: Final = 60_000
_SECONDS: Final = 3.0
_SETTLE_S: Final = 0.5
_BUCKETS: Final = 64
# Packets of a caller for one short flow: SYN, ACK, one request, FIN, ACK.
_PACKETS_PER_NEW_FLOW: Final = 5
# Long flows of the users' deployments carry one request in 4 s and the
# acknowledgement of its answer.
_PACKETS_PER_FLOW_S: Final = 0.5
# Share of a core to plan with, so that a burst is not lost.
_UTILIZATION: Final = 0.7


class _Load(NamedTuple):
    rate: float
    delivered: float
    entry: float
    agent: float


class PacketPath(Measurement):
    """Packets per second and processor time per packet."""

    @property
    def name(self) -> str:
        """Name for ``--only``."""
        return 'packet-path'

    def run(self) -> Report:
        """Start the processes and send packets at several rates."""
        sink = Sink()
        sink.start()
        with Deployment() as deployment:
            deployment.publish(1)
            entry = deployment.start_entry('bench-entry')
            agent = deployment.start_agent('bench-agent', entry, sink.port)
            wait_figure(agent, 'buckets_owned', _BUCKETS)
            opened = _open_flows(deployment, entry, agent)
            processes = (entry, agent)
            loads = [
                _apply(deployment, processes, sink, rate) for rate in (*_RATES, _FLOOD)
            ]
        sink.stop()
        return _report(loads, opened)


def _open_flows(deployment: Deployment, entry: Any, agent: Any) -> Figure:
    before = processor_seconds(agent)
    deployment.send(entry, _FLOWS, 0, 0)
    wait_figure(agent, 'flows', _FLOWS)
    spent = (processor_seconds(agent) - before) / _FLOWS * MICROSECONDS
    return Figure('processor time of an agent to admit a flow', spent, 'us')


def _apply(deployment: Deployment, processes: Any, sink: Sink, rate: int) -> _Load:
    before = [processor_seconds(process) for process in processes]
    counted = sink.datagrams
    sent, seconds = deployment.send(processes[0], _FLOWS, rate, _SECONDS)
    gevent.sleep(_SETTLE_S)
    spent = [processor_seconds(process) for process in processes]
    delivered = sink.datagrams - counted
    # Queued packets still arrive while the processes settle.
    window = seconds if rate < _FLOOD else seconds + _SETTLE_S
    return _Load(
        sent / seconds,
        delivered / window,
        (spent[0] - before[0]) / delivered * MICROSECONDS,
        (spent[1] - before[1]) / delivered * MICROSECONDS,
    )


def _report(loads: list[_Load], opened: Figure) -> Report:
    steady = loads[:-1]
    flood = loads[-1]
    slopes = (
        _slope('entry instance', [load.entry * load.rate for load in steady], steady),
        _slope('agent', [load.agent * load.rate for load in steady], steady),
    )
    entry_us = slopes[0].fit.slope * MICROSECONDS
    agent_us = slopes[1].fit.slope * MICROSECONDS
    delivered = [
        Figure(f'packets delivered of {load.rate:.0f}/s', load.delivered, 'packets/s')
        for load in loads
    ]
    figures = (
        opened,
        *delivered,
        Figure('processor time of an entry instance per packet', entry_us, 'us'),
        Figure('processor time of an agent per packet', agent_us, 'us'),
        Figure('the same in the flood, entry instance', flood.entry, 'us'),
        Figure('the same in the flood, agent', flood.agent, 'us'),
        *_instances(MICROSECONDS / max(entry_us, flood.entry)),
    )
    return Report(figures, slopes)


def _slope(who: str, spent: list[float], loads: list[_Load]) -> Slope:
    rates = tuple(load.rate for load in loads)
    shares = tuple(share / MICROSECONDS for share in spent)
    name = f'core of an {who} by packet rate'
    design = NEW_FLOWS_PER_S * _PACKETS_PER_NEW_FLOW + FLOWS * _PACKETS_PER_FLOW_S
    return Axis('packets/s', rates, design / ENTRIES).slope(name, 'cores', shares)


def _instances(capacity: float) -> tuple[Figure, ...]:
    new = NEW_FLOWS_PER_S * _PACKETS_PER_NEW_FLOW
    held = FLOWS * _PACKETS_PER_FLOW_S
    usable = capacity * _UTILIZATION
    return (
        Figure('packets/s of one entry instance with a full core', capacity, 'packets/s'),
        Figure('packets/s of new flows at the stated size', new, 'packets/s'),
        Figure('packets/s of open flows at the stated size', held, 'packets/s'),
        Figure('entry instances for the new flows', new / usable, 'instances'),
        Figure(
            'entry instances for new and open flows', (new + held) / usable, 'instances'
        ),
    )
