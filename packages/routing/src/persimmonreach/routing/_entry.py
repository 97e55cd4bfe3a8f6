"""Routing table of an entry instance; it holds no flow state."""

from collections.abc import Mapping
from ipaddress import IPv4Address
from typing import Final, NamedTuple

from persimmonreach.configuration import Configuration, ConfigurationChanged
from persimmonreach.core import (
    BUCKETS_PER_SERVICE,
    Action,
    AgentId,
    BucketId,
    Endpoint,
    Event,
    FlowKey,
    Pauses,
    ServiceId,
    StateMachine,
    Tick,
    Zone,
    bucket_of,
)
from persimmonreach.membership import View, ViewChanged
from persimmonreach.packets import ForwardedPacket, HeaderCodec, PacketError

# Address and port of the service are the last 6 bytes of an IPv4 flow key.
_DESTINATION: Final = slice(-6, None)
# The router is told of the time each second; a longer silence is a pause of the
# process. Packets that waited in its socket may be older than a copy of a packet
# lives (10 s), so that agents would take them for new ones.
_PAUSE_LIMIT_S: Final = 3
_PAUSE_DRAIN_S: Final = 0.5


class Forward(NamedTuple):
    """Send the packet to the agent that is expected to own its bucket."""

    to: Endpoint
    message: ForwardedPacket


class RouteDropped(NamedTuple):
    """The packet cannot be routed.

    Attributes
    ----------
    counter
        Name of the counter for the reason.

    """

    counter: str


class RouteExplanation(NamedTuple):
    """Where the packets of a flow go, and why.

    Attributes
    ----------
    service
        Service of the destination address; None if no service has it.
    bucket
        Bucket of the flow.
    agent
        Agent that is expected to own the bucket; None if there is none.
    zone
        Availability zone of that agent.

    """

    service: ServiceId | None
    bucket: BucketId
    agent: AgentId | None
    zone: Zone | None


class EntryRouter(StateMachine):
    """Chooses the agent for each packet from the fabric.

    Parameters
    ----------
    zone
        Availability zone of the entry instance.
    headers
        Codec of the packet headers.

    """

    def __init__(self, zone: Zone, headers: HeaderCodec) -> None:
        self._zone = zone
        self._headers = headers
        self._configuration = Configuration()
        self._views: dict[ServiceId, View] = {}
        self._services: dict[bytes, ServiceId] = {}
        self._owners: dict[ServiceId, list[Endpoint | None]] = {}
        self._pauses = Pauses(_PAUSE_LIMIT_S, _PAUSE_DRAIN_S)
        self._handlers = {
            ConfigurationChanged: self._on_configuration,
            ViewChanged: self._on_view,
        }

    @property
    def configuration(self) -> Configuration:
        """Configuration that the table is built from."""
        return self._configuration

    @property
    def views(self) -> Mapping[ServiceId, View]:
        """Members of each service that the table is built from."""
        return self._views

    @property
    def is_zone_in_service(self) -> bool:
        """Whether the entry instance's own zone is in service."""
        return self._zone not in self._configuration.zones_out

    def handle(self, event: Event, now: float) -> tuple[Action, ...]:
        """Rebuild the table after a change, or note the time; no actions."""
        self._pauses.note(now)
        if not isinstance(event, Tick):
            self._handlers[type(event)](event)
        return ()

    def route(self, packet: bytes, now: float) -> Forward | RouteDropped:
        """Return where ``packet`` goes."""
        self._pauses.note(now)
        if self._pauses.may_be_stale(now):
            return RouteDropped('packets_stale')
        try:
            key = self._headers.read_inbound(packet).key
        except PacketError:
            return RouteDropped('packets_malformed')
        service = self._services.get(key[_DESTINATION])
        if service is None:
            return RouteDropped('packets_unknown_service')
        owner = self._owners[service][bucket_of(key)]
        if owner is None:
            return RouteDropped('packets_without_member')
        return Forward(owner, ForwardedPacket(service, 0, packet))

    def explain(self, key: FlowKey) -> RouteExplanation:
        """Return where the packets of a flow go, and why."""
        bucket = bucket_of(key)
        service = self._services.get(key[_DESTINATION])
        owner = None
        if service in self._views:
            zones_out = self._configuration.zones_out
            owner = self._views[service].expected_owner(bucket, zones_out)
        if owner is None:
            return RouteExplanation(service, bucket, None, None)
        return RouteExplanation(service, bucket, owner.agent, owner.zone)

    def _on_configuration(self, event: ConfigurationChanged) -> None:
        # Scoring every member of every service takes 0.3 s at full size, during
        # which no packet is forwarded; only a change of zones concerns them all.
        is_kept = event.configuration.zones_out == self._configuration.zones_out
        kept = self._owners if is_kept else {}
        self._configuration = event.configuration
        self._services = {
            IPv4Address(row.address.host).packed
            + row.address.port.to_bytes(2): row.service
            for row in event.configuration.services
        }
        self._owners = {
            service: kept.get(service) or self._build_owners(service)
            for service in self._services.values()
        }

    def _on_view(self, event: ViewChanged) -> None:
        service = event.view.service
        self._views[service] = event.view
        if service in self._owners:
            self._owners[service] = self._build_owners(service)

    def _build_owners(self, service: ServiceId) -> list[Endpoint | None]:
        view = self._views.get(service, View(service))
        owners = (
            view.expected_owner(BucketId(bucket), self._configuration.zones_out)
            for bucket in range(BUCKETS_PER_SERVICE)
        )
        return [owner.endpoint if owner else None for owner in owners]
