"""Fabric and backend server as an agent or entry instance sees them."""

import json
from abc import ABC, abstractmethod
from typing import Final, NamedTuple

from geventhttpclient import HTTPClient

from persimmonreach.core import Endpoint, FlowKey
from persimmonreach.runtime import DatagramSocket

_HTTP_TIMEOUT_S: Final = 2
_HTTP_OK: Final = 200


class BackendUnavailableError(OSError):
    """The backend server does not answer its health endpoint."""


class BackendStatus(NamedTuple):
    """Answer of the health and load endpoints.

    Attributes
    ----------
    state
        ``cold``, ``warm`` or ``draining``.
    load
        Reported share of the capacity in use, from 0 to 1.

    """

    state: str
    load: float


class Fabric(ABC):
    """Network in front of the entry instances."""

    @property
    @abstractmethod
    def endpoint(self) -> Endpoint:
        """Address at which this process receives packets."""

    @abstractmethod
    def receive(self) -> bytes:
        """Wait for an IP packet from a caller and return it."""

    @abstractmethod
    def send(self, packet: bytes) -> None:
        """Send an IP packet toward a caller."""

    @abstractmethod
    def close(self) -> None:
        """Close the connection to the fabric."""


class BackendServer(ABC):
    """Backend server beside an agent."""

    @abstractmethod
    def deliver(self, packet: bytes) -> None:
        """Hand an IP packet of a caller to the backend server."""

    @abstractmethod
    def receive(self) -> bytes:
        """Wait for an IP packet toward a caller and return it."""

    @abstractmethod
    def read_status(self) -> BackendStatus:
        """Read the health and load endpoints.

        Raises
        ------
        BackendUnavailableError
            If an endpoint cannot be reached or its answer is malformed.

        """

    @abstractmethod
    def read_connections(self) -> tuple[FlowKey, ...]:
        """Read the open connections.

        Raises
        ------
        BackendUnavailableError
            If the endpoint cannot be reached or its answer is malformed.

        """

    @abstractmethod
    def close(self) -> None:
        """Close the connection to the backend server."""


class UdpFabric(Fabric):
    """IP packets directly inside UDP datagrams (GUE variant 1).

    Parameters
    ----------
    datagrams
        Socket that faces the fabric; closed with the fabric.
    gateway
        Address that takes packets toward callers; None at an entry instance,
        which sends none.

    """

    def __init__(self, datagrams: DatagramSocket, gateway: Endpoint | None) -> None:
        self._datagrams = datagrams
        self._gateway = gateway

    @property
    def endpoint(self) -> Endpoint:
        """Address at which this process receives packets."""
        return self._datagrams.endpoint

    def receive(self) -> bytes:
        """Wait for an IP packet from a caller and return it."""
        return self._datagrams.receive()[0]

    def send(self, packet: bytes) -> None:
        """Send an IP packet toward a caller."""
        if self._gateway is not None:
            self._datagrams.send(packet, self._gateway)

    def close(self) -> None:
        """Close the socket."""
        self._datagrams.close()


class UdpBackendServer(BackendServer):
    """Backend server with IP packets in UDP and endpoints in HTTP.

    Parameters
    ----------
    datagrams
        Socket that faces the backend server; closed with it.
    packets
        Address that takes IP packets.
    http
        Address of ``/health``, ``/load`` and ``/connections``.

    """

    def __init__(
        self,
        datagrams: DatagramSocket,
        packets: Endpoint,
        http: Endpoint,
    ) -> None:
        self._datagrams = datagrams
        self._packets = packets
        self._client = HTTPClient(
            http.host,
            port=http.port,
            connection_timeout=_HTTP_TIMEOUT_S,
            network_timeout=_HTTP_TIMEOUT_S,
        )

    def deliver(self, packet: bytes) -> None:
        """Hand an IP packet of a caller to the backend server."""
        self._datagrams.send(packet, self._packets)

    def receive(self) -> bytes:
        """Wait for an IP packet toward a caller and return it."""
        return self._datagrams.receive()[0]

    def read_status(self) -> BackendStatus:
        """Read the health and load endpoints."""
        try:
            return BackendStatus(
                str(self._read('/health')['state']),
                float(self._read('/load')['load']),
            )
        except (KeyError, TypeError, ValueError) as error:
            raise BackendUnavailableError(f'malformed answer: {error}') from error

    def read_connections(self) -> tuple[FlowKey, ...]:
        """Read the open connections."""
        try:
            keys = self._read('/connections')['connections']
            return tuple(FlowKey(bytes.fromhex(key)) for key in keys)
        except (KeyError, TypeError, ValueError) as error:
            raise BackendUnavailableError(f'malformed answer: {error}') from error

    def close(self) -> None:
        """Close the socket and the HTTP connections."""
        self._client.close()
        self._datagrams.close()

    def _read(self, path: str) -> dict:
        try:
            response = self._client.get(path)
            content = response.read()
        except OSError as error:
            raise BackendUnavailableError(f'{path}: {error}') from error
        if response.status_code != _HTTP_OK:
            raise BackendUnavailableError(f'{path}: HTTP {response.status_code}')
        return json.loads(content)
