"""Datagram sockets."""

from abc import ABC, abstractmethod
from typing import Final

from gevent import socket

from persimmonreach.core import Endpoint

_RECEIVE_BUFFER_BYTES: Final = 4 * 1024 * 1024
_MAX_DATAGRAM_BYTES: Final = 65_535


class DatagramSocket(ABC):
    """Socket that sends and receives datagrams."""

    @property
    @abstractmethod
    def endpoint(self) -> Endpoint:
        """Local address."""

    @abstractmethod
    def send(self, datagram: bytes, to: Endpoint) -> None:
        """Send one datagram; one that cannot be sent is lost without an error."""

    @abstractmethod
    def receive(self) -> tuple[bytes, Endpoint]:
        """Block until a datagram arrives; return it and the address of its sender."""

    @abstractmethod
    def close(self) -> None:
        """Close the socket."""


class UdpSocket(DatagramSocket):
    """UDP socket whose calls block only the calling greenlet.

    Parameters
    ----------
    bind
        Address to bind; the operating system chooses the port if it is 0.

    Raises
    ------
    OSError
        If the address cannot be bound.

    """

    def __init__(self, bind: Endpoint) -> None:
        self._socket = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        self._socket.setsockopt(
            socket.SOL_SOCKET,
            socket.SO_RCVBUF,
            _RECEIVE_BUFFER_BYTES,
        )
        self._socket.bind(bind)

    @property
    def endpoint(self) -> Endpoint:
        """Local address."""
        return Endpoint(*self._socket.getsockname())

    def send(self, datagram: bytes, to: Endpoint) -> None:
        """Send one datagram; one that cannot be sent is lost without an error."""
        try:
            self._socket.sendto(datagram, to)
        except OSError:
            # A full send buffer or an ICMP error loses the datagram, as the network
            # may lose any other.
            return

    def receive(self) -> tuple[bytes, Endpoint]:
        """Block until a datagram arrives; return it and the address of its sender."""
        while True:
            try:
                datagram, sender = self._socket.recvfrom(_MAX_DATAGRAM_BYTES)
            except ConnectionError:
                # The kernel reports an ICMP "port unreachable" for an earlier send here.
                continue
            return datagram, Endpoint(*sender)

    def close(self) -> None:
        """Close the socket."""
        self._socket.close()
