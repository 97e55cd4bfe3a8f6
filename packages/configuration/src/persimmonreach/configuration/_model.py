"""Service configuration and declarations."""

from typing import Final, NamedTuple

from persimmonreach.core import Endpoint, ServiceId, Zone
from persimmonreach.rules import DEFAULT_CLASS, TrafficClass

DEFAULT_CONNECTIONS: Final = 2000
DEFAULT_LARGEST_DEADLINE_MS: Final = 5000
DEFAULT_RETRY_BUDGET: Final = 0.1


class ServiceConfig(NamedTuple):
    """Configuration of one declared service.

    Attributes
    ----------
    service
        Id that is assigned once and never reused.
    name
        Name in the declaration.
    address
        Address and port to which callers connect.
    slots
        Maximum number of concurrent requests to a warm backend server.
    slow_start_floor
        Maximum number of concurrent requests to a cold backend server; may be a
        fraction.
    connections
        Maximum number of concurrent flows to a warm backend server.
    largest_deadline_ms
        Upper limit for the deadlines of requests, in milliseconds; longer
        deadlines are reduced to it.
    retry_budget
        Fraction of requests that may be retried, from 0 to 1.
    drain_deadline_s
        Seconds from the start of draining until the remaining flows of a backend
        server are reset; 0 means never.
    version
        Configuration version that last changed this service.
    traffic_class
        Class of service of the requests; ``DEFAULT_CLASS`` if none is declared.

    """

    service: ServiceId
    name: str
    address: Endpoint
    slots: int
    slow_start_floor: float = 1
    connections: int = DEFAULT_CONNECTIONS
    largest_deadline_ms: int = DEFAULT_LARGEST_DEADLINE_MS
    retry_budget: float = DEFAULT_RETRY_BUDGET
    drain_deadline_s: float = 0
    version: int = 0
    traffic_class: TrafficClass = DEFAULT_CLASS


class Declarations(NamedTuple):
    """Validated content of all declaration files.

    Attributes
    ----------
    services
        Declared services with id 0 and version 0, ordered by name.
    zones
        Declared availability zones.

    """

    services: tuple[ServiceConfig, ...]
    zones: frozenset[Zone]
