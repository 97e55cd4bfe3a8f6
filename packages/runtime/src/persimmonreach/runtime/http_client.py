"""HTTP client for JSON requests over pooled connections."""

import json
from typing import Any, Final, NamedTuple

from gevent import socket
from httptools import HttpParserError, HttpResponseParser

from persimmonreach.core import Endpoint

# Idle connections that are kept open for later requests.
_MAX_IDLE_CONNECTIONS: Final = 2
_RECEIVE_CHUNK_BYTES: Final = 65_536
# Raised by a failed connection, and by a response that is not HTTP or not JSON.
_RESPONSE_ERRORS: Final = (OSError, HttpParserError, ValueError, RecursionError)


class HttpConnectError(OSError):
    """The connection failed, so the request was not sent."""


class HttpResponseLostError(OSError):
    """No valid response arrived; the server may have processed the request."""


class JsonResponse(NamedTuple):
    """Response of a server.

    Attributes
    ----------
    status
        HTTP status code.
    body
        Decoded JSON body; None if it is empty.

    """

    status: int
    body: Any


class HttpClient:
    """HTTP client of one server; a connection that has failed is not reused.

    Parameters
    ----------
    endpoint
        Address of the server.
    timeout_s
        Maximum wait in seconds for a connection and for each part of a response.

    """

    def __init__(self, endpoint: Endpoint, timeout_s: float) -> None:
        self._endpoint = endpoint
        self._timeout_s = timeout_s
        self._idle_connections: list[_Connection] = []

    def close(self) -> None:
        """Close the idle connections."""
        while self._idle_connections:
            self._idle_connections.pop().close()

    def request(
        self,
        method: str,
        path: str,
        body: Any = None,
        extra_timeout_s: float = 0,
    ) -> JsonResponse:
        """Send one request and return the response.

        Parameters
        ----------
        method
            HTTP method.
        path
            Path, with its query if there is one.
        body
            Value to send as JSON; no body is sent if it is None.
        extra_timeout_s
            Seconds that the server may wait before it responds, added to the
            timeout.

        Raises
        ------
        HttpConnectError
            If the request was not sent.
        HttpResponseLostError
            If the request may have been sent but no valid response arrived.

        """
        request_line = f'{method} {path}'
        connection = (
            self._idle_connections.pop()
            if self._idle_connections
            else self._connect(request_line)
        )
        try:
            response = connection.request(
                _encode_request(method, path, self._endpoint.host, body),
                self._timeout_s + extra_timeout_s,
            )
        except _RESPONSE_ERRORS as error:
            connection.close()
            raise HttpResponseLostError(
                f'{request_line}: response lost: {error!r}'
            ) from error
        except BaseException:
            # The greenlet was killed during the request.
            connection.close()
            raise
        self._release(connection)
        return response

    def _connect(self, request_line: str) -> '_Connection':
        try:
            return _Connection(self._endpoint, self._timeout_s)
        except OSError as error:
            raise HttpConnectError(
                f'{request_line}: connection failed: {error!r}'
            ) from error

    def _release(self, connection: '_Connection') -> None:
        if connection.is_reusable and len(self._idle_connections) < _MAX_IDLE_CONNECTIONS:
            self._idle_connections.append(connection)
        else:
            connection.close()


class _Connection:
    """Connection that carries one request at a time."""

    def __init__(self, endpoint: Endpoint, timeout_s: float) -> None:
        self.is_reusable = True
        self._socket = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
        self._socket.settimeout(timeout_s)
        self._socket.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        try:
            self._socket.connect(tuple(endpoint))
        except BaseException:
            self.close()
            raise

    def request(self, encoded_request: bytes, timeout_s: float) -> JsonResponse:
        """Send an encoded request and return the response.

        Raises
        ------
        OSError
            If the connection failed.
        HttpParserError
            If the received bytes are not an HTTP response.
        ValueError
            If the body of the response is not JSON.
        RecursionError
            If the body is nested too deeply.

        """
        self._socket.settimeout(timeout_s)
        self._socket.sendall(encoded_request)
        received = _ReceivedResponse()
        parser = HttpResponseParser(received)
        while not received.is_complete:
            chunk = self._socket.recv(_RECEIVE_CHUNK_BYTES)
            if not chunk:
                raise ConnectionResetError(
                    'server closed the connection before the end of the response'
                )
            parser.feed_data(chunk)
        self.is_reusable = parser.should_keep_alive()
        body = b''.join(received.body_parts)
        return JsonResponse(parser.get_status_code(), json.loads(body) if body else None)

    def close(self) -> None:
        """Close the connection."""
        self._socket.close()


class _ReceivedResponse:
    """Collects the body of a response through the callbacks of the parser."""

    def __init__(self) -> None:
        self.body_parts: list[bytes] = []
        self.is_complete = False

    def on_body(self, part: bytes) -> None:
        """Append a part of the body."""
        self.body_parts.append(part)

    def on_message_complete(self) -> None:
        """Record the end of the response."""
        self.is_complete = True


def _encode_request(method: str, path: str, host: str, body: Any) -> bytes:
    encoded_body = b'' if body is None else json.dumps(body).encode()
    lines = [f'{method} {path} HTTP/1.1', f'Host: {host}']
    if body is not None:
        lines.append('Content-Type: application/json')
    lines.append(f'Content-Length: {len(encoded_body)}\r\n\r\n')
    return '\r\n'.join(lines).encode() + encoded_body
