"""Stand-ins of the platform's routers and of a client host with its flows."""

import http.client
import itertools
import random
import socket
import threading
import time
import zlib

from packets import ACK, FIN, HEAD_BYTES, RST, SYN, Packet, decode

_MODULUS = 1 << 32
_SYN_COPIES_S = (0.0, 0.2, 0.6)
_SYN_LIFETIME_S = 1.4
_RESET_WINDOW = 76_800


class Router:
    """Routers of one zone: select a front node by a hash (``mod``) of the flow."""

    def __init__(self, fronts: list[tuple[str, int, int]]) -> None:
        """Take the address, packet port and readiness port of each front node."""
        self._fronts = fronts
        self._misses = {front: 2 for front in fronts}
        self._socket = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        self._stopped = threading.Event()
        for front in fronts:
            threading.Thread(target=self._poll, args=(front,), daemon=True).start()

    @property
    def in_rotation(self) -> list[tuple[str, int, int]]:
        """Front nodes in rotation; all of them if fewer than half are."""
        ready = [front for front in self._fronts if self._misses[front] < 2]
        return ready if 2 * len(ready) >= len(self._fronts) else list(self._fronts)

    @property
    def ready_count(self) -> int:
        """Number of front nodes that respond with 200."""
        return sum(misses < 2 for misses in self._misses.values())

    def send(self, packet: Packet) -> None:
        """Forward a packet of a client."""
        fronts = self.in_rotation
        key = f'{packet.src}:{packet.sport}:{packet.dst}:{packet.dport}'.encode()
        host, port, _ = fronts[zlib.crc32(key) % len(fronts)]
        self._socket.sendto(packet.encode(), (host, port))

    def close(self) -> None:
        """Stop polling."""
        self._stopped.set()
        self._socket.close()

    def _poll(self, front: tuple[str, int, int]) -> None:
        while not self._stopped.wait(0.5):
            connection = http.client.HTTPConnection(front[0], front[2], timeout=0.5)
            try:
                connection.request('GET', '/ready')
                is_ready = connection.getresponse().status == 200
            except (OSError, http.client.HTTPException):
                is_ready = False
            finally:
                connection.close()
            self._misses[front] = 0 if is_ready else self._misses[front] + 1


class Flow:
    """One flow of a client host."""

    def __init__(self, host: 'ClientHost', sport: int, dst: str, dport: int) -> None:
        self.key = (host.address, sport, dst, dport)
        self._host = host
        self._changed = threading.Condition()
        self._iss = random.getrandbits(32)
        self._next_seq = self._iss
        self._ack = 0
        self._answer = b''
        self.opened_at: float | None = None
        self.reset_at: float | None = None
        self.reset_sum: int | None = None

    def open(self) -> bool:
        """Open the flow as PROTOCOL.md tells; return whether it opened."""
        started_at = time.monotonic()
        with self._changed:
            self._next_seq = (self._iss + 1) % _MODULUS
            for copy, sent_after in enumerate((*_SYN_COPIES_S, _SYN_LIFETIME_S)):
                self._changed.wait_for(
                    lambda: self.opened_at or self.reset_at,
                    started_at + sent_after - time.monotonic(),
                )
                if self.opened_at or self.reset_at:
                    break
                if copy < len(_SYN_COPIES_S):
                    self._send(SYN, self._iss, copy)
            return self.opened_at is not None

    def request(self, request_id: str, deadline_s: float) -> str:
        """Send one unsafe request; return ``answered``, ``reset`` or ``no answer``."""
        data = (
            f'POST /order HTTP/1.1\r\nRequest-Id: {request_id}\r\nContent-Length: 2\r\n\r\nok'
        ).encode()
        ends_at = time.monotonic() + deadline_s
        wait_s = 0.2
        with self._changed:
            self._answer = b''
            seq = self._next_seq
            self._next_seq = (seq + len(data)) % _MODULUS
            while time.monotonic() < ends_at and not (self._answer or self.reset_at):
                self._send(ACK, seq, self._ack, data)
                self._changed.wait_for(
                    lambda: self._answer or self.reset_at,
                    min(wait_s, max(0.0, ends_at - time.monotonic())),
                )
                wait_s = min(1.6, 2 * wait_s)
            if self._answer:
                is_own = f'done {request_id}'.encode() in self._answer
                return 'answered' if is_own else 'foreign answer'
            return 'reset' if self.reset_at else 'no answer'

    def close(self) -> None:
        """Send a FIN."""
        with self._changed:
            self._send(ACK | FIN, self._next_seq, self._ack)

    def take(self, packet: Packet) -> None:
        """Handle a packet for this flow."""
        with self._changed:
            if packet.flags & RST:
                distance = (packet.seq - self._ack) % _MODULUS
                is_near = min(distance, _MODULUS - distance) <= _RESET_WINDOW
                if self.reset_at is None and (self.opened_at is None or is_near):
                    self.reset_at = time.monotonic()
                    self.reset_sum = packet.sum
            elif packet.flags & SYN:
                if self.opened_at is None:
                    self._ack = (packet.seq + 1) % _MODULUS
                    self.opened_at = time.monotonic()
                    self._send(ACK, self._next_seq, self._ack)
            elif packet.data:
                if packet.seq == self._ack:
                    self._ack = (packet.seq + len(packet.data)) % _MODULUS
                    self._answer = packet.data
                self._send(ACK, self._next_seq, self._ack)
            self._changed.notify_all()

    def _send(self, flags: int, seq: int, ack: int, data: bytes = b'') -> None:
        self._host.router.send(Packet(*self.key, flags, seq, ack, data))


class ClientHost:
    """A client host with one address; all packets for it arrive at one port."""

    def __init__(self, address: str, port: int, router: Router) -> None:
        self.address = address
        self.router = router
        self._flows: dict[tuple, Flow] = {}
        self._ports = itertools.count(20_001)
        self._socket = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        self._socket.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 1 << 20)
        self._socket.bind((address, port))
        threading.Thread(target=self._receive, daemon=True).start()

    def flow(self, dst: str, dport: int) -> Flow:
        """Return a new flow from a new port."""
        flow = Flow(self, next(self._ports), dst, dport)
        self._flows[flow.key] = flow
        return flow

    def _receive(self) -> None:
        while True:
            datagram, _ = self._socket.recvfrom(65535)
            if len(datagram) < HEAD_BYTES:
                continue
            packet = decode(datagram)
            flow = self._flows.get((packet.dst, packet.dport, packet.src, packet.sport))
            if flow is not None:
                flow.take(packet)
