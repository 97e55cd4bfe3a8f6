"""Stand-in of the network between callers and entry instances.

Run as ``python -m persimmonreach.standins.fabric SETTINGS.json``.
"""

import random
import sys
from http import HTTPStatus
from typing import Any, Final, NamedTuple

import gevent

from persimmonreach.core import Endpoint, FlowKey
from persimmonreach.runtime import Task, UdpSocket
from persimmonreach.standins._fabric_path import EntryAddress, FabricPath, Quality
from persimmonreach.standins._process import (
    JsonServer,
    announce,
    http_status,
    load_settings,
    wait_for_termination,
)
from persimmonreach.standins._records import read_record

POLL_PERIOD_S: Final = 0.2
_POLL_TIMEOUT_S: Final = 0.5
# One lost poll must not take a healthy entry instance out of use.
FAILURES_UNTIL_UNUSED: Final = 2


class FabricSettings(NamedTuple):
    """Settings of the fabric; port 0 lets the system choose one."""

    host: str = '127.0.0.1'
    port: int = 0
    http_port: int = 0
    caller_network: str = '10.1.0.0/16'
    seed: int = 1
    quality: Quality = Quality()


class Arrival(NamedTuple):
    """A packet that reached the fabric."""

    packet: bytes
    sender: Endpoint


class SetEntries(NamedTuple):
    """Replace the list of entry instances."""

    entries: tuple[EntryAddress, ...]


class Polled(NamedTuple):
    """Answer of one entry instance to a readiness poll; 0 for none."""

    entry: EntryAddress
    status: int


class FabricTask(Task):
    """Owns the socket, the list of entry instances and the path.

    Parameters
    ----------
    settings
        Settings of the fabric.

    """

    def __init__(self, settings: FabricSettings) -> None:
        super().__init__(POLL_PERIOD_S)
        self._settings = settings
        self._path = FabricPath(settings.caller_network, random.Random(settings.seed))
        self._path.quality = settings.quality
        self._entries: dict[str, EntryAddress] = {}
        self._failures: dict[str, int] = {}
        self._socket: Any = None
        self._handlers = {
            SetEntries: self._set_entries,
            Polled: self._polled,
            Quality: self._set_quality,
            bytes: self._forget,
        }

    @property
    def port(self) -> int:
        """UDP port."""
        return int(self._socket.endpoint.port)

    @property
    def status(self) -> dict[str, Any]:
        """Counters and the entry instances in use."""
        return {
            'counters': self._path.counters,
            'ready': [entry.id for entry in self._path.ready],
        }

    def start(self) -> None:
        """Bind the socket and start."""
        self._socket = UdpSocket(Endpoint(self._settings.host, self._settings.port))
        self._resources.callback(self._socket.close)
        self._spawn(self._listen)
        self._spawn(self._poll_periodically)
        super().start()

    def receive(self, message: Any) -> None:
        """Handle one message from the mailbox."""
        if isinstance(message, Arrival):
            self._forward(message)
        else:
            self._handlers[type(message)](message)

    def tick(self) -> None:
        """Do nothing; polls run in a greenlet of their own."""

    def _listen(self) -> None:
        while self._socket is not None:
            self.post(Arrival(*self._socket.receive()))

    def _poll_periodically(self) -> None:
        while self._socket is not None:
            polls = [gevent.spawn(self._poll, entry) for entry in self._entries.values()]
            gevent.joinall(polls)
            gevent.sleep(POLL_PERIOD_S)

    def _poll(self, entry: EntryAddress) -> None:
        endpoint = Endpoint(entry.host, entry.http_port)
        self.post(Polled(entry, http_status(endpoint, '/ready', _POLL_TIMEOUT_S)))

    def _forward(self, arrival: Arrival) -> None:
        for departure in self._path.route(arrival.packet, arrival.sender):
            if departure.delay_s > 0:
                gevent.spawn_later(
                    departure.delay_s,
                    self._socket.send,
                    departure.packet,
                    departure.to,
                )
            else:
                self._socket.send(departure.packet, departure.to)

    def _set_entries(self, message: SetEntries) -> None:
        self._entries = {entry.id: entry for entry in message.entries}
        self._refresh()

    def _polled(self, message: Polled) -> None:
        name = message.entry.id
        if message.status == HTTPStatus.OK:
            self._failures[name] = 0
        elif message.status:
            self._failures[name] = FAILURES_UNTIL_UNUSED
        else:
            # An entry instance that was never ready has no entry here.
            self._failures[name] = self._failures.get(name, FAILURES_UNTIL_UNUSED) + 1
        self._refresh()

    def _set_quality(self, message: Quality) -> None:
        self._path.quality = message

    def _forget(self, key: bytes) -> None:
        self._path.forget(FlowKey(key))

    def _refresh(self) -> None:
        self._path.ready = tuple(
            entry
            for name, entry in self._entries.items()
            if self._failures.get(name, FAILURES_UNTIL_UNUSED) < FAILURES_UNTIL_UNUSED
        )


class FabricControl:
    """HTTP control path of the fabric.

    Parameters
    ----------
    task
        Task that the calls are posted to.

    """

    def __init__(self, task: FabricTask) -> None:
        self._task = task

    def server(self, bind: Endpoint) -> JsonServer:
        """Return the HTTP server of the control path."""
        return JsonServer(
            bind,
            {
                'GET /status': self._status,
                'POST /entries': self._entries,
                'POST /quality': self._quality,
                'POST /forget': self._forget,
            },
        )

    def _status(self, _: Any) -> Any:
        return self._task.status

    def _entries(self, body: Any) -> Any:
        entries = read_record(tuple[EntryAddress, ...], body['entries'])
        self._task.post(SetEntries(entries))
        return {}

    def _quality(self, body: Any) -> Any:
        self._task.post(read_record(Quality, body))
        return {}

    def _forget(self, body: Any) -> Any:
        self._task.post(bytes.fromhex(body['flow']))
        return {}


def main(path: str) -> None:
    """Run the fabric until SIGTERM."""
    settings = load_settings(FabricSettings, path)
    with FabricTask(settings) as task:
        server = FabricControl(task).server(Endpoint(settings.host, settings.http_port))
        server.start()
        announce(port=task.port, http=server.port)
        wait_for_termination()
        server.stop()


if __name__ == '__main__':
    main(sys.argv[1])
