"""Stand-in for the store of the platform, over HTTP on loopback.

Implements the HTTP interface that the platform documents for its store. In
addition, ``POST /control`` with any fields of :class:`Faults` replaces the
simulated faults, and ``GET /control`` returns the number of calls by name.
"""

import argparse
import json
from base64 import b64decode, b64encode
from collections import Counter
from collections.abc import Callable, Iterable
from http import HTTPMethod, HTTPStatus
from types import MappingProxyType
from typing import Any, Final, NamedTuple
from urllib.parse import parse_qs

import gevent
from gevent.pywsgi import WSGIHandler, WSGIServer
from gevent.socket import IPPROTO_TCP, SHUT_RDWR, TCP_NODELAY

from persimmonreach.core import Clock, MonotonicClock
from persimmonreach.standins._process import print_ports, wait_for_termination
from persimmonreach.standins.store_state import (
    FaultInjector,
    Faults,
    StoreState,
    Write,
)
from persimmonreach.store import (
    CompareFailedError,
    HistoryLostError,
    KeyValue,
    LeaseLostError,
    StoreUnavailableError,
    WriteOutcomeUnknownError,
)

# A waiting watch checks for changes at this interval, which also expires leases in
# time.
_WATCH_POLL_PERIOD_S: Final = 0.02
_MAX_PAGE_ITEMS: Final = 500
_MS_PER_S: Final = 1000
_CONNECTION_KEY: Final = 'persimmonreach.connection'
_KEEP_ALIVE_PATH: Final = '/kv-keep/'
_END_LEASE_PATH: Final = '/kv-lease-end/'
_CONTROL_PATH: Final = '/control'
_STATUS_BY_ERROR: Final = MappingProxyType(
    {
        CompareFailedError: HTTPStatus.PRECONDITION_FAILED,
        LeaseLostError: HTTPStatus.NOT_FOUND,
        HistoryLostError: HTTPStatus.GONE,
    },
)


class _Request(NamedTuple):
    method: str
    path: str
    query: dict[str, str]
    body: Any


class _StoreHandler(WSGIHandler):
    def handle(self) -> None:
        """Serve a connection without Nagle's algorithm, which delays small segments."""
        self.socket.setsockopt(IPPROTO_TCP, TCP_NODELAY, 1)
        super().handle()

    def get_environ(self) -> dict[str, Any]:
        """Return the WSGI environment with the socket added, so that it can be closed."""
        return {**super().get_environ(), _CONNECTION_KEY: self.socket}


class StoreServer:
    """HTTP server of the stand-in store.

    Parameters
    ----------
    clock
        Clock of the leases.
    port
        Port on 127.0.0.1; 0 lets the system choose one.

    """

    def __init__(self, clock: Clock, port: int = 0) -> None:
        self._clock = clock
        self._state = StoreState()
        self._fault_injector = FaultInjector()
        self._call_counts: Counter[str] = Counter()
        self._server = WSGIServer(
            ('127.0.0.1', port),
            self._serve,
            log=None,
            handler_class=_StoreHandler,
        )
        self._operations: dict[str, Callable[[_Request], Any]] = {
            '/kv-key': self._get_key,
            '/kv-range': self._list_range,
            '/kv-watch': self._watch,
            '/kv-txn': self._commit,
            '/kv-lease': self._grant_lease,
        }

    @property
    def port(self) -> int:
        """Port that the server listens on."""
        return self._server.server_port

    @property
    def state(self) -> StoreState:
        """State of the store."""
        return self._state

    @property
    def call_counts(self) -> Counter[str]:
        """Number of calls by the first component of their path."""
        return self._call_counts

    @property
    def fault_injector(self) -> FaultInjector:
        """Simulated faults, and number of calls and writes."""
        return self._fault_injector

    def start(self) -> None:
        """Bind the socket and serve calls in greenlets."""
        self._server.start()

    def stop(self) -> None:
        """Close the socket and all connections."""
        self._server.stop(timeout=0)

    def _serve(self, environ: dict[str, Any], start_response: Any) -> Iterable[bytes]:
        request = _parse_request(environ)
        if request.path == _CONTROL_PATH:
            return _respond(start_response, HTTPStatus.OK, self._control(request))
        self._call_counts[request.path.split('/')[1]] += 1
        gevent.sleep(self._fault_injector.faults.delay_s)
        try:
            self._fault_injector.before_call()
        except StoreUnavailableError as error:
            outage_status = HTTPStatus(self._fault_injector.faults.refuse)
            return _respond(start_response, outage_status, {'error': str(error)})
        status, body = self._handle(request)
        if self._is_response_lost(request):
            environ[_CONNECTION_KEY].shutdown(SHUT_RDWR)
        return _respond(start_response, status, body)

    def _is_response_lost(self, request: _Request) -> bool:
        if request.method == HTTPMethod.GET or request.path.startswith(_KEEP_ALIVE_PATH):
            return self._fault_injector.faults.silent
        try:
            self._fault_injector.after_write()
        except WriteOutcomeUnknownError:
            return True
        return self._fault_injector.faults.silent

    def _handle(self, request: _Request) -> tuple[HTTPStatus, Any]:
        try:
            body = self._dispatch(request)
        except (CompareFailedError, LeaseLostError, HistoryLostError) as error:
            return _STATUS_BY_ERROR[type(error)], {'error': str(error)}
        return (HTTPStatus.NOT_FOUND, {}) if body is None else (HTTPStatus.OK, body)

    def _dispatch(self, request: _Request) -> Any:
        if request.path.startswith(_KEEP_ALIVE_PATH):
            lease_id = int(request.path.removeprefix(_KEEP_ALIVE_PATH))
            self._state.keep_alive(lease_id, self._clock.now())
            return {}
        if request.path.startswith(_END_LEASE_PATH):
            lease_id = int(request.path.removeprefix(_END_LEASE_PATH))
            self._state.end_lease(lease_id, self._clock.now())
            return {}
        operation = self._operations.get(request.path)
        return operation(request) if operation else None

    def _control(self, request: _Request) -> Any:
        if request.method == HTTPMethod.POST:
            lost_writes = frozenset(request.body.pop('lose_writes', ()))
            self._fault_injector.set_faults(
                Faults(lose_writes=lost_writes, **request.body)
            )
        return dict(self._call_counts)

    def _get_key(self, request: _Request) -> Any:
        value = self._state.get(request.query['key'], self._clock.now())
        return value and {**self._encode_item(value), 'asOf': self._state.revision}

    def _list_range(self, request: _Request) -> Any:
        listing = self._state.list_prefix(request.query['prefix'], self._clock.now())
        after_key = request.query.get('after', '')
        rows = [row for row in listing.rows if row.key > after_key]
        return {
            'items': [self._encode_item(row) for row in rows[:_MAX_PAGE_ITEMS]],
            'hasMore': len(rows) > _MAX_PAGE_ITEMS,
            'asOf': listing.revision,
        }

    def _watch(self, request: _Request) -> Any:
        after_revision = int(request.query['after'])
        ends_at = self._clock.now() + int(request.query['waitMs']) / _MS_PER_S
        while True:
            now = self._clock.now()
            changes = self._state.changes(request.query['prefix'], after_revision, now)
            if changes.written or changes.deleted_keys or now >= ends_at:
                break
            gevent.sleep(_WATCH_POLL_PERIOD_S)
        deleted = [
            {'key': key, 'revision': changes.revision, 'tombstone': True}
            for key in changes.deleted_keys
        ]
        written = [self._encode_item(row) for row in changes.written]
        return {'events': [*written, *deleted], 'asOf': changes.revision}

    def _commit(self, request: _Request) -> Any:
        body = request.body
        revision = self._state.commit(
            [(row['key'], row['revision']) for row in body['expected']],
            [
                Write(row['key'], b64decode(row['value']), row.get('lease', 0))
                for row in body['setKeys']
            ],
            body['remove'],
            self._clock.now(),
        )
        return {'revision': revision}

    def _grant_lease(self, request: _Request) -> Any:
        ttl_ms = request.body['ttlMs']
        lease_id = self._state.grant_lease(ttl_ms / _MS_PER_S, self._clock.now())
        return {'lease': lease_id, 'ttlMs': ttl_ms}

    def _encode_item(self, value: KeyValue) -> dict[str, Any]:
        return {
            'key': value.key,
            'value': b64encode(value.value).decode(),
            'revision': value.revision,
            'created': value.revision,
            'lease': self._state.lease_id_of(value.key),
        }


def _parse_request(environ: dict[str, Any]) -> _Request:
    content = environ['wsgi.input'].read()
    query = {name: texts[0] for name, texts in parse_qs(environ['QUERY_STRING']).items()}
    return _Request(
        environ['REQUEST_METHOD'],
        environ['PATH_INFO'],
        query,
        json.loads(content) if content else {},
    )


def _respond(start_response: Any, status: HTTPStatus, body: Any) -> list[bytes]:
    content = json.dumps(body).encode()
    headers = [
        ('Content-Type', 'application/json'),
        ('Content-Length', str(len(content))),
    ]
    start_response(f'{status.value} {status.phrase}', headers)
    return [content]


def main() -> None:
    """Run the store until SIGTERM."""
    parser = argparse.ArgumentParser(
        description='Stand-in for the store of the platform.'
    )
    parser.add_argument('--port', type=int, default=0)
    server = StoreServer(MonotonicClock(), parser.parse_args().port)
    server.start()
    print_ports(port=server.port)
    wait_for_termination()
    server.stop()


if __name__ == '__main__':
    main()
