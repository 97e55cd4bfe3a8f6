"""Settings, startup message and HTTP of the processes of the stand-ins."""

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
    """An HTTP request failed, or the status of its response is not 200."""


class JsonServer:
    """HTTP server with JSON requests and responses.

    A request that its function rejects with KeyError, TypeError or ValueError
    gets status 400.

    Parameters
    ----------
    bind
        Address to bind; port 0 lets the system choose one.
    functions
        Function by ``'METHOD /path'``; it gets the decoded body, None if the
        body is empty, and returns the content of the response.

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
        """Bind the socket and serve requests in greenlets."""
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
            response = function(msgspec.json.decode(body) if body else None)
        except (KeyError, TypeError, ValueError) as error:
            start_response('400 Bad Request', [])
            return [str(error).encode()]
        start_response('200 OK', [('Content-Type', 'application/json')])
        return [msgspec.json.encode(response)]


def http_status(endpoint: Endpoint, path: str, timeout_s: float) -> int:
    """Return the status of a GET request; 0 if there is no response in time."""
    try:
        with gevent.Timeout(timeout_s):
            return _send_request(endpoint, 'GET', path, b'')[0]
    except _HTTP_ERRORS:
        return 0


def http_json(endpoint: Endpoint, path: str, body: Any = None) -> Any:
    """Return the decoded response to a GET request, or a POST request with a body.

    Raises
    ------
    HttpError
        If there is no response within 2 s, or its status is not 200.

    """
    method = 'GET' if body is None else 'POST'
    content = b'' if body is None else msgspec.json.encode(body)
    try:
        with gevent.Timeout(_REQUEST_TIMEOUT_S):
            status, response = _send_request(endpoint, method, path, content)
    except _HTTP_ERRORS as error:
        raise HttpError(f'{method} {path} at {endpoint}: {error}') from error
    if status != HTTPStatus.OK:
        raise HttpError(
            f'{method} {path} at {endpoint}: expected status 200, found {status}'
        )
    return msgspec.json.decode(response)


def load_settings(settings_type: Any, path: str) -> Any:
    """Return the settings in a JSON file as a value of ``settings_type``.

    Raises
    ------
    msgspec.DecodeError
        If the file is not JSON.
    RecordError
        If a field is unknown, missing or of another type.

    """
    return read_record(settings_type, msgspec.json.decode(Path(path).read_bytes()))


def print_ports(**ports: int) -> None:
    """Print the ports that the process listens on, as one JSON line."""
    line = msgspec.json.encode({'event': 'listening', **ports})
    sys.stdout.write(f'{line.decode()}\n')
    sys.stdout.flush()


def wait_for_termination() -> None:
    """Block until the process receives SIGTERM or SIGINT, or its parent ends."""
    stop_requested = Event()
    for signal_number in (signal.SIGTERM, signal.SIGINT):
        gevent.signal_handler(signal_number, stop_requested.set)
    parent_pid = os.getppid()
    # A parent that was killed cannot end its child processes, so each of them checks
    # whether its parent is still running.
    while not stop_requested.wait(_PARENT_CHECK_PERIOD_S):
        if os.getppid() != parent_pid:
            return


def _send_request(
    endpoint: Endpoint, method: str, path: str, body: bytes
) -> tuple[int, bytes]:
    client = HTTPClient(
        endpoint.host,
        endpoint.port,
        connection_timeout=_REQUEST_TIMEOUT_S,
        network_timeout=_REQUEST_TIMEOUT_S,
    )
    with closing(client):
        response = client.request(method, path, body)
        return response.status_code, bytes(response.read())
