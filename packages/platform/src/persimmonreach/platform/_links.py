"""Sockets for packets of callers and of the backend server."""

from typing import Final

from gevent import socket

from persimmonreach.core import Endpoint
from persimmonreach.forwarding.tasks import BackendLink, CallerLink
from persimmonreach.platform.packets import HEADER_BYTES, caller_host, unpack_host
from persimmonreach.runtime import DatagramSocket

# The backend server runs on the same instance and responds within milliseconds.
PROBE_TIMEOUT_S: Final = 0.2
# Limit on the cache of decoded caller addresses; a full cache is cleared.
_MAX_CACHED_ENDPOINTS: Final = 4096


class PlatformCallerLink(CallerLink):
    """Link to the callers, which all receive packets at the same port.

    Parameters
    ----------
    datagram_socket
        Socket for packets of callers; closed with the link.
    port
        Port at which callers receive packets.

    """

    def __init__(self, datagram_socket: DatagramSocket, port: int) -> None:
        self._datagram_socket = datagram_socket
        self._port = port
        self._endpoints_by_host: dict[bytes, Endpoint] = {}

    def receive(self) -> bytes:
        """Block until a packet of a caller arrives and return it."""
        return self._datagram_socket.receive()[0]

    def send(self, packet: bytes) -> None:
        """Send a packet to its caller, without guarantee of delivery.

        A packet that is shorter than its header is dropped.
        """
        if len(packet) < HEADER_BYTES:
            return
        host = caller_host(packet)
        endpoint = self._endpoints_by_host.get(host)
        if endpoint is None:
            if len(self._endpoints_by_host) >= _MAX_CACHED_ENDPOINTS:
                self._endpoints_by_host.clear()
            endpoint = Endpoint(unpack_host(host), self._port)
            self._endpoints_by_host[host] = endpoint
        self._datagram_socket.send(packet, endpoint)

    def close(self) -> None:
        """Close the socket."""
        self._datagram_socket.close()


class PlatformBackendLink(BackendLink):
    """Link to the backend server on the same instance.

    Parameters
    ----------
    datagram_socket
        Socket for packets of the backend server; closed with the link.
    backend
        Address of the backend server.

    """

    def __init__(self, datagram_socket: DatagramSocket, backend: Endpoint) -> None:
        self._datagram_socket = datagram_socket
        self._backend = backend

    def receive(self) -> bytes:
        """Block until a packet of the backend server arrives and return it."""
        return self._datagram_socket.receive()[0]

    def deliver(self, packet: bytes) -> None:
        """Deliver a packet to the backend server, without guarantee of delivery."""
        self._datagram_socket.send(packet, self._backend)

    def probe(self) -> bool | None:
        """Return whether the backend server accepts TCP connections.

        Blocks until the connection is accepted or refused. Returns None if the result
        is unknown because of a timeout or another error.
        """
        with socket.socket(socket.AF_INET, socket.SOCK_STREAM) as connection:
            connection.settimeout(PROBE_TIMEOUT_S)
            try:
                connection.connect(tuple(self._backend))
            except ConnectionError:
                return False
            except OSError:
                return None
        return True

    def close(self) -> None:
        """Close the socket."""
        self._datagram_socket.close()
