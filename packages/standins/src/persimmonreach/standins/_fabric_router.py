"""Decides where the fabric sends a packet, and after which delay."""

import ipaddress
import random
from typing import Final, NamedTuple

from persimmonreach.core import Endpoint, FlowKey
from persimmonreach.packets import Ipv4TcpCodec, PacketError

# The source address is the fourth word of the IPv4 header (RFC 791).
_WORD_BYTES: Final = 4
_SOURCE_ADDRESS: Final = slice(3 * _WORD_BYTES, 4 * _WORD_BYTES)
# Address and port of the caller in a flow key.
_CALLER_ENDPOINT: Final = slice(1, 7)
_CALLER_HOST: Final = slice(1, 5)
_MS_PER_S: Final = 1000


class Quality(NamedTuple):
    """Simulated quality of the network between callers and entry instances.

    Attributes
    ----------
    loss
        Share of packets that are dropped.
    duplication
        Share of packets that are delivered twice.
    delay_ms
        One-way delay, in milliseconds.
    variation_ms
        Largest additional delay, in milliseconds; drawn for each packet.
    caller_delays_ms
        One-way delay by address of the caller, in place of ``delay_ms``.

    """

    loss: float = 0
    duplication: float = 0
    delay_ms: float = 0
    variation_ms: float = 0
    caller_delays_ms: dict[str, float] = {}


class EntryAddress(NamedTuple):
    """Addresses of an entry instance."""

    id: str
    host: str
    fabric_port: int
    http_port: int


class ScheduledPacket(NamedTuple):
    """A packet to send after a delay."""

    delay_s: float
    destination: Endpoint
    packet: bytes


class FabricRouter:
    """Routes packets between callers and entry instances.

    The endpoint of a caller is learned from the packets that it sends.

    Parameters
    ----------
    caller_network
        Network of the callers' addresses, for example ``10.1.0.0/16``.
    rng
        Source of the random choices.

    """

    def __init__(self, caller_network: str, rng: random.Random) -> None:
        network = ipaddress.IPv4Network(caller_network)
        self._netmask = int(network.netmask)
        self._network_address = int(network.network_address)
        self._rng = rng
        self._headers = Ipv4TcpCodec()
        self._caller_endpoints: dict[bytes, Endpoint] = {}
        self._forgotten_flows: set[FlowKey] = set()
        self.quality = Quality()
        self.ready_entries: tuple[EntryAddress, ...] = ()
        self.counters: dict[str, int] = {}

    def forget_flow(self, key: FlowKey) -> None:
        """Drop all further packets of a flow, like a middlebox that lost its state."""
        self._forgotten_flows.add(key)

    def route(self, packet: bytes, sender: Endpoint) -> tuple[ScheduledPacket, ...]:
        """Return the copies of a packet to send; none if it is dropped."""
        try:
            return self._route(packet, sender)
        except PacketError:
            return self._drop('malformed')

    def _route(self, packet: bytes, sender: Endpoint) -> tuple[ScheduledPacket, ...]:
        if self._is_inbound(packet):
            return self._route_inbound(packet, sender)
        return self._route_outbound(packet)

    def _is_inbound(self, packet: bytes) -> bool:
        source = int.from_bytes(packet[_SOURCE_ADDRESS])
        return source & self._netmask == self._network_address

    def _route_inbound(
        self, packet: bytes, sender: Endpoint
    ) -> tuple[ScheduledPacket, ...]:
        key = self._headers.read_inbound(packet).key
        self._caller_endpoints[key[_CALLER_ENDPOINT]] = sender
        self._count('inbound')
        if not self.ready_entries:
            return self._drop('no_entry_instance')
        entry = self._rng.choice(self.ready_entries)
        return self._schedule_copies(key, packet, Endpoint(entry.host, entry.fabric_port))

    def _route_outbound(self, packet: bytes) -> tuple[ScheduledPacket, ...]:
        key = self._headers.read_outbound(packet).key
        self._count('outbound')
        caller = self._caller_endpoints.get(key[_CALLER_ENDPOINT])
        if caller is None:
            return self._drop('unknown_caller')
        return self._schedule_copies(key, packet, caller)

    def _schedule_copies(
        self, key: FlowKey, packet: bytes, destination: Endpoint
    ) -> tuple[ScheduledPacket, ...]:
        if key in self._forgotten_flows:
            return self._drop('forgotten')
        if self._rng.random() < self.quality.loss:
            return self._drop('lost')
        scheduled = ScheduledPacket(self._delay_s(key), destination, packet)
        if self._rng.random() < self.quality.duplication:
            self._count('duplicated')
            return (scheduled, ScheduledPacket(self._delay_s(key), destination, packet))
        return (scheduled,)

    def _delay_s(self, key: FlowKey) -> float:
        quality = self.quality
        host = str(ipaddress.IPv4Address(key[_CALLER_HOST]))
        delay_ms = quality.caller_delays_ms.get(host, quality.delay_ms)
        return (delay_ms + self._rng.random() * quality.variation_ms) / _MS_PER_S

    def _drop(self, reason: str) -> tuple[ScheduledPacket, ...]:
        self._count(reason)
        return ()

    def _count(self, name: str) -> None:
        self.counters[name] = self.counters.get(name, 0) + 1
