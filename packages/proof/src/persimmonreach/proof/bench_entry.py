"""Routing table of an entry instance by addresses and backend servers."""

import random
from typing import Final, NamedTuple

from persimmonreach.configuration import ConfigurationChanged
from persimmonreach.membership import ViewChanged
from persimmonreach.packets import ACK, Ipv4TcpCodec
from persimmonreach.proof.bench_base import (
    KILOBYTE,
    MICROSECONDS,
    Axis,
    Figure,
    Measurement,
    Report,
    measure_memory,
    time_calls,
)
from persimmonreach.proof.bench_inputs import (
    AGENTS,
    SEED,
    ZONES,
    make_configuration,
    make_keys,
    make_members,
    make_packet,
    make_views,
)
from persimmonreach.routing import EntryRouter

# Addresses and backend servers grow together, as in the users' deployments.
_SIZES: Final = ((100, 500), (400, 2000), (1400, 5700))
_AXIS: Final = Axis('backend servers', (500, 2000, AGENTS), AGENTS)
_PACKETS: Final = 2000
_CHANGES: Final = 20
_MILLISECONDS: Final = 1000


class _Sample(NamedTuple):
    memory_kb: float
    packet_us: float
    member_change_ms: float
    configuration_ms: float
    zones_ms: float
    noise: float


class EntryTable(Measurement):
    """Memory and times of ``EntryRouter``."""

    @property
    def name(self) -> str:
        """Name for ``--only``."""
        return 'entry-table'

    def run(self) -> Report:
        """Measure all sizes."""
        samples = [_measure(services, agents) for services, agents in _SIZES]
        names = (
            ('memory of the routing table', 'KB', 'memory_kb'),
            ('time to route a packet', 'us', 'packet_us'),
            ('time to apply one member change', 'ms', 'member_change_ms'),
            ('time to apply one configuration change', 'ms', 'configuration_ms'),
            ('time to apply one change of zones', 'ms', 'zones_ms'),
        )
        slopes = _AXIS.slopes(names, samples)
        noise = max(row.noise for row in samples)
        return Report((Figure('noise of the times', noise, 'worst/best'),), slopes)


def _measure(services: int, agents: int) -> _Sample:
    router, memory = measure_memory(lambda: _build(services, agents))
    packets = [make_packet(key, ACK) for key in make_keys(_PACKETS, services)]
    views = random.Random(SEED).sample(list(router.views.values()), _CHANGES)
    configuration = ConfigurationChanged(router.configuration)
    packet = time_calls(lambda: [router.route(packet, 0) for packet in packets])
    member = time_calls(lambda: [router.handle(ViewChanged(view), 0) for view in views])
    change = time_calls(lambda: router.handle(configuration, 0))
    zones = time_calls(lambda: _move_zone(router))
    return _Sample(
        memory / KILOBYTE,
        packet.best / _PACKETS * MICROSECONDS,
        member.best / _CHANGES * _MILLISECONDS,
        change.best * _MILLISECONDS,
        zones.best / 2 * _MILLISECONDS,
        max(packet.noise, member.noise, change.noise, zones.noise),
    )


def _move_zone(router: EntryRouter) -> None:
    present = router.configuration
    without = present._replace(zones_out=frozenset(ZONES[:1]))
    for configuration in (without, present):
        router.handle(ConfigurationChanged(configuration), 0)


def _build(services: int, agents: int) -> EntryRouter:
    router = EntryRouter(ZONES[0], Ipv4TcpCodec())
    router.handle(ConfigurationChanged(make_configuration(services)), 0)
    for view in make_views(make_members(agents, services)):
        router.handle(ViewChanged(view), 0)
    return router
