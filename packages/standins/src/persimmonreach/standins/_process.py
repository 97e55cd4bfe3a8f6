"""Settings, start message and HTTP of the stand-ins' processes."""

import os
import signal
import sys
from collections.abc import Callable, Mapping
from contextlib import closing
from http import HTTPStatus
from pathlib import Path
from typing import Any, Final, TypeAlias

import gevent
import msgspec
from gevent.event import Event
from gevent.pywsgi import WSGIServer
from geventhttpclient import HTTPClient

from persimmonreach.core import Endpoint
from persimmonreach.standins._records import read_record

JsonFunction: TypeAlias = Callable[[Any], Any]
_REQUEST_TIMEOUT_S: Final = 2.0
_PARENT_CHECK_PERIOD_S: Final = 1.0
_HTTP_ERRORS: Final = (OSError, EOFError, RuntimeError, ValueError, gevent.Timeout)


class HttpError(OSError):
    """An HTTP call failed or was answered with another status than 200."""


class JsonServer:
    """HTTP server with JSON bodies.

    Parameters
    ----------
    bind
        Address to bind; port 0 lets the system choose one.
    functions
        Function by ``'METHOD /path'``; it gets the decoded body (None if
        empty) and returns the answer.

    """

    def __init__(self, bind: Endpoint, functions: Mapping[str, JsonFunction]) -> None:
        self._bind = bind
        self._functions = functions
        self._server: Any = None

    @property
    def port(self) -> int:
        """Port that the server listens on."""
        return int(self._server.server_port)

    def start(self) -> None:
        """Bind the socket and serve in greenlets."""
        self._server = WSGIServer(tuple(self._bind), self._serve, log=None)
        self._server.start()

    def stop(self) -> None:
        """Close the socket."""
        self._server.stop(timeout=0)

    def _serve(self, environ: dict[str, Any], start_response: Any) -> list[bytes]:
        method, path = environ['REQUEST_METHOD'], environ['PATH_INFO']
        function = self._functions.get(f'{method} {path}')
        if function is None:
            start_response('404 Not Found', [])
            return [b'']
        body = environ['wsgi.input'].read()
        try:
            answer = function(msgspec.json.decode(body) if body else None)
        except (KeyError, TypeError, ValueError) as error:
            start_response('400 Bad Request', [])
            return [str(error).encode()]
        start_response('200 OK', [('Content-Type', 'application/json')])
        return [msgspec.json.encode(answer)]


def http_status(endpoint: Endpoint, path: str, timeout_s: float) -> int:
    """Return the status of a GET; 0 if there is no answer in time."""
    try:
        with gevent.Timeout(timeout_s):
            return _call(endpoint, 'GET', path, b'')[0]
    except _HTTP_ERRORS:
        return 0


def http_json(endpoint: Endpoint, path: str, body: Any = None) -> Any:
    """Return the JSON answer to a GET, or to a POST if there is a body.

    Raises
    ------
    HttpError
        If there is no answer within 2 s or its status is not 200.

    """
    method = 'GET' if body is None else 'POST'
    content = b'' if body is None else msgspec.json.encode(body)
    try:
        with gevent.Timeout(_REQUEST_TIMEOUT_S):
            status, answer = _call(endpoint, method, path, content)
    except _HTTP_ERRORS as error:
        raise HttpError(f'{method} {path} at {endpoint}: {error}') from error
    if status != HTTPStatus.OK:
        raise HttpError(f'{method} {path} at {endpoint}: status {status}')
    return msgspec.json.decode(answer)


def load_settings(settings_type: Any, path: str) -> Any:
    """Return the settings in a JSON file.

    Raises
    ------
    msgspec.DecodeError
        If the file is not JSON.
    RecordError
        If a field is unknown, missing or of a wrong type.

    """
    return read_record(settings_type, msgspec.json.decode(Path(path).read_bytes()))


def announce(**ports: int) -> None:
    """Print the ports that the process listens on as one JSON line."""
    line = msgspec.json.encode({'event': 'listening', **ports})
    sys.stdout.write(f'{line.decode()}\n')
    sys.stdout.flush()


def wait_for_termination() -> None:
    """Block until the process receives SIGTERM, SIGINT or loses its parent."""
    stopped = Event()
    for number in (signal.SIGTERM, signal.SIGINT):
        gevent.signal_handler(number, stopped.set)
    parent = os.getppid()
    # A demo that was killed cannot end its processes; they end by themselves.
    while not stopped.wait(_PARENT_CHECK_PERIOD_S):
        if os.getppid() != parent:
            return


def _call(endpoint: Endpoint, method: str, path: str, body: bytes) -> tuple[int, bytes]:
    client = HTTPClient(
        endpoint.host,
        endpoint.port,
        connection_timeout=_REQUEST_TIMEOUT_S,
        network_timeout=_REQUEST_TIMEOUT_S,
    )
    with closing(client):
        response = client.request(method, path, body)
        return response.status_code, bytes(response.read())
