"""Guards against rows of the routing table that outlive the change they depend on."""

import pytest

from persimmonreach.configuration import ConfigurationChanged
from persimmonreach.membership import ViewChanged
from persimmonreach.packets import ACK, Ipv4TcpCodec
from persimmonreach.proof.bench_inputs import (
    ZONES,
    make_configuration,
    make_keys,
    make_members,
    make_packet,
    make_views,
)
from persimmonreach.routing import EntryRouter

SERVICES = 4
FEW, ALL = make_configuration(2), make_configuration(SERVICES)
ZONE_OUT = ALL._replace(zones_out=frozenset(ZONES[:2]))


def _apply(configurations, views):
    router = EntryRouter(ZONES[0], Ipv4TcpCodec())
    for event in (*map(ViewChanged, views), *map(ConfigurationChanged, configurations)):
        router.handle(event, 0)
    return router


@pytest.mark.parametrize(
    'history',
    [(ALL, FEW, ALL), (FEW, ALL), (ALL, ZONE_OUT), (ZONE_OUT, ALL), (ALL, ZONE_OUT, FEW)],
)
def test_table_after_changes_equals_one_built_anew(history):
    views = make_views(make_members(20, SERVICES))
    changed, fresh = _apply(history, views), _apply(history[-1:], views)
    for key in make_keys(200, SERVICES):
        packet = make_packet(key, ACK)
        assert changed.route(packet, 0) == fresh.route(packet, 0)
