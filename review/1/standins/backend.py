"""Stand-in of a backend: a process of its own.

Usage: python3 backend.py JSON. Commands arrive on standard input, a word a line
(``drain``, ``leave``); what happens is written to standard output, a JSON object a line.
"""

import http.client
import json
import random
import socket
import sys
import threading
import time

from packets import ACK, FIN, HEAD_BYTES, RST, SYN, Packet, bounce, decode

_MODULUS = 1 << 32
_HEARTBEAT_TIMEOUT_S = 1.0
_MAX_RETRANSMISSIONS = 8


class _Flow:
    def __init__(self, iss: int, expected: int) -> None:
        self.iss = iss
        self.next_seq = (iss + 1) % _MODULUS
        self.expected = expected
        self.is_open = False
        self.is_closed = False
        self.unacknowledged: dict[int, Packet] = {}


class Backend:
    """A backend on a ``side`` machine."""

    def __init__(self, settings: dict) -> None:
        self._settings = settings
        self._lock = threading.RLock()
        self._output_lock = threading.Lock()
        self._flows: dict[tuple, _Flow] = {}
        self._state = 'ready'
        self._sequence = 0
        self._born = time.time_ns() // 1_000_000
        self._random = random.Random()
        host, port = _split(settings['app'])
        self._outbound = _split(settings['outbound'])
        self._health = socket.create_server((host, port), backlog=128)
        self._udp = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        self._udp.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 1 << 20)
        self._udp.bind((host, port))
        self._started_at = time.monotonic()

    def run(self) -> None:
        """Serve until the process is killed, or after ``leave``."""
        self._log('started', id=self._settings['id'], born=self._born)
        for target in (self._serve_health, self._receive, self._beat):
            threading.Thread(target=target, daemon=True).start()
        for line in sys.stdin:
            if line.strip() == 'drain':
                self._state = 'draining'
                threading.Thread(target=self._call_heartbeat, daemon=True).start()
            elif line.strip() == 'leave':
                self._leave()
                return

    def _log(self, event: str, **fields: object) -> None:
        with self._output_lock:
            sys.stdout.write(
                json.dumps({'at': time.monotonic(), 'event': event, **fields}) + '\n'
            )
            sys.stdout.flush()

    def _serve_health(self) -> None:
        while True:
            connection, _ = self._health.accept()
            threading.Thread(
                target=self._answer_health, args=(connection,), daemon=True
            ).start()

    def _answer_health(self, connection: socket.socket) -> None:
        with connection:
            connection.settimeout(5)
            try:
                if connection.recv(4096):
                    status = b'200 OK' if self._state == 'ready' else b'503 Leaving'
                    connection.sendall(
                        b'HTTP/1.1 ' + status + b'\r\nContent-Length: 0\r\n\r\n'
                    )
            except OSError:
                return

    def _beat(self) -> None:
        time.sleep(self._settings.get('firstHeartbeatMs', 0) / 1000)
        while True:
            self._call_heartbeat()
            time.sleep(self._settings['heartbeatMs'] / 1000)

    def _call_heartbeat(self) -> None:
        with self._lock:
            self._sequence += 1
            state = self._state
            body = {
                'service': self._settings['service'], 'address': self._settings['app'],
                'zone': self._settings['zone'], 'version': 'v1',
                'slots': self._settings['slots'], 'state': state,
                'coldRemainingMs': self._cold_remaining_ms(),
                'sequence': self._sequence, 'born': self._born,
            }
        status = self._post('/Instances.Heartbeat/', body, _HEARTBEAT_TIMEOUT_S)
        self._log('heartbeat', state=state, sequence=body['sequence'], status=status)

    def _cold_remaining_ms(self) -> int:
        cold_s = self._settings.get('coldS', 0)
        return max(0, int((self._started_at + cold_s - time.monotonic()) * 1000))

    def _leave(self) -> None:
        status = self._post('/Instances.Leave/', {'born': self._born}, 1.0)
        self._log('leave', status=status)
        if status != 200:
            # Without an acknowledgement a backend exits anyway, some seconds later.
            time.sleep(self._settings.get('exitAfterS', 2))
        self._log('exit')

    def _post(self, path: str, body: dict, timeout_s: float) -> int:
        host, port = _split(self._settings['control'])
        connection = http.client.HTTPConnection(host, port, timeout=timeout_s)
        try:
            connection.request(
                'POST', path + self._settings['id'], json.dumps(body),
                {'Content-Type': 'application/json'},
            )
            return connection.getresponse().status
        except (OSError, http.client.HTTPException):
            return 0
        finally:
            connection.close()

    def _receive(self) -> None:
        while True:
            datagram, _ = self._udp.recvfrom(65535)
            if len(datagram) >= HEAD_BYTES:
                with self._lock:
                    self._handle(decode(datagram), datagram)

    def _handle(self, packet: Packet, datagram: bytes) -> None:
        key = (packet.src, packet.sport, packet.dst, packet.dport)
        if not packet.has_valid_sum():
            self._log('forged', key=key, flags=packet.flags)
            return
        flow = self._flows.get(key)
        if packet.flags & SYN:
            if flow is None:
                flow = _Flow(self._random.getrandbits(32), (packet.seq + 1) % _MODULUS)
                self._flows[key] = flow
                self._log('syn', key=key)
            if not flow.is_open:
                self._send(key, SYN | ACK, flow.iss, flow.expected)
            return
        if flow is None or not (flow.is_open or packet.ack == flow.next_seq):
            self._udp.sendto(bounce(datagram), self._outbound)
            return
        if not flow.is_open:
            flow.is_open = True
            self._log('open', key=key)
        if packet.flags & RST:
            self._flows.pop(key)
            return
        for seq in list(flow.unacknowledged):
            if (packet.ack - seq) % _MODULUS in range(1, 1 << 31):
                flow.unacknowledged.pop(seq)
        if packet.data:
            self._take_data(key, flow, packet)
        if packet.flags & FIN:
            self._send(key, ACK | FIN, flow.next_seq, (packet.seq + 1) % _MODULUS)
            flow.is_closed = True

    def _take_data(self, key: tuple, flow: _Flow, packet: Packet) -> None:
        if packet.seq == flow.expected:
            flow.expected = (flow.expected + len(packet.data)) % _MODULUS
            request = _request_id(packet.data)
            self._log('run', key=key, request=request)
            threading.Timer(
                self._settings['workMs'] / 1000, self._answer, (key, flow, request)
            ).start()
        self._send(key, ACK, flow.next_seq, flow.expected)

    def _answer(self, key: tuple, flow: _Flow, request: str) -> None:
        with self._lock:
            if self._flows.get(key) is not flow:
                return
            body = f'done {request}'.encode()
            data = (
                f'HTTP/1.1 200 OK\r\nRequest-Id: {request}\r\n'
                f'Content-Length: {len(body)}\r\n\r\n'
            ).encode() + body
            seq = flow.next_seq
            flow.next_seq = (seq + len(data)) % _MODULUS
            packet = self._send(key, ACK, seq, flow.expected, data)
            flow.unacknowledged[seq] = packet
            self._log('ran', key=key, request=request)
        threading.Thread(target=self._retransmit, args=(flow, seq), daemon=True).start()

    def _retransmit(self, flow: _Flow, seq: int) -> None:
        wait_s = 0.2
        for _ in range(_MAX_RETRANSMISSIONS):
            time.sleep(wait_s)
            wait_s = min(1.6, 2 * wait_s)
            with self._lock:
                packet = flow.unacknowledged.get(seq)
                if packet is None:
                    return
                self._udp.sendto(packet.encode(), self._outbound)

    def _send(
        self, key: tuple, flags: int, seq: int, ack: int, data: bytes = b''
    ) -> Packet:
        src, sport, dst, dport = key
        packet = Packet(dst, dport, src, sport, flags, seq, ack, data)
        if flags & RST:
            self._log('sent_reset', key=key)
        self._udp.sendto(packet.encode(), self._outbound)
        return packet


def _request_id(data: bytes) -> str:
    for line in data.split(b'\r\n'):
        if line.startswith(b'Request-Id: '):
            return line.removeprefix(b'Request-Id: ').decode()
    return ''


def _split(address: str) -> tuple[str, int]:
    host, _, port = address.rpartition(':')
    return host, int(port)


if __name__ == '__main__':
    Backend(json.loads(sys.argv[1])).run()
