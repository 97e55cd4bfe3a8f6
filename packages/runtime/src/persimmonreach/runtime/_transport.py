"""Datagram sockets."""

from abc import ABC, abstractmethod
from typing import Final

from gevent import socket

from persimmonreach.core import Endpoint

_RECEIVE_BUFFER_BYTES: Final = 4 * 1024 * 1024
_LARGEST_DATAGRAM_BYTES: Final = 65_535


class DatagramSocket(ABC):
    """Socket that sends and receives datagrams."""

    @property
    @abstractmethod
    def endpoint(self) -> Endpoint:
        """Local address."""

    @abstractmethod
    def send(self, datagram: bytes, to: Endpoint) -> None:
        """Send one datagram; a datagram that cannot be sent is lost."""

    @abstractmethod
    def receive(self) -> tuple[bytes, Endpoint]:
        """Wait for a datagram and return it with its sender."""

    @abstractmethod
    def close(self) -> None:
        """Close the socket."""


class UdpSocket(DatagramSocket):
    """UDP socket of gevent.

    Parameters
    ----------
    bind
        Address to bind; port 0 lets the system choose one.

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
        """Send one datagram; an unreachable receiver loses it."""
        try:
            self._socket.sendto(datagram, to)
        except OSError:
            # A full buffer or an ICMP error is a lost datagram to the sender.
            return

    def receive(self) -> tuple[bytes, Endpoint]:
        """Wait for a datagram and return it with its sender."""
        while True:
            try:
                datagram, sender = self._socket.recvfrom(_LARGEST_DATAGRAM_BYTES)
            except ConnectionError:
                # ICMP port unreachable of an earlier send is reported here.
                continue
            return datagram, Endpoint(*sender)

    def close(self) -> None:
        """Close the socket."""
        self._socket.close()
