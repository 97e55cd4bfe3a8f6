"""Sender of packets as a process of its own, and sinks that count packets.

Run as ``python -m persimmonreach.proof.bench_traffic PORT FLOWS RATE SECONDS``;
a rate of 0 opens each flow with one first packet.
"""

import socket
import sys
import threading
import time
from typing import Any, Final

from persimmonreach.membership.messages import TableDigest
from persimmonreach.packets import ACK, PSH, SYN
from persimmonreach.proof.bench_base import CODEC
from persimmonreach.proof.bench_inputs import make_keys, make_packet
from persimmonreach.runtime import WireError

HOST: Final = '127.0.0.1'
_BUFFER_BYTES: Final = 8 * 1024 * 1024
_LARGEST_BYTES: Final = 65_535
_WAIT_S: Final = 0.2
_BATCHES_PER_S: Final = 500
_OPEN_RATE: Final = 500
_PAYLOAD: Final = bytes(100)


class Sink:
    """Socket whose datagrams are counted by a thread.

    A thread and not a greenlet: the sink must not wait for the measurement.
    """

    def __init__(self) -> None:
        self._socket = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        self._socket.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, _BUFFER_BYTES)
        self._socket.bind((HOST, 0))
        self._socket.settimeout(_WAIT_S)
        self._is_open = True
        self._thread = threading.Thread(target=self._run, daemon=True)
        self.datagrams = 0
        self.octets = 0

    @property
    def port(self) -> int:
        """Local port."""
        return int(self._socket.getsockname()[1])

    def start(self) -> None:
        """Start to receive."""
        self._thread.start()

    def stop(self) -> None:
        """End the thread and close the socket."""
        self._is_open = False
        self._thread.join()
        self._socket.close()

    def take(self, datagram: bytes, sender: Any) -> None:
        """Count one datagram."""
        self.datagrams += 1
        self.octets += len(datagram)

    def send(self, datagram: bytes, port: int) -> None:
        """Send one datagram."""
        self._socket.sendto(datagram, (HOST, port))

    def _run(self) -> None:
        while self._is_open:
            try:
                datagram, sender = self._socket.recvfrom(_LARGEST_BYTES)
            except TimeoutError:
                continue
            self.take(datagram, sender)


class PeerSink(Sink):
    """Sink in the place of the other entry instances; confirms their digests."""

    def take(self, datagram: bytes, sender: Any) -> None:
        """Count one datagram and answer the digest of a table."""
        super().take(datagram, sender)
        try:
            message = CODEC.decode(datagram)
        except WireError:
            return
        if isinstance(message, TableDigest) and not message.is_reply:
            answer = message._replace(is_complete=True, is_reply=True)
            self._socket.sendto(CODEC.encode(answer), sender)


def make_packets(flows: int, rate: int) -> list[bytes]:
    """Return one packet of each flow: a first one, or one with a payload."""
    flags = PSH | ACK if rate else SYN
    payload = _PAYLOAD if rate else b''
    return [make_packet(key, flags, payload) for key in make_keys(flows)]


def send_packets(port: int, packets: list[bytes], rate: int, total: int) -> None:
    """Send ``total`` packets at a steady rate, the flows in turn."""
    batch = max(rate // _BATCHES_PER_S, 1)
    due = time.monotonic()
    with socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as sender:
        sender.connect((HOST, port))
        for first in range(0, total, batch):
            for number in range(first, min(first + batch, total)):
                sender.send(packets[number % len(packets)])
            due += batch / rate
            time.sleep(max(due - time.monotonic(), 0))


def main(arguments: list[str]) -> None:
    """Send what the command line states."""
    port, flows, rate = (int(argument) for argument in arguments[:3])
    packets = make_packets(flows, rate)
    total = int(rate * float(arguments[3])) if rate else flows
    started = time.monotonic()
    send_packets(port, packets, rate or _OPEN_RATE, total)
    seconds = time.monotonic() - started
    sys.stdout.write(f'{total} {seconds}\n')


if __name__ == '__main__':
    main(sys.argv[1:])
