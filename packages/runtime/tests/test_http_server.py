"""Guards against requests that are cut instead of rejected."""

import pytest

from persimmonreach.core import Endpoint
from persimmonreach.runtime.http_client import HttpClient, HttpResponseLostError
from persimmonreach.runtime.http_server import (
    MAX_REQUEST_BYTES,
    HttpRequest,
    HttpResponse,
    HttpServer,
    _ReceivedRequests,
)

TIMEOUT_S = 10


def test_request_above_the_limit_that_ends_in_one_chunk_is_rejected() -> None:
    """The size was reset with the end of the request, whose body had been cut."""
    received = _ReceivedRequests()
    received.on_url(b'/path')
    received.on_body(b'x' * (MAX_REQUEST_BYTES + 1))
    received.on_message_complete()
    assert received.is_too_large


def test_response_nested_too_deeply_counts_as_lost() -> None:
    """Such a response ended the task that had sent the request."""

    def respond(request: HttpRequest) -> HttpResponse:
        return HttpResponse(200, b'[' * 200_000)

    server = HttpServer(Endpoint('127.0.0.1', 0), respond)
    server.start()
    client = HttpClient(server.endpoint, TIMEOUT_S)
    with pytest.raises(HttpResponseLostError):
        client.request('GET', '/')
    client.close()
    server.stop()
