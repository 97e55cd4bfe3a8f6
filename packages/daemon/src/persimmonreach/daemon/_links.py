"""UDP links to the fabric and to the backend server."""

from typing import Final

from gevent import socket

from persimmonreach.core import Endpoint
from persimmonreach.forwarding.tasks import BackendLink, CallerLink
from persimmonreach.runtime import DatagramSocket

_PROBE_TIMEOUT_S: Final = 0.5


class FabricLink(CallerLink):
    """Link that carries each IP packet directly in a UDP datagram (GUE variant 1).

    Parameters
    ----------
    datagram_socket
        Socket for datagrams of the fabric; closed with the link.
    gateway
        Address that forwards packets to callers, replaced by the sender of each
        received packet; while it is None, packets to callers are discarded.

    """

    def __init__(self, datagram_socket: DatagramSocket, gateway: Endpoint | None) -> None:
        self._datagram_socket = datagram_socket
        self._gateway = gateway

    @property
    def endpoint(self) -> Endpoint:
        """Local address that receives packets."""
        return self._datagram_socket.endpoint

    def receive(self) -> bytes:
        """Block until a packet of a caller arrives and return it."""
        packet, sender = self._datagram_socket.receive()
        self._gateway = sender
        return packet

    def send(self, packet: bytes) -> None:
        """Send a packet to its caller, without guarantee of delivery."""
        if self._gateway is not None:
            self._datagram_socket.send(packet, self._gateway)

    def close(self) -> None:
        """Close the socket."""
        self._datagram_socket.close()


class GatewayLink(FabricLink):
    """Link that sends all packets to the gateway in the settings."""

    def receive(self) -> bytes:
        """Block until a packet arrives; the fabric sends none to an agent."""
        return self._datagram_socket.receive()[0]


class BackendServerLink(BackendLink):
    """Link to a backend server that exchanges IP packets in UDP datagrams.

    Parameters
    ----------
    datagram_socket
        Socket for datagrams of the backend server; closed with the link.
    packet_endpoint
        Address of the backend server for IP packets.
    http_endpoint
        Address of its HTTP server.

    """

    def __init__(
        self,
        datagram_socket: DatagramSocket,
        packet_endpoint: Endpoint,
        http_endpoint: Endpoint,
    ) -> None:
        self._datagram_socket = datagram_socket
        self._packet_endpoint = packet_endpoint
        self._http_endpoint = http_endpoint

    def receive(self) -> bytes:
        """Block until a packet of the backend server arrives and return it."""
        return self._datagram_socket.receive()[0]

    def deliver(self, packet: bytes) -> None:
        """Deliver a packet to the backend server, without guarantee of delivery."""
        self._datagram_socket.send(packet, self._packet_endpoint)

    def probe(self) -> bool | None:
        """Return whether the backend server accepts connections; None if unknown."""
        return accepts_connections(self._http_endpoint, _PROBE_TIMEOUT_S)

    def close(self) -> None:
        """Close the socket."""
        self._datagram_socket.close()


def accepts_connections(endpoint: Endpoint, timeout_s: float) -> bool | None:
    """Return whether a server accepts TCP connections.

    Parameters
    ----------
    endpoint
        Address of the server.
    timeout_s
        Maximum wait for the connection in seconds.

    Returns
    -------
    bool or None
        False if the connection is refused or reset; None on timeout and on other
        network errors, which do not prove a crash.

    """
    with socket.socket(socket.AF_INET, socket.SOCK_STREAM) as connection:
        connection.settimeout(timeout_s)
        try:
            connection.connect(tuple(endpoint))
        except ConnectionError:
            return False
        except OSError:
            return None
    return True
