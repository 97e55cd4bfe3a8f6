"""Stand-in for the network between callers and entry instances.

Run as ``python -m persimmonreach.standins.fabric SETTINGS.json``.
"""

import random
import sys
from http import HTTPStatus
from typing import Any, Final, NamedTuple

import gevent

from persimmonreach.core import Endpoint, FlowKey
from persimmonreach.runtime import Task, UdpSocket
from persimmonreach.standins._fabric_router import EntryAddress, FabricRouter, Quality
from persimmonreach.standins._process import (
    JsonServer,
    http_status,
    load_settings,
    print_ports,
    wait_for_termination,
)
from persimmonreach.standins._records import read_record

POLL_PERIOD_S: Final = 0.2
_POLL_TIMEOUT_S: Final = 0.5
# A single lost poll does not exclude a healthy entry instance.
FAILED_POLLS_UNTIL_UNREADY: Final = 2


class FabricSettings(NamedTuple):
    """Settings of the fabric; port 0 lets the system choose one."""

    host: str = '127.0.0.1'
    port: int = 0
    http_port: int = 0
    caller_network: str = '10.1.0.0/16'
    seed: int = 1
    quality: Quality = Quality()


class ReceivedPacket(NamedTuple):
    """A packet that the fabric received, and the endpoint that sent it."""

    packet: bytes
    sender: Endpoint


class SetEntries(NamedTuple):
    """Message that replaces the list of entry instances.

    Attributes
    ----------
    entries
        All entry instances.
    revision
        Number that increases with each change of the list. Lists that are sent within
        milliseconds may overtake each other, so one that is not newer is ignored.

    """

    entries: tuple[EntryAddress, ...]
    revision: int


class PollResult(NamedTuple):
    """Result of a readiness poll: the HTTP status, or 0 if there was no response."""

    entry: EntryAddress
    status: int


class FabricTask(Task):
    """Owns the socket, the list of entry instances and the router.

    Parameters
    ----------
    settings
        Settings of the fabric.

    """

    def __init__(self, settings: FabricSettings) -> None:
        super().__init__(POLL_PERIOD_S)
        self._settings = settings
        self._router = FabricRouter(settings.caller_network, random.Random(settings.seed))
        self._router.quality = settings.quality
        self._entries: dict[str, EntryAddress] = {}
        self._entries_revision = 0
        self._failed_polls: dict[str, int] = {}
        self._socket: Any = None
        self._handlers = {
            SetEntries: self._set_entries,
            PollResult: self._record_poll,
            Quality: self._set_quality,
            bytes: self._forget_flow,
        }

    @property
    def port(self) -> int:
        """UDP port."""
        return int(self._socket.endpoint.port)

    @property
    def status(self) -> dict[str, Any]:
        """Counters and the ids of the entry instances that get packets."""
        return {
            'counters': self._router.counters,
            'ready': [entry.id for entry in self._router.ready_entries],
        }

    def start(self) -> None:
        """Bind the socket, and start to receive packets and to poll."""
        self._socket = UdpSocket(Endpoint(self._settings.host, self._settings.port))
        self._resources.callback(self._socket.close)
        self._spawn(self._receive_packets)
        self._spawn(self._poll_periodically)
        super().start()

    def receive(self, message: Any) -> None:
        """Handle one message from the mailbox."""
        if isinstance(message, ReceivedPacket):
            self._forward(message)
        else:
            self._handlers[type(message)](message)

    def tick(self) -> None:
        """Do nothing; polls run in a separate greenlet."""

    def _receive_packets(self) -> None:
        while self._socket is not None:
            self.post(ReceivedPacket(*self._socket.receive()))

    def _poll_periodically(self) -> None:
        while self._socket is not None:
            polls = [gevent.spawn(self._poll, entry) for entry in self._entries.values()]
            gevent.joinall(polls)
            gevent.sleep(POLL_PERIOD_S)

    def _poll(self, entry: EntryAddress) -> None:
        endpoint = Endpoint(entry.host, entry.http_port)
        self.post(PollResult(entry, http_status(endpoint, '/ready', _POLL_TIMEOUT_S)))

    def _forward(self, received: ReceivedPacket) -> None:
        for scheduled in self._router.route(received.packet, received.sender):
            if scheduled.delay_s > 0:
                gevent.spawn_later(
                    scheduled.delay_s,
                    self._socket.send,
                    scheduled.packet,
                    scheduled.destination,
                )
            else:
                self._socket.send(scheduled.packet, scheduled.destination)

    def _set_entries(self, message: SetEntries) -> None:
        if message.revision <= self._entries_revision:
            return
        self._entries_revision = message.revision
        self._entries = {entry.id: entry for entry in message.entries}
        self._update_ready_entries()

    def _record_poll(self, message: PollResult) -> None:
        entry_id = message.entry.id
        if message.status == HTTPStatus.OK:
            self._failed_polls[entry_id] = 0
        elif message.status:
            self._failed_polls[entry_id] = FAILED_POLLS_UNTIL_UNREADY
        else:
            # An entry instance without any poll result yet counts as unready.
            self._failed_polls[entry_id] = (
                self._failed_polls.get(entry_id, FAILED_POLLS_UNTIL_UNREADY) + 1
            )
        self._update_ready_entries()

    def _set_quality(self, message: Quality) -> None:
        self._router.quality = message

    def _forget_flow(self, key: bytes) -> None:
        self._router.forget_flow(FlowKey(key))

    def _update_ready_entries(self) -> None:
        self._router.ready_entries = tuple(
            entry
            for entry_id, entry in self._entries.items()
            if self._failed_polls.get(entry_id, FAILED_POLLS_UNTIL_UNREADY)
            < FAILED_POLLS_UNTIL_UNREADY
        )


class FabricControl:
    """HTTP interface that controls the fabric.

    Parameters
    ----------
    task
        Task of the fabric.

    """

    def __init__(self, task: FabricTask) -> None:
        self._task = task

    def create_server(self, bind: Endpoint) -> JsonServer:
        """Return an HTTP server that is not started yet."""
        return JsonServer(
            bind,
            {
                'GET /status': self._status,
                'POST /entries': self._set_entries,
                'POST /quality': self._set_quality,
                'POST /forget': self._forget_flow,
            },
        )

    def _status(self, _: Any) -> Any:
        return self._task.status

    def _set_entries(self, body: Any) -> Any:
        entries = read_record(tuple[EntryAddress, ...], body['entries'])
        self._task.post(SetEntries(entries, read_record(int, body['revision'])))
        return {}

    def _set_quality(self, body: Any) -> Any:
        self._task.post(read_record(Quality, body))
        return {}

    def _forget_flow(self, body: Any) -> Any:
        self._task.post(bytes.fromhex(body['flow']))
        return {}


def main(path: str) -> None:
    """Run the fabric until SIGTERM."""
    settings = load_settings(FabricSettings, path)
    with FabricTask(settings) as task:
        server = FabricControl(task).create_server(
            Endpoint(settings.host, settings.http_port)
        )
        server.start()
        print_ports(port=task.port, http=server.port)
        wait_for_termination()
        server.stop()


if __name__ == '__main__':
    main(sys.argv[1])
