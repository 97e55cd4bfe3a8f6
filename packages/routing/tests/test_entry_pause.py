"""Guards against packets that an entry instance forwards long after they arrived."""

import pytest

from persimmonreach.configuration import (
    Configuration,
    ConfigurationChanged,
    ServiceConfig,
)
from persimmonreach.core import Endpoint, ServiceId, Tick, Zone
from persimmonreach.membership import Member, MemberState, View, ViewChanged
from persimmonreach.packets import SYN, Ipv4TcpCodec
from persimmonreach.packets.builder import FlowEnds, Segment, build_inbound, flow_key
from persimmonreach.routing import EntryRouter, Forward, RouteDropped

SERVICE = ServiceConfig(ServiceId(1), 'counter', Endpoint('10.9.0.1', 80), 3)
KEY = flow_key(FlowEnds(Endpoint('10.0.0.1', 2000), SERVICE.address))
PACKET = build_inbound(KEY, Segment(SYN))


@pytest.fixture
def router():
    made = EntryRouter(Zone('a'), Ipv4TcpCodec())
    member = Member(
        'a1', 1, SERVICE.service, Zone('a'), Endpoint('127.0.0.1', 1), MemberState.ACTIVE
    )
    configuration = Configuration(1, (SERVICE,), frozenset(('a',)))
    made.handle(ConfigurationChanged(configuration), 100)
    made.handle(ViewChanged(View(SERVICE.service, (member,))), 100)
    return made


def test_packets_that_waited_in_a_pause_are_dropped(router) -> None:
    router.handle(Tick(), 101)
    assert router.route(PACKET, 113) == RouteDropped('packets_stale')
    router.handle(Tick(), 113.1)
    assert router.route(PACKET, 113.4) == RouteDropped('packets_stale')
    assert isinstance(router.route(PACKET, 114), Forward)


def test_a_quiet_router_drops_nothing(router) -> None:
    for second in range(101, 130):
        router.handle(Tick(), second)
    assert isinstance(router.route(PACKET, 129.9), Forward)
