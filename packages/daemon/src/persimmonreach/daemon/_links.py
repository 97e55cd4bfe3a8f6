"""Sockets toward the fabric and toward the backend server."""

from typing import Final

from gevent import socket

from persimmonreach.core import Endpoint
from persimmonreach.forwarding.tasks import BackendLink, CallerLink
from persimmonreach.runtime import DatagramSocket

_PROBE_TIMEOUT_S: Final = 0.5


class FabricLink(CallerLink):
    """IP packets directly inside UDP datagrams (GUE variant 1).

    Parameters
    ----------
    datagrams
        Socket that faces the fabric; closed with the link.
    gateway
        Address that takes packets toward callers; None if that is whoever has
        sent the latest packet.

    """

    def __init__(self, datagrams: DatagramSocket, gateway: Endpoint | None) -> None:
        self._datagrams = datagrams
        self._gateway = gateway

    @property
    def endpoint(self) -> Endpoint:
        """Address at which packets arrive."""
        return self._datagrams.endpoint

    def receive(self) -> bytes:
        """Wait for a packet from a caller and return it."""
        packet, sender = self._datagrams.receive()
        self._gateway = sender
        return packet

    def send(self, packet: bytes) -> None:
        """Send a packet to its caller; it may be lost."""
        if self._gateway is not None:
            self._datagrams.send(packet, self._gateway)

    def close(self) -> None:
        """Close the socket."""
        self._datagrams.close()


class GatewayLink(FabricLink):
    """Link that only sends, to a gateway that the settings name."""

    def receive(self) -> bytes:
        """Wait for a packet; an agent gets none from the fabric."""
        return self._datagrams.receive()[0]


class BackendServerLink(BackendLink):
    """Backend server that takes IP packets in UDP.

    Parameters
    ----------
    datagrams
        Socket that faces the backend server; closed with the link.
    packets
        Address that takes IP packets.
    http
        Address of its HTTP endpoints.

    """

    def __init__(
        self,
        datagrams: DatagramSocket,
        packets: Endpoint,
        http: Endpoint,
    ) -> None:
        self._datagrams = datagrams
        self._packets = packets
        self._http = http

    def receive(self) -> bytes:
        """Wait for a packet from the backend server and return it."""
        return self._datagrams.receive()[0]

    def deliver(self, packet: bytes) -> None:
        """Hand a packet to the backend server; it may be lost."""
        self._datagrams.send(packet, self._packets)

    def probe(self) -> bool | None:
        """Return whether the backend server accepts connections."""
        return accepts_connections(self._http, _PROBE_TIMEOUT_S)

    def close(self) -> None:
        """Close the socket."""
        self._datagrams.close()


def accepts_connections(endpoint: Endpoint, timeout_s: float) -> bool | None:
    """Return whether a server accepts connections; None if it does not answer."""
    with socket.socket(socket.AF_INET, socket.SOCK_STREAM) as connection:
        connection.settimeout(timeout_s)
        try:
            connection.connect(tuple(endpoint))
        except ConnectionError:
            return False
        except OSError:
            return None
    return True
