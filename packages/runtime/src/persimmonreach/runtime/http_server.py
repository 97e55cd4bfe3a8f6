"""HTTP server for the small endpoints of a process."""

from collections.abc import Callable
from http import HTTPStatus
from typing import Final, NamedTuple

from gevent import socket
from gevent.server import StreamServer
from httptools import HttpParserError, HttpRequestParser

from persimmonreach.core import Endpoint

# Heartbeats, probes and scrapes are a few hundred bytes; more is refused.
LARGEST_REQUEST_BYTES: Final = 262_144
# A connection without a request for this time is closed. Clients of the
# endpoints call at least twice a minute.
IDLE_S: Final = 60.0
_CHUNK_BYTES: Final = 65_536


class HttpRequest(NamedTuple):
    """Request that was received in full.

    Attributes
    ----------
    method
        HTTP method.
    path
        Path without its query.
    accept
        Value of the Accept header; empty if there is none.
    body
        Content.

    """

    method: str
    path: str
    accept: str = ''
    body: bytes = b''


class HttpResponse(NamedTuple):
    """Response to a request."""

    status: HTTPStatus
    body: bytes = b'{}'
    content_type: str = 'application/json'


class HttpServer:
    """Serves requests, each in the greenlet of its connection.

    Parameters
    ----------
    bind
        Address to listen on; port 0 lets the system choose one.
    respond
        Returns the response to a request.

    """

    def __init__(
        self,
        bind: Endpoint,
        respond: Callable[[HttpRequest], HttpResponse],
    ) -> None:
        self._respond = respond
        self._server = StreamServer(tuple(bind), self._serve)

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

    def _serve(self, connection: socket.socket, _: tuple[str, int]) -> None:
        connection.settimeout(IDLE_S)
        received = _ReceivedRequests()
        with connection:
            try:
                self._answer_all(connection, received)
            except HttpParserError:
                connection.sendall(_encode(HttpResponse(HTTPStatus.BAD_REQUEST), False))
            except OSError:
                # The client has gone or stays silent; nobody waits.
                return

    def _answer_all(
        self,
        connection: socket.socket,
        received: '_ReceivedRequests',
    ) -> None:
        parser = HttpRequestParser(received)
        received.attach(parser)
        while chunk := connection.recv(_CHUNK_BYTES):
            parser.feed_data(chunk)
            if received.is_too_large:
                too_large = HttpResponse(HTTPStatus.REQUEST_ENTITY_TOO_LARGE)
                connection.sendall(_encode(too_large, False))
                return
            is_kept = parser.should_keep_alive()
            for request in received.take():
                connection.sendall(_encode(self._respond(request), is_kept))
            if received.is_idle and not is_kept:
                return


class _ReceivedRequests:
    """Takes the parts of requests from the parser."""

    def __init__(self) -> None:
        self._parser: HttpRequestParser | None = None
        self._complete: list[HttpRequest] = []
        self._begin()

    @property
    def is_idle(self) -> bool:
        """Whether no request has been received in part."""
        return not self._path

    @property
    def is_too_large(self) -> bool:
        """Whether the request is larger than any that is served."""
        return self._size > LARGEST_REQUEST_BYTES

    def attach(self, parser: HttpRequestParser) -> None:
        """Take the methods of requests from ``parser``."""
        self._parser = parser

    def take(self) -> list[HttpRequest]:
        """Return the requests that are complete."""
        taken = self._complete
        self._complete = []
        return taken

    def on_url(self, part: bytes) -> None:
        """Take a part of the path with its query."""
        self._size += len(part)
        self._path += part

    def on_header(self, name: bytes, content: bytes) -> None:
        """Take a header."""
        self._size += len(name) + len(content)
        if name.lower() == b'accept':
            self._accept = content.decode('latin-1')

    def on_body(self, part: bytes) -> None:
        """Take a part of the body."""
        self._size += len(part)
        if not self.is_too_large:
            self._body += part

    def on_message_complete(self) -> None:
        """Note the end of a request."""
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
        self._begin()

    def _begin(self) -> None:
        self._path = b''
        self._accept = ''
        self._body = b''
        self._size = 0


def _encode(response: HttpResponse, is_kept: bool) -> bytes:
    status = response.status
    persistence = 'keep-alive' if is_kept else 'close'
    lines = (
        f'HTTP/1.1 {status.value} {status.phrase}',
        f'Content-Type: {response.content_type}',
        f'Content-Length: {len(response.body)}',
        f'Connection: {persistence}\r\n\r\n',
    )
    return '\r\n'.join(lines).encode('latin-1') + response.body
