"""A TCP proxy that can hold back what a client sends, and deliver it later.

It stands for a path on which a partition holds up the bytes of open connections while new
connections work. A client that exits closes its side after its bytes, as TCP does.
"""

import select
import socket
import threading


class HoldingProxy:
    """Forwards connections from an own address to a target."""

    def __init__(self, host: str, target: str) -> None:
        target_host, _, target_port = target.rpartition(':')
        self._target = (target_host, int(target_port))
        self._listener = socket.create_server((host, 0), backlog=128)
        self._released = threading.Event()
        self._released.set()
        self.held_count = 0
        self.delivered: list[bytes] = []
        threading.Thread(target=self._accept, daemon=True).start()

    @property
    def address(self) -> str:
        """Address as host:port."""
        return '{0}:{1}'.format(*self._listener.getsockname())

    def hold(self) -> None:
        """Hold back the bytes of all connections from now on."""
        self._released.clear()

    def release(self) -> None:
        """Deliver what was held back."""
        self._released.set()

    def close(self) -> None:
        """Stop accepting connections."""
        self._listener.close()

    def _accept(self) -> None:
        while True:
            try:
                connection, _ = self._listener.accept()
            except OSError:
                return
            threading.Thread(target=self._serve, args=(connection,), daemon=True).start()

    def _serve(self, connection: socket.socket) -> None:
        with connection:
            sent = connection.recv(65536)
            is_held = not self._released.is_set()
            self.held_count += is_held
            self._released.wait()
            try:
                with socket.create_connection(self._target, timeout=5) as target:
                    self._relay(connection, target, sent)
            except OSError:
                return

    def _relay(self, connection: socket.socket, target: socket.socket, sent: bytes) -> None:
        target.sendall(sent)
        ends = {connection: target, target: connection}
        open_ends = set(ends)
        while target in open_ends:
            for readable in select.select(list(open_ends), [], [], 5)[0]:
                data = readable.recv(65536)
                if not data:
                    open_ends.discard(readable)
                    continue
                if readable is target:
                    self.delivered.append(data.split(b'\r\n')[0])
                try:
                    ends[readable].sendall(data)
                except OSError:
                    # The client is gone; the target still takes what it had sent.
                    continue
