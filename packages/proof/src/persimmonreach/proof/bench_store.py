"""Publishing into a store in memory."""

import random
from collections.abc import Sequence

from persimmonreach.configuration import (
    Declarations,
    Publisher,
    PublisherSettings,
    ServiceConfig,
    StoreValue,
    Timing,
)
from persimmonreach.core import ManualClock, ServiceId
from persimmonreach.proof.bench_inputs import SEED, ZONES, make_services
from persimmonreach.standins.store_fake import FakeStore

_WALL_MS = 1_780_000_000_000


def make_publisher(store: FakeStore, clock: ManualClock) -> Publisher:
    """Return a publisher in virtual time."""
    timing = Timing(clock, _wall_ms, clock.advance)
    return Publisher(PublisherSettings('bench'), store, timing, random.Random(SEED))


def make_declarations(count: int) -> Declarations:
    """Return declarations of ``count`` services."""
    services = [_declared(service) for service in make_services(count)]
    return Declarations(tuple(sorted(services, key=_name_of)), frozenset(ZONES))


def changed_declarations(count: int) -> Declarations:
    """Return the declarations with one changed service."""
    declarations = make_declarations(count)
    first = declarations.services[0]
    changed = first._replace(connections=first.connections + 1)
    return declarations._replace(services=(changed, *declarations.services[1:]))


def published_store(count: int) -> FakeStore:
    """Return a store that holds ``count`` published services."""
    clock = ManualClock()
    store = FakeStore(clock)
    publisher = make_publisher(store, clock)
    publisher.publish(publisher.plan(make_declarations(count)))
    return store


def published_keys(count: int) -> Sequence[StoreValue]:
    """Return all keys of a store that holds ``count`` published services."""
    return published_store(count).list_prefix('').rows


def _declared(service: ServiceConfig) -> ServiceConfig:
    return service._replace(
        service=ServiceId(0),
        version=0,
        slow_start_floor=float(service.slots),
    )


def _name_of(service: ServiceConfig) -> str:
    return service.name


def _wall_ms() -> int:
    return _WALL_MS
