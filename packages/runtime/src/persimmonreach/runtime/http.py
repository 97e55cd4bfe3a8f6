"""HTTP calls over connections that are kept and replaced."""

import json
from collections.abc import Iterator
from contextlib import contextmanager
from http.client import HTTPConnection, HTTPException
from typing import Any, Final, NamedTuple

from gevent import socket

from persimmonreach.core import Endpoint

# Idle connections that are kept for the next call.
_LARGEST_POOL: Final = 2
_JSON: Final = 'application/json'


class HttpUnavailableError(OSError):
    """A call was not sent."""


class HttpUncertainError(OSError):
    """A call was sent and its answer lost."""


class Answer(NamedTuple):
    """Answer of a call: its status and its decoded body."""

    status: int
    body: Any


class HttpCalls:
    """Makes calls to one server; a connection that failed is not used again.

    Parameters
    ----------
    endpoint
        Address of the server.
    timeout_s
        Longest wait for a connection, and for each part of an answer.

    """

    def __init__(self, endpoint: Endpoint, timeout_s: float) -> None:
        self._endpoint = endpoint
        self._timeout_s = timeout_s
        self._idle: list[HTTPConnection] = []

    def close(self) -> None:
        """Close the idle connections."""
        while self._idle:
            self._idle.pop().close()

    def call(
        self,
        method: str,
        path: str,
        body: Any = None,
        extra_wait_s: float = 0,
    ) -> Answer:
        """Make one call.

        Parameters
        ----------
        method
            HTTP method.
        path
            Path with its query.
        body
            Value that is sent as JSON; nothing is sent for None.
        extra_wait_s
            Seconds that the server may wait before it answers.

        Raises
        ------
        HttpUnavailableError
            If nothing was sent.
        HttpUncertainError
            If the answer was lost.

        """
        with self._connection(f'{method} {path}', extra_wait_s) as connection:
            headers = {} if body is None else {'Content-Type': _JSON}
            content = None if body is None else json.dumps(body).encode()
            connection.request(method, path, content, headers)
            response = connection.getresponse()
            answer = response.read()
            return Answer(response.status, json.loads(answer) if answer else None)

    @contextmanager
    def _connection(self, call: str, extra_wait_s: float) -> Iterator[HTTPConnection]:
        connection = self._idle.pop() if self._idle else self._connect(call)
        connection.sock.settimeout(self._timeout_s + extra_wait_s)
        try:
            yield connection
        except (OSError, HTTPException, ValueError) as error:
            connection.close()
            raise HttpUncertainError(f'{call}: {error!r}') from error
        except BaseException:
            # The greenlet was ended in the middle of the call.
            connection.close()
            raise
        self._keep(connection)

    def _connect(self, call: str) -> HTTPConnection:
        connection = _Connection(*self._endpoint, timeout=self._timeout_s)
        try:
            connection.connect()
        except OSError as error:
            connection.close()
            raise HttpUnavailableError(f'{call}: {error!r}') from error
        return connection

    def _keep(self, connection: HTTPConnection) -> None:
        if connection.sock is not None and len(self._idle) < _LARGEST_POOL:
            self._idle.append(connection)
        else:
            connection.close()


class _Connection(HTTPConnection):
    """Connection over a socket that lets other greenlets run.

    The address is an IP number, so nothing has to be resolved.
    """

    def connect(self) -> None:
        """Connect the socket."""
        connected = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
        connected.settimeout(self.timeout)
        connected.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        try:
            connected.connect((self.host, self.port))
        except OSError:
            connected.close()
            raise
        self.sock = connected
