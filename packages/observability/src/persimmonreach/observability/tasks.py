"""HTTP server for the metrics, liveness, readiness and status of a process."""

import json
from abc import ABC, abstractmethod
from http import HTTPStatus
from typing import Any

from persimmonreach.core import Endpoint
from persimmonreach.observability._counters import Counters
from persimmonreach.observability._signals import SignalHandlers
from persimmonreach.runtime.http_server import HttpRequest, HttpResponse, HttpServer

__all__ = ('MonitoringServer', 'SignalHandlers', 'StatusSource')


class StatusSource(ABC):
    """Readiness and status of a process."""

    @abstractmethod
    def is_ready(self) -> bool:
        """Return whether packets should be routed to the process."""

    @abstractmethod
    def status(self) -> dict[str, Any]:
        """Return the status of the process as a JSON object."""


class MonitoringServer:
    """HTTP server for ``/metrics``, ``/live``, ``/ready`` and ``/status``.

    Parameters
    ----------
    bind
        Address to listen on; the operating system chooses the port if it is 0.
    counters
        Metrics for ``/metrics``.
    status_source
        State for ``/ready`` and ``/status``.

    """

    def __init__(
        self,
        bind: Endpoint,
        counters: Counters,
        status_source: StatusSource,
    ) -> None:
        self._counters = counters
        self._status_source = status_source
        self._server = HttpServer(bind, self._handle_request)

    @property
    def endpoint(self) -> Endpoint:
        """Address that the server listens on; valid once it is started."""
        return self._server.endpoint

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
        self._server.stop()

    def _handle_request(self, request: HttpRequest) -> HttpResponse:
        if request.path == '/metrics':
            content, headers = self._counters.render(request.accept)
            return HttpResponse(HTTPStatus.OK, content, headers['Content-Type'])
        status, body = self._get_json_response(request.path)
        return HttpResponse(status, json.dumps(body).encode())

    def _get_json_response(self, path: str) -> tuple[HTTPStatus, dict[str, Any]]:
        if path == '/live':
            return HTTPStatus.OK, {'live': True}
        if path == '/ready':
            ready = self._status_source.is_ready()
            status = HTTPStatus.OK if ready else HTTPStatus.SERVICE_UNAVAILABLE
            return status, {'ready': ready}
        if path == '/status':
            return HTTPStatus.OK, self._status_source.status()
        return HTTPStatus.NOT_FOUND, {'error': 'unknown path'}
