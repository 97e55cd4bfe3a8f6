"""Stand-in for the platform's key-value store, over HTTP on loopback.

The protocol is that of ``HttpStore``. In addition, ``POST /control`` with any
of ``{"outage", "delay_s", "lose_writes"}`` replaces the faults, and ``GET
/control`` returns the counters.
"""

import argparse
import json
import sys
from collections.abc import Callable, Iterable
from http import HTTPStatus
from types import MappingProxyType
from typing import Any, Final, TypeAlias

import gevent
from gevent.event import Event
from gevent.pywsgi import WSGIHandler, WSGIServer
from gevent.socket import SHUT_RDWR

from persimmonreach.configuration import (
    CompareFailedError,
    LeaseLostError,
    StoreUnavailableError,
    StoreUncertainError,
    StoreValue,
)
from persimmonreach.core import Clock, MonotonicClock
from persimmonreach.standins.store_state import Faults, FaultSwitch, StoreState

# Leases lapse without a call, so a waiting watch looks again this often.
_EXPIRY_CHECK_S: Final = 1
Operation: TypeAlias = Callable[[dict[str, Any]], dict[str, Any]]
_CONNECTION: Final = 'persimmonreach.connection'
_STATUS: Final = MappingProxyType(
    {
        CompareFailedError: HTTPStatus.CONFLICT,
        LeaseLostError: HTTPStatus.GONE,
        StoreUnavailableError: HTTPStatus.SERVICE_UNAVAILABLE,
    },
)


class _StoreHandler(WSGIHandler):
    def get_environ(self) -> dict[str, Any]:
        """Return the environment with the connection, so that it can be closed."""
        return {**super().get_environ(), _CONNECTION: self.socket}


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
        self._switch = FaultSwitch()
        self._changed = Event()
        self._server = WSGIServer(
            ('127.0.0.1', port),
            self._serve,
            log=None,
            handler_class=_StoreHandler,
        )
        self._operations: dict[str, Operation] = {
            'get': self._get,
            'list': self._list,
            'put': self._put,
            'delete': self._delete,
            'grant': self._grant,
            'keepalive': self._keep_alive,
            'watch': self._watch,
        }

    @property
    def port(self) -> int:
        """Port of the server."""
        return self._server.server_port

    @property
    def switch(self) -> FaultSwitch:
        """Faults and counters."""
        return self._switch

    def start(self) -> None:
        """Listen for calls."""
        self._server.start()

    def serve_forever(self) -> None:
        """Serve until the process is stopped."""
        self._server.serve_forever()

    def stop(self) -> None:
        """Close the socket and all connections."""
        self._server.stop(timeout=0)

    def _serve(self, environ: dict[str, Any], start: Any) -> Iterable[bytes]:
        path = environ['PATH_INFO']
        body = environ['wsgi.input'].read()
        request = json.loads(body) if body else {}
        if path == '/control':
            return _respond(start, HTTPStatus.OK, self._control(request))
        operation = self._operations.get(path.removeprefix('/v1/'))
        if operation is None:
            return _respond(start, HTTPStatus.NOT_FOUND, {})
        try:
            return _respond(start, HTTPStatus.OK, self._call(operation, request))
        except StoreUncertainError:
            # The write took effect; the caller gets no answer.
            environ[_CONNECTION].shutdown(SHUT_RDWR)
            return _respond(start, HTTPStatus.OK, {})
        except (CompareFailedError, LeaseLostError, StoreUnavailableError) as error:
            return _respond(start, _STATUS[type(error)], {'problem': str(error)})

    def _call(
        self,
        operation: Operation,
        request: dict[str, Any],
    ) -> dict[str, Any]:
        self._switch.before_call()
        gevent.sleep(self._switch.faults.delay_s)
        return operation(request)

    def _control(self, request: dict[str, Any]) -> dict[str, Any]:
        if request:
            lost = frozenset(request.pop('lose_writes', ()))
            self._switch.set_faults(Faults(lose_writes=lost, **request))
        return {'calls': self._switch.calls, 'writes': self._switch.writes}

    def _written(self) -> None:
        self._changed.set()
        self._changed.clear()
        self._switch.after_write()

    def _get(self, request: dict[str, Any]) -> dict[str, Any]:
        return {'value': self._state.get(request['key'], self._clock.now())}

    def _list(self, request: dict[str, Any]) -> dict[str, Any]:
        return self._state.list_prefix(request['prefix'], self._clock.now())._asdict()

    def _put(self, request: dict[str, Any]) -> dict[str, Any]:
        row = StoreValue(request['key'], request['value'], request['expected'])
        revision = self._state.put(row, request['lease'], self._clock.now())
        self._written()
        return {'revision': revision}

    def _delete(self, request: dict[str, Any]) -> dict[str, Any]:
        self._state.delete(request['key'], self._clock.now())
        self._written()
        return {}

    def _grant(self, request: dict[str, Any]) -> dict[str, Any]:
        lease = self._state.grant_lease(request['ttl_s'], self._clock.now())
        self._written()
        return {'lease': lease}

    def _keep_alive(self, request: dict[str, Any]) -> dict[str, Any]:
        self._state.keep_alive(request['lease'], self._clock.now())
        return {}

    def _watch(self, request: dict[str, Any]) -> dict[str, Any]:
        prefixes = tuple(request['prefixes'])
        deadline = self._clock.now() + request['timeout_s']
        while True:
            now = self._clock.now()
            watched = self._state.watched(prefixes, request['after'], now)
            if watched.changed or now >= deadline:
                return watched._asdict()
            if self._switch.faults.outage:
                raise StoreUnavailableError('outage')
            self._changed.wait(min(deadline - now, _EXPIRY_CHECK_S))


def _respond(start: Any, status: HTTPStatus, answer: dict[str, Any]) -> list[bytes]:
    body = json.dumps(answer).encode()
    start(
        f'{status.value} {status.phrase}',
        [('Content-Type', 'application/json'), ('Content-Length', str(len(body)))],
    )
    return [body]


def main() -> None:
    """Serve until the process is stopped."""
    parser = argparse.ArgumentParser()
    parser.add_argument('--port', type=int, default=0)
    server = StoreServer(MonotonicClock(), parser.parse_args().port)
    server.start()
    sys.stdout.write(json.dumps({'event': 'listening', 'port': server.port}))
    sys.stdout.write('\n')
    sys.stdout.flush()
    server.serve_forever()


if __name__ == '__main__':
    main()
