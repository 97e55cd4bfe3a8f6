"""Memory and idle processor time of real processes."""

from collections.abc import Iterable
from contextlib import ExitStack
from typing import Final, NamedTuple

import gevent

from persimmonreach.membership._chunks import row_messages
from persimmonreach.membership._table import MemberRow
from persimmonreach.proof.bench_base import (
    CODEC,
    Axis,
    Figure,
    Measurement,
    Report,
    Slope,
)
from persimmonreach.proof.bench_deployment import (
    Deployment,
    memory_mb,
    processor_seconds,
    read_status,
    wait_figure,
)
from persimmonreach.proof.bench_inputs import (
    AGENTS,
    ENTRIES,
    FLOWS_PER_AGENT,
    SERVICES,
    make_entries,
    make_members,
)
from persimmonreach.proof.bench_traffic import PeerSink, Sink
from persimmonreach.standins._platform import wait_for
from persimmonreach.standins._processes import Child

_BUCKETS: Final = 64
_AGENT_FLOWS: Final = (500, 1230, 2000)
_AGENT_AXIS: Final = Axis('flows', _AGENT_FLOWS, FLOWS_PER_AGENT)
_ENTRY_AXIS: Final = Axis('agents', (500, 2000, AGENTS), AGENTS)
_ENTRY_SIZES: Final = ((500, 123, 67), (2000, 491, 267), (AGENTS, SERVICES, ENTRIES))
_IDLE_S: Final = 10
# Longer than the handover of a list of entry instances (10 s).
_SETTLE_S: Final = 12
_PERCENT: Final = 100
_PAUSE_S: Final = 0.002
_MEMORY_UNIT: Final = 'MB'
_SHARE_UNIT: Final = '% of a core'


class _Idle(NamedTuple):
    memory: float
    private: float
    share: float


class IdleAgent(Measurement):
    """A real entry instance and a real agent without traffic."""

    @property
    def name(self) -> str:
        """Name for ``--only``."""
        return 'idle-agent'

    def run(self) -> Report:
        """Start both and open flows."""
        sink = Sink()
        sink.start()
        with Deployment() as deployment:
            deployment.publish(1)
            entry = deployment.start_entry('idle-entry')
            agent = deployment.start_agent('idle-agent', entry, sink.port)
            wait_figure(agent, 'buckets_owned', _BUCKETS)
            gevent.sleep(_SETTLE_S)
            first_entry, first_agent = _watch([entry, agent])
            samples: list[_Idle] = []
            for flows in _AGENT_FLOWS:
                deployment.send(entry, flows, 0, 0)
                wait_figure(agent, 'flows', flows)
                # The counts of recent first packets expire after 10 s.
                gevent.sleep(_SETTLE_S)
                samples.extend(_watch([agent]))
        sink.stop()
        figures = (
            *_figures('entry instance, one service', first_entry),
            *_figures('agent, no flow', first_agent),
        )
        return Report(figures, tuple(_agent_slopes(samples)))


class FullEntry(Measurement):
    """A real entry instance with the tables of the stated size."""

    @property
    def name(self) -> str:
        """Name for ``--only``."""
        return 'full-entry'

    def run(self) -> Report:
        """Start one entry instance at each size."""
        samples = [_measure_entry(*size) for size in _ENTRY_SIZES]
        slopes = (
            _ENTRY_AXIS.slope(
                'memory of an entry process by agents',
                _MEMORY_UNIT,
                [row.memory for row in samples],
            ),
            _ENTRY_AXIS.slope(
                'idle processor share of an entry process by agents',
                _SHARE_UNIT,
                [row.share for row in samples],
            ),
        )
        return Report(tuple(_figures('entry instance, full size', samples[-1])), slopes)


def _measure_entry(agents: int, services: int, entries: int) -> _Idle:
    with ExitStack() as stack:
        peers = PeerSink()
        peers.start()
        stack.callback(peers.stop)
        deployment = stack.enter_context(Deployment())
        deployment.publish(services)
        deployment.register(make_entries(entries)[1:], peers.port)
        entry = deployment.start_entry('entry-instance-0')
        rows = [MemberRow(member) for member in make_members(agents, services)]
        for message in row_messages(0, rows):
            peers.send(CODEC.encode(message), entry.ports['peer'])
            gevent.sleep(_PAUSE_S)
        wait_for('all members', lambda: _has_members(entry, agents))
        gevent.sleep(_SETTLE_S)
        return _watch([entry])[0]


def _has_members(entry: Child, agents: int) -> bool:
    return len(read_status(entry)['members']) >= agents


def _watch(children: list[Child]) -> list[_Idle]:
    before = [processor_seconds(child) for child in children]
    gevent.sleep(_IDLE_S)
    after = [processor_seconds(child) for child in children]
    return [
        _Idle(
            memory_mb(child),
            memory_mb(child, 'Private_Dirty'),
            (end - start) / _IDLE_S * _PERCENT,
        )
        for child, start, end in zip(children, before, after, strict=True)
    ]


def _figures(who: str, idle: _Idle) -> Iterable[Figure]:
    yield Figure(f'resident memory, {who}', idle.memory, _MEMORY_UNIT)
    yield Figure(f'private dirty memory, {who}', idle.private, _MEMORY_UNIT)
    yield Figure(f'idle processor share, {who}', idle.share, _SHARE_UNIT)


def _agent_slopes(samples: list[_Idle]) -> Iterable[Slope]:
    memory = [row.memory for row in samples]
    share = [row.share for row in samples]
    title = 'memory of an agent process by flows'
    yield _AGENT_AXIS.slope(title, _MEMORY_UNIT, memory)
    name = 'idle processor share of an agent process by flows'
    yield _AGENT_AXIS.slope(name, _SHARE_UNIT, share)
