"""Dependencies of the commands, and the result of waiting for a version."""

import time
from collections.abc import Callable
from typing import NamedTuple, TypeAlias

from persimmonreach.control.adapters import GrpcOperatorClient, OperatorClient
from persimmonreach.core import Clock, Endpoint, MonotonicClock
from persimmonreach.platform.store import PlatformStore
from persimmonreach.store import Store


class WaitResult(NamedTuple):
    """Result of waiting until a version is in force.

    Attributes
    ----------
    result
        ``in_force``, ``lagging``, ``not_confirmed`` or ``not_waited``.
    version
        Version that all entry instances and agents should have.
    seconds
        Seconds waited.
    lagging
        Descriptions of the processes that have an older version or did not reply.
    unknown
        Descriptions of the processes whose version no reply contains.

    """

    result: str
    version: int
    seconds: float = 0
    lagging: tuple[str, ...] = ()
    unknown: tuple[str, ...] = ()


# Waits until a version is in force; takes the version, the control endpoints of
# entry instances and the timeout in seconds.
AwaitVersion: TypeAlias = Callable[[int, tuple[Endpoint, ...], float], WaitResult]


class Dependencies(NamedTuple):
    """Objects and functions on which the commands depend.

    Attributes
    ----------
    store_factory
        Creates a client of the store at an endpoint.
    operator_client
        Client that calls the control ports of entry instances.
    clock
        Monotonic clock.
    sleep
        Function that sleeps for a number of seconds.
    await_version
        Replacement for ``VersionWaiter.wait``; None to use the latter.

    """

    store_factory: Callable[[Endpoint], Store] = PlatformStore
    operator_client: OperatorClient = GrpcOperatorClient()
    clock: Clock = MonotonicClock()
    sleep: Callable[[float], None] = time.sleep
    await_version: AwaitVersion | None = None
