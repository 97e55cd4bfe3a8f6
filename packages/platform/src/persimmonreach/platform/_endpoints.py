"""HTTP endpoint for the reports of a backend server."""

import time
from collections.abc import Callable
from http import HTTPMethod, HTTPStatus
from types import MappingProxyType
from typing import Any, Final

from persimmonreach.core import Action, Count, Endpoint, LogStateChange
from persimmonreach.forwarding import BackendStatusReported
from persimmonreach.platform._bodies import BodyError, decode_leave, decode_report
from persimmonreach.runtime.http_server import HttpRequest, HttpResponse, HttpServer

_HEARTBEAT_PATH: Final = '/Instances.Heartbeat/'
_LEAVE_PATH: Final = '/Instances.Leave/'
_MS_PER_S: Final = 1000
_STATUS_BY_ACCEPTANCE: Final = MappingProxyType(
    {
        True: HTTPStatus.OK,
        False: HTTPStatus.CONFLICT,
        None: HTTPStatus.SERVICE_UNAVAILABLE,
    },
)


class ReportEndpoint:
    """HTTP server that receives the reports and the leave request of a backend server.

    A report is acknowledged only if it is in force: its sender relies on the
    acknowledgement of a report that it drains.

    Parameters
    ----------
    bind
        Address to listen on; port 0 lets the system choose one.
    service
        Service of the backend server; reports of other services are rejected.
    submit
        Passes a decoded request to the agent as an event. Returns whether it is in force;
        None if the agent has not handled it in time.
    sink
        Receives the counts and log lines about malformed reports.

    """

    def __init__(
        self,
        bind: Endpoint,
        service: str,
        submit: Callable[[Any], bool | None],
        sink: Callable[[Action], None],
    ) -> None:
        self._service = service
        self._submit = submit
        self._sink = sink
        self._server = HttpServer(bind, self._respond)

    @property
    def port(self) -> int:
        """Port on which the server listens, once it is started."""
        return self._server.endpoint.port

    def start(self) -> None:
        """Start listening."""
        self._server.start()

    def stop(self) -> None:
        """Stop listening and close the open connections."""
        self._server.stop()

    def _respond(self, request: HttpRequest) -> HttpResponse:
        try:
            return HttpResponse(self._submit_event(request))
        except BodyError as error:
            self._sink(Count('reports_malformed'))
            self._sink(LogStateChange('report_malformed', request.path, str(error)))
            return HttpResponse(HTTPStatus.BAD_REQUEST)

    def _submit_event(self, request: HttpRequest) -> HTTPStatus:
        """Submit the event of a request and return the status of the response.

        Raises
        ------
        BodyError
            If the body is malformed or names another service.

        """
        path = request.path
        if request.method != HTTPMethod.POST:
            return HTTPStatus.NOT_FOUND
        if path.startswith(_LEAVE_PATH):
            left = decode_leave(path.removeprefix(_LEAVE_PATH), request.body)
            return _STATUS_BY_ACCEPTANCE[self._submit(left)]
        if not path.startswith(_HEARTBEAT_PATH):
            return HTTPStatus.NOT_FOUND
        backend = path.removeprefix(_HEARTBEAT_PATH)
        report = decode_report(backend, request.body, self._service)
        return _STATUS_BY_ACCEPTANCE[self._submit(_add_age(report, time.time()))]


def _add_age(report: BackendStatusReported, wall_time_s: float) -> BackendStatusReported:
    if not report.started_at_ms:
        return report
    return report._replace(age_s=wall_time_s - report.started_at_ms / _MS_PER_S)
