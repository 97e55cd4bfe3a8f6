"""Simulated fabric: delivers messages, and packets to and from entry instances."""

from collections.abc import Callable
from typing import Any, Protocol

import xxhash

from persimmonreach.core import Endpoint, Send
from persimmonreach.proof.simulation._network import Network
from persimmonreach.proof.simulation._packets import decode


class MessageReceiver(Protocol):
    """A process that receives messages."""

    def receive_message(self, sender: Endpoint, message: Any) -> None:
        """Receive a message from another process."""


class PacketReceiver(Protocol):
    """An entry instance, to which the fabric delivers packets of callers."""

    def receive_packet(self, packet: bytes) -> None:
        """Receive a packet of a caller."""


class Fabric:
    """Delivers messages by address, and packets of callers by flow hash.

    Parameters
    ----------
    network
        Network that carries messages and packets.

    Attributes
    ----------
    rotation
        Entry instances of each availability zone that receive packets, in a fixed
        order. The hash is taken modulo their number, so nearly all flows move
        when one joins or leaves.

    """

    def __init__(self, network: Network) -> None:
        self._network = network
        self._receivers: dict[Endpoint, MessageReceiver] = {}
        self._callers: dict[Endpoint, Callable[[bytes], None]] = {}
        self.rotation: dict[str, list[PacketReceiver]] = {}

    def register_receiver(self, endpoint: Endpoint, receiver: MessageReceiver) -> None:
        """Deliver messages for ``endpoint`` to ``receiver`` from now on."""
        self._receivers[endpoint] = receiver

    def register_caller(
        self,
        endpoint: Endpoint,
        receive: Callable[[bytes], None],
    ) -> None:
        """Deliver packets for the address of a caller to ``receive`` from now on."""
        self._callers[endpoint] = receive

    def send_message(self, sender: Endpoint, action: Send) -> None:
        """Send a message between processes; dropped if the destination is unknown."""
        receiver = self._receivers.get(action.to)
        if receiver is not None:
            self._network.send_message(
                (sender, action.to), action.message, receiver.receive_message
            )

    def route_packet(self, zone: str, packet: bytes) -> None:
        """Send a packet of a caller to an entry instance of its availability zone.

        Uses the entry instances of all zones if the zone has none; drops the
        packet if there are none at all.
        """
        entries = self.rotation.get(zone) or [
            entry for zone_entries in self.rotation.values() for entry in zone_entries
        ]
        if entries:
            segment = decode(packet)
            endpoints = repr((segment.source, segment.destination)).encode()
            entry = entries[xxhash.xxh3_64_intdigest(endpoints) % len(entries)]
            self._network.send_packet(entry.receive_packet, packet)

    def send_to_caller(self, packet: bytes) -> None:
        """Send a packet to its caller; dropped if the caller is unknown."""
        receive = self._callers.get(decode(packet).destination)
        if receive is not None:
            self._network.send_packet(receive, packet)
