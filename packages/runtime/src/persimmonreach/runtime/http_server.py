"""HTTP server for small requests to a process: heartbeats, probes and metrics."""

from collections.abc import Callable
from http import HTTPStatus
from typing import Final, NamedTuple

from gevent import socket
from gevent.server import StreamServer
from httptools import HttpParserError, HttpRequestParser

from persimmonreach.core import Endpoint

# Heartbeats, probes and metric scrapes take a few hundred bytes. Requests above this
# limit are rejected.
MAX_REQUEST_BYTES: Final = 262_144
# A connection that receives nothing for this time is closed. Clients of the server
# send at least two requests per minute.
IDLE_TIMEOUT_S: Final = 60.0
_RECEIVE_CHUNK_BYTES: Final = 65_536


class HttpRequest(NamedTuple):
    """Completely received request.

    Attributes
    ----------
    method
        HTTP method.
    path
        Path without its query.
    accept
        Value of the ``Accept`` header; empty if there is none.
    body
        Request body.

    """

    method: str
    path: str
    accept: str = ''
    body: bytes = b''


class HttpResponse(NamedTuple):
    """Response to a request.

    Attributes
    ----------
    status
        HTTP status.
    body
        Response body.
    content_type
        Value of the ``Content-Type`` header.

    """

    status: HTTPStatus
    body: bytes = b'{}'
    content_type: str = 'application/json'


class HttpServer:
    """HTTP server that handles each connection in its own greenlet.

    Parameters
    ----------
    bind
        Address to listen on; the operating system chooses the port if it is 0.
    handle_request
        Function that returns the response to a request.

    """

    def __init__(
        self,
        bind: Endpoint,
        handle_request: Callable[[HttpRequest], HttpResponse],
    ) -> None:
        self._handle_request = handle_request
        self._server = StreamServer(tuple(bind), self._serve)

    @property
    def endpoint(self) -> Endpoint:
        """Address that the server listens on; valid once it is started."""
        return Endpoint(self._server.server_host, self._server.server_port)

    def start(self) -> None:
        """Start listening.

        Raises
        ------
        OSError
            If the address cannot be bound.

        """
        self._server.start()

    def stop(self) -> None:
        """Stop listening and kill the greenlets of open connections."""
        self._server.stop(timeout=0)

    def _serve(self, connection: socket.socket, _: tuple[str, int]) -> None:
        connection.settimeout(IDLE_TIMEOUT_S)
        received = _ReceivedRequests()
        with connection:
            try:
                self._serve_requests(connection, received)
            except HttpParserError:
                connection.sendall(
                    _encode_response(HttpResponse(HTTPStatus.BAD_REQUEST), False)
                )
            except OSError:
                # The client has closed the connection or is idle; it expects no
                # response.
                return

    def _serve_requests(
        self,
        connection: socket.socket,
        received: '_ReceivedRequests',
    ) -> None:
        parser = HttpRequestParser(received)
        received.set_parser(parser)
        while chunk := connection.recv(_RECEIVE_CHUNK_BYTES):
            parser.feed_data(chunk)
            if received.is_too_large:
                too_large = HttpResponse(HTTPStatus.REQUEST_ENTITY_TOO_LARGE)
                connection.sendall(_encode_response(too_large, False))
                return
            keeps_alive = parser.should_keep_alive()
            for request in received.take_complete():
                connection.sendall(
                    _encode_response(self._handle_request(request), keeps_alive)
                )
            if received.is_between_requests and not keeps_alive:
                return


class _ReceivedRequests:
    """Assembles requests through the callbacks of the parser."""

    def __init__(self) -> None:
        self._parser: HttpRequestParser | None = None
        self._complete: list[HttpRequest] = []
        self._is_too_large = False
        self._reset()

    @property
    def is_between_requests(self) -> bool:
        """Whether no request is partially received."""
        return not self._path

    @property
    def is_too_large(self) -> bool:
        """Whether a received request exceeds ``MAX_REQUEST_BYTES``."""
        return self._is_too_large

    def set_parser(self, parser: HttpRequestParser) -> None:
        """Set the parser that provides the HTTP methods of the requests."""
        self._parser = parser

    def take_complete(self) -> list[HttpRequest]:
        """Remove and return the completely received requests."""
        complete = self._complete
        self._complete = []
        return complete

    def on_url(self, part: bytes) -> None:
        """Append a part of the path and its query."""
        self._count_bytes(len(part))
        self._path += part

    def on_header(self, name: bytes, value: bytes) -> None:
        """Count the size of a header and store the value of ``Accept``."""
        self._count_bytes(len(name) + len(value))
        if name.lower() == b'accept':
            self._accept = value.decode('latin-1')

    def on_body(self, part: bytes) -> None:
        """Append a part of the body."""
        self._count_bytes(len(part))
        if not self.is_too_large:
            self._body += part

    def on_message_complete(self) -> None:
        """Store the request that is now complete."""
        method = self._parser.get_method() if self._parser else b''
        path = self._path.partition(b'?')[0]
        self._complete.append(
            HttpRequest(
                method.decode('latin-1'),
                path.decode('latin-1'),
                self._accept,
                self._body,
            ),
        )
        self._reset()

    def _count_bytes(self, size_bytes: int) -> None:
        self._size_bytes += size_bytes
        # The request may end in the same chunk, so the result outlives it.
        self._is_too_large = self._is_too_large or self._size_bytes > MAX_REQUEST_BYTES

    def _reset(self) -> None:
        self._path = b''
        self._accept = ''
        self._body = b''
        self._size_bytes = 0


def _encode_response(response: HttpResponse, keeps_alive: bool) -> bytes:
    status = response.status
    connection_option = 'keep-alive' if keeps_alive else 'close'
    lines = (
        f'HTTP/1.1 {status.value} {status.phrase}',
        f'Content-Type: {response.content_type}',
        f'Content-Length: {len(response.body)}',
        f'Connection: {connection_option}\r\n\r\n',
    )
    return '\r\n'.join(lines).encode('latin-1') + response.body
