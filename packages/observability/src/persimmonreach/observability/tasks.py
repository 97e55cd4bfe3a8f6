"""HTTP endpoints of a process: metrics, liveness, readiness and status."""

import json
from abc import ABC, abstractmethod
from collections.abc import Callable, Iterable
from typing import Any, Final

from gevent.pywsgi import WSGIServer

from persimmonreach.core import Endpoint
from persimmonreach.observability._counters import Counters
from persimmonreach.observability._signals import StopSignal

__all__ = ('HttpEndpoint', 'StatusSource', 'StopSignal')

_OK: Final = '200 OK'
_UNAVAILABLE: Final = '503 Service Unavailable'
_NOT_FOUND: Final = '404 Not Found'


class StatusSource(ABC):
    """What the endpoints report of the process."""

    @abstractmethod
    def is_ready(self) -> bool:
        """Return whether the process should be given packets."""

    @abstractmethod
    def status(self) -> dict[str, Any]:
        """Return the state of the process as JSON values."""


class HttpEndpoint:
    """HTTP server for ``/metrics``, ``/live``, ``/ready`` and ``/status``.

    Parameters
    ----------
    bind
        Address to listen on; port 0 lets the system choose one.
    counters
        Figures of ``/metrics``.
    source
        State of ``/ready`` and ``/status``.

    """

    def __init__(
        self,
        bind: Endpoint,
        counters: Counters,
        source: StatusSource,
    ) -> None:
        self._counters = counters
        self._source = source
        self._server = WSGIServer(tuple(bind), self._respond, log=None)

    @property
    def endpoint(self) -> Endpoint:
        """Address that the server listens on, once started."""
        return Endpoint(self._server.server_host, self._server.server_port)

    def start(self) -> None:
        """Start to listen."""
        self._server.start()

    def stop(self) -> None:
        """Stop listening and end the open connections."""
        self._server.stop(timeout=0)

    def _respond(
        self,
        environ: dict[str, Any],
        start_response: Callable[..., Any],
    ) -> Iterable[bytes]:
        path = environ['PATH_INFO']
        if path == '/metrics':
            content, headers = self._counters.render(environ.get('HTTP_ACCEPT', ''))
            start_response(_OK, list(headers.items()))
            return [content]
        status, body = self._answer(path)
        start_response(status, [('Content-Type', 'application/json')])
        return [json.dumps(body).encode()]

    def _answer(self, path: str) -> tuple[str, dict[str, Any]]:
        if path == '/live':
            return _OK, {'live': True}
        if path == '/ready':
            ready = self._source.is_ready()
            return (_OK if ready else _UNAVAILABLE), {'ready': ready}
        if path == '/status':
            return _OK, self._source.status()
        return _NOT_FOUND, {'error': 'unknown path'}
