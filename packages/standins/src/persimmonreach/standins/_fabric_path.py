"""Where the fabric sends a packet, and when."""

import ipaddress
import random
from typing import Final, NamedTuple

from persimmonreach.core import Endpoint, FlowKey
from persimmonreach.packets import Ipv4TcpCodec, PacketError

# RFC 791: the source address is the fourth word of the header.
_WORD_BYTES: Final = 4
_SOURCE_ADDRESS: Final = slice(3 * _WORD_BYTES, 4 * _WORD_BYTES)
# In a flow key: address and port of the caller.
_CALLER: Final = slice(1, 7)
_CALLER_HOST: Final = slice(1, 5)
_MS_PER_S: Final = 1000


class Quality(NamedTuple):
    """Faults of the network between callers and entry instances.

    Attributes
    ----------
    loss
        Share of packets that are lost.
    duplication
        Share of packets that are delivered twice.
    delay_ms
        One way, in milliseconds.
    variation_ms
        Largest extra delay, in milliseconds; drawn for each packet.
    caller_delays_ms
        Delay by address of the caller, instead of ``delay_ms``.

    """

    loss: float = 0
    duplication: float = 0
    delay_ms: float = 0
    variation_ms: float = 0
    caller_delays_ms: dict[str, float] = {}


class EntryAddress(NamedTuple):
    """An entry instance as the fabric knows it."""

    id: str
    host: str
    fabric_port: int
    http_port: int


class Departure(NamedTuple):
    """A packet to send after a delay."""

    delay_s: float
    to: Endpoint
    packet: bytes


class FabricPath:
    """Learned callers, forgotten flows and ready entry instances.

    Parameters
    ----------
    caller_network
        Network of the callers' addresses, for example ``10.1.0.0/16``.
    rng
        Source of the random choices.

    """

    def __init__(self, caller_network: str, rng: random.Random) -> None:
        network = ipaddress.IPv4Network(caller_network)
        self._mask = int(network.netmask)
        self._network = int(network.network_address)
        self._rng = rng
        self._codec = Ipv4TcpCodec()
        self._callers: dict[bytes, Endpoint] = {}
        self._forgotten: set[FlowKey] = set()
        self.quality = Quality()
        self.ready: tuple[EntryAddress, ...] = ()
        self.counters: dict[str, int] = {}

    def forget(self, key: FlowKey) -> None:
        """Drop all further packets of a flow, as a middlebox without state."""
        self._forgotten.add(key)

    def route(self, packet: bytes, sender: Endpoint) -> tuple[Departure, ...]:
        """Return the copies of a packet to send on."""
        try:
            return self._route(packet, sender)
        except PacketError:
            return self._drop('malformed')

    def _route(self, packet: bytes, sender: Endpoint) -> tuple[Departure, ...]:
        if self._is_inbound(packet):
            return self._inbound(packet, sender)
        return self._outbound(packet)

    def _is_inbound(self, packet: bytes) -> bool:
        source = int.from_bytes(packet[_SOURCE_ADDRESS])
        return source & self._mask == self._network

    def _inbound(self, packet: bytes, sender: Endpoint) -> tuple[Departure, ...]:
        key = self._codec.read_inbound(packet).key
        self._callers[key[_CALLER]] = sender
        self._count('inbound')
        if not self.ready:
            return self._drop('no_entry_instance')
        entry = self._rng.choice(self.ready)
        return self._copies(key, packet, Endpoint(entry.host, entry.fabric_port))

    def _outbound(self, packet: bytes) -> tuple[Departure, ...]:
        key = self._codec.read_outbound(packet).key
        self._count('outbound')
        caller = self._callers.get(key[_CALLER])
        if caller is None:
            return self._drop('unknown_caller')
        return self._copies(key, packet, caller)

    def _copies(self, key: FlowKey, packet: bytes, to: Endpoint) -> tuple[Departure, ...]:
        if key in self._forgotten:
            return self._drop('forgotten')
        if self._rng.random() < self.quality.loss:
            return self._drop('lost')
        departure = Departure(self._delay_s(key), to, packet)
        if self._rng.random() < self.quality.duplication:
            self._count('duplicated')
            return (departure, Departure(self._delay_s(key), to, packet))
        return (departure,)

    def _delay_s(self, key: FlowKey) -> float:
        quality = self.quality
        host = str(ipaddress.IPv4Address(key[_CALLER_HOST]))
        fixed = quality.caller_delays_ms.get(host, quality.delay_ms)
        return (fixed + self._rng.random() * quality.variation_ms) / _MS_PER_S

    def _drop(self, reason: str) -> tuple[Departure, ...]:
        self._count(reason)
        return ()

    def _count(self, name: str) -> None:
        self.counters[name] = self.counters.get(name, 0) + 1
