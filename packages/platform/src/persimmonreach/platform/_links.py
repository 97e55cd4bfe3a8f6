"""Sockets toward callers and toward the backend server."""

from typing import Final

from gevent import socket

from persimmonreach.core import Endpoint
from persimmonreach.forwarding.tasks import BackendLink, CallerLink
from persimmonreach.platform.packets import HEADER_BYTES, caller_host, unpack_host
from persimmonreach.runtime import DatagramSocket

# The backend server runs on the same instance and answers within milliseconds.
PROBE_TIMEOUT_S: Final = 0.2
# Addresses of callers whose text is kept.
_LARGEST_CACHE: Final = 4096


class PlatformCallers(CallerLink):
    """Callers, reached at their own address and one common port.

    Parameters
    ----------
    datagrams
        Socket; closed with the link.
    port
        Port at which callers take packets.

    """

    def __init__(self, datagrams: DatagramSocket, port: int) -> None:
        self._datagrams = datagrams
        self._port = port
        self._endpoints: dict[bytes, Endpoint] = {}

    def receive(self) -> bytes:
        """Wait for a packet from a caller and return it."""
        return self._datagrams.receive()[0]

    def send(self, packet: bytes) -> None:
        """Send a packet to its caller; it may be lost."""
        if len(packet) < HEADER_BYTES:
            return
        host = caller_host(packet)
        endpoint = self._endpoints.get(host)
        if endpoint is None:
            if len(self._endpoints) >= _LARGEST_CACHE:
                self._endpoints.clear()
            endpoint = Endpoint(unpack_host(host), self._port)
            self._endpoints[host] = endpoint
        self._datagrams.send(packet, endpoint)

    def close(self) -> None:
        """Close the socket."""
        self._datagrams.close()


class PlatformBackend(BackendLink):
    """Backend server on the same instance.

    Parameters
    ----------
    datagrams
        Socket at which the backend server's packets arrive; closed with the
        link.
    backend
        Address of the backend server.

    """

    def __init__(self, datagrams: DatagramSocket, backend: Endpoint) -> None:
        self._datagrams = datagrams
        self._backend = backend

    def receive(self) -> bytes:
        """Wait for a packet from the backend server and return it."""
        return self._datagrams.receive()[0]

    def deliver(self, packet: bytes) -> None:
        """Hand a packet to the backend server; it may be lost."""
        self._datagrams.send(packet, self._backend)

    def probe(self) -> bool | None:
        """Return whether the backend server accepts connections."""
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
        self._datagrams.close()
