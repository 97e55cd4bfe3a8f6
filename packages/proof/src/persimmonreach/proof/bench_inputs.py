"""Generated members, entry instances, configurations and packets."""

import random
from collections.abc import Iterator
from typing import Final

from persimmonreach.configuration import Configuration, EntryInstance, ServiceConfig
from persimmonreach.core import (
    AgentId,
    Endpoint,
    EntryId,
    FlowKey,
    Incarnation,
    ServiceId,
    Zone,
)
from persimmonreach.membership import Member, MembershipSettings, MemberState, View
from persimmonreach.membership._table import digest_members
from persimmonreach.packets.builder import FlowEnds, Segment, build_inbound, flow_key

SERVICES: Final = 1400
AGENTS: Final = 5700
ENTRIES: Final = 760
FLOWS: Final = 7_000_000
FLOWS_PER_AGENT: Final = FLOWS / AGENTS
NEW_FLOWS_PER_S: Final = 70_000
ZONES: Final = (
    Zone('region-0-zone-0'),
    Zone('region-1-zone-1'),
    Zone('region-0-zone-2'),
    Zone('region-1-zone-3'),
    Zone('region-0-zone-4'),
)
# Heartbeats every 2 s with the lease and fence that the design page states.
FULL_SIZE: Final = MembershipSettings(heartbeat_s=2, lease_s=6, fence_s=8)
SEED: Final = 11
_SERVICE_PORT: Final = 443
_PEER_PORT: Final = 7400
_OCTET: Final = 250
_SERVICE_NETWORK: Final = 9
_AGENT_NETWORK: Final = 20
_ENTRY_NETWORK: Final = 30
_CALLER_NETWORK: Final = 40
_FIRST_CALLER_PORT: Final = 1024
_CALLER_PORTS: Final = 60_000
_INCARNATION: Final = 1_780_000_000_000


def address_of(number: int, network: int) -> str:
    """Return a private address of one of the ``network`` numbers."""
    high, low = divmod(number, _OCTET)
    last = low + 1
    return f'10.{network}.{high}.{last}'


def make_services(count: int) -> tuple[ServiceConfig, ...]:
    """Return declared services with ids from 1."""
    return tuple(
        ServiceConfig(
            ServiceId(number + 1),
            f'team-service-{number}',
            Endpoint(address_of(number, _SERVICE_NETWORK), _SERVICE_PORT),
            slots=3,
            version=1,
        )
        for number in range(count)
    )


def make_configuration(count: int, version: int = 1) -> Configuration:
    """Return a configuration with ``count`` services."""
    return Configuration(version, make_services(count), frozenset(ZONES))


def make_member(number: int, service: int) -> Member:
    """Return one active member."""
    return Member(
        AgentId(f'backend-server-{number}'),
        Incarnation(_INCARNATION + number),
        ServiceId(service),
        ZONES[number % len(ZONES)],
        Endpoint(address_of(number, _AGENT_NETWORK), _PEER_PORT),
        MemberState.ACTIVE,
    )


def make_members(count: int, services: int) -> list[Member]:
    """Return members spread evenly over services with ids from 1."""
    return [make_member(number, number % services + 1) for number in range(count)]


def make_views(members: list[Member]) -> list[View]:
    """Return one view for each service."""
    rows: dict[ServiceId, list[Member]] = {}
    for member in members:
        rows.setdefault(member.service, []).append(member)
    return [
        View(service, tuple(sorted(listed)), digest_members(listed))
        for service, listed in rows.items()
    ]


def make_entries(count: int) -> tuple[EntryInstance, ...]:
    """Return entry instances spread evenly over the zones."""
    return tuple(
        EntryInstance(
            EntryId(f'entry-instance-{number}'),
            ZONES[number % len(ZONES)],
            Endpoint(address_of(number, _ENTRY_NETWORK), _PEER_PORT),
        )
        for number in range(count)
    )


def make_keys(count: int, services: int = 1, seed: int = SEED) -> list[FlowKey]:
    """Return different flow keys toward services with ids from 1."""
    return list(_generate_keys(count, services, random.Random(seed)))


def make_packet(key: FlowKey, flags: int, payload: bytes = b'') -> bytes:
    """Return a packet of a caller."""
    return build_inbound(key, Segment(flags, sequence=1, payload=payload))


def _generate_keys(
    count: int,
    services: int,
    rng: random.Random,
) -> Iterator[FlowKey]:
    for number in range(count):
        host = address_of(
            number // _CALLER_PORTS + rng.randrange(_OCTET) * 4, _CALLER_NETWORK
        )
        port = _FIRST_CALLER_PORT + number % _CALLER_PORTS
        service = Endpoint(
            address_of(rng.randrange(services), _SERVICE_NETWORK), _SERVICE_PORT
        )
        yield flow_key(FlowEnds(Endpoint(host, port), service))
