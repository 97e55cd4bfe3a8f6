"""Tests of the HTTP endpoint for reports of a backend server.

They guard against reports that are lost, and against reports of another service
that are accepted.
"""

import json
import time
from collections.abc import Iterator
from contextlib import closing
from typing import Any

import pytest
from geventhttpclient import HTTPClient

from persimmonreach.core import Endpoint
from persimmonreach.forwarding import BackendLeft, BackendStatusReported
from persimmonreach.platform._endpoints import ReportEndpoint

BODY = {
    'service': 'svc',
    'address': '10.0.0.1:80',
    'zone': 'z',
    'slots': 3,
    'state': 'draining',
    'coldRemainingMs': 0,
    'sequence': 9,
    'born': 5,
}


class Harness:
    def __init__(self) -> None:
        self.events: list[Any] = []
        self.is_accepted: bool | None = True
        self.actions: list[Any] = []
        self.endpoint = ReportEndpoint(
            Endpoint('127.0.0.1', 0),
            'svc',
            self.submit,
            self.actions.append,
        )

    def submit(self, event: Any) -> bool | None:
        self.events.append(event)
        return self.is_accepted

    def post(self, path: str, body: bytes) -> int:
        with closing(HTTPClient('127.0.0.1', port=self.endpoint.port)) as client:
            return client.post(path, body).status_code


@pytest.fixture
def harness() -> Iterator[Harness]:
    new_harness = Harness()
    new_harness.endpoint.start()
    yield new_harness
    new_harness.endpoint.stop()


def test_a_heartbeat_is_acknowledged_and_posted(harness: Harness) -> None:
    assert harness.post('/Instances.Heartbeat/i-1', json.dumps(BODY).encode()) == 200
    report = harness.events[0]
    assert isinstance(report, BackendStatusReported)
    assert (report.backend, report.sequence) == ('i-1', 9)


def test_a_leave_request_is_posted(harness: Harness) -> None:
    assert harness.post('/Instances.Leave/i-1', b'') == 200
    assert harness.events == [BackendLeft('i-1')]


def test_a_leave_request_names_the_start_of_its_sender(harness: Harness) -> None:
    """An earlier process with the same id may have sent it."""
    assert harness.post('/Instances.Leave/i-1', b'{"born": 7}') == 200
    assert harness.events == [BackendLeft('i-1', 7)]


@pytest.mark.parametrize('body', [b'nonsense', b'{"born": "x"}', b'[]'])
def test_a_malformed_leave_request_is_refused(harness: Harness, body: bytes) -> None:
    assert harness.post('/Instances.Leave/i-1', body) == 400
    assert harness.events == []


@pytest.mark.parametrize(
    'body',
    [b'', b'{}', b'nonsense', json.dumps({**BODY, 'service': 'other'}).encode()],
)
def test_a_malformed_or_foreign_report_is_refused(harness: Harness, body: bytes) -> None:
    assert harness.post('/Instances.Heartbeat/i-1', body) == 400
    assert harness.events == []
    assert harness.actions


def test_unknown_paths_are_refused(harness: Harness) -> None:
    assert harness.post('/other', b'{}') == 404


@pytest.mark.parametrize(('is_accepted', 'status'), [(False, 409), (None, 503)])
@pytest.mark.parametrize('path', ['/Instances.Heartbeat/i-1', '/Instances.Leave/i-1'])
def test_a_report_that_is_not_in_force_is_not_acknowledged(
    harness: Harness, path: str, is_accepted: bool | None, status: int
) -> None:
    """Reports were acknowledged before the agent dropped them (review/3). A backend
    server that drains ends some time after the acknowledgement.
    """
    harness.is_accepted = is_accepted
    assert harness.post(path, json.dumps(BODY).encode()) == status


def test_a_report_carries_the_age_of_its_sender(harness: Harness) -> None:
    """The age shows whether a sender started after the latest report of another one."""
    started_at_ms = int((time.time() - 30) * 1000)
    body = json.dumps({**BODY, 'born': started_at_ms}).encode()
    harness.post('/Instances.Heartbeat/i-1', body)
    assert 29 < harness.events[0].age_s < 60
