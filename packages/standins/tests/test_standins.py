"""Guards against lost, wrong or unrecorded requests between the stand-ins.

A forwarder between fabric and backend server takes the place of the daemons.
"""

from typing import Any

import gevent

from persimmonreach.core import Endpoint, MonotonicClock
from persimmonreach.runtime import Task, UdpSocket
from persimmonreach.standins._backend_task import BackendSettings, BackendTask
from persimmonreach.standins._caller_journal import RequestOutcome, count_outcomes
from persimmonreach.standins._caller_task import (
    CallerGroup,
    CallersSettings,
    CallersTask,
    StopCallers,
)
from persimmonreach.standins._capacity import (
    CapacitySettings,
)
from persimmonreach.standins._fabric_router import EntryAddress, Quality
from persimmonreach.standins._process import JsonServer
from persimmonreach.standins.fabric import FabricSettings, FabricTask, SetEntries

SERVICE = Endpoint('10.9.0.1', 443)
TIMEOUT_S = 20


class Forwarder(Task):
    """Stands in for an entry instance and an agent."""

    def __init__(self, backend: Endpoint, fabric: Endpoint) -> None:
        super().__init__(1)
        self._backend = backend
        self._fabric = fabric
        self.socket = UdpSocket(Endpoint('127.0.0.1', 0))
        self._resources.callback(self.socket.close)
        self._spawn(self._receive_packets)

    def receive(self, message: Any) -> None:
        packet, sender = message
        self.socket.send(
            packet, self._fabric if sender == self._backend else self._backend
        )

    def tick(self) -> None:
        """Do nothing."""

    def _receive_packets(self) -> None:
        while self.socket:
            self.post(self.socket.receive())


def wait_until(condition: Any) -> None:
    with gevent.Timeout(TIMEOUT_S):
        while not condition():
            gevent.sleep(0.02)


def test_callers_and_backend_server_agree_over_a_lossy_duplicating_fabric() -> None:
    clock = MonotonicClock()
    quality = Quality(loss=0.05, duplication=0.1, delay_ms=2, variation_ms=3)
    backend_settings = BackendSettings(
        'server-1',
        push_period_s=0.2,
        capacity=CapacitySettings(slots=50, service_ms=5),
    )
    ready = JsonServer(Endpoint('127.0.0.1', 0), {'GET /ready': lambda _: {}})
    ready.start()
    with (
        FabricTask(FabricSettings(quality=quality)) as fabric,
        BackendTask(backend_settings, clock) as backend,
        Forwarder(
            Endpoint('127.0.0.1', backend.port), Endpoint('127.0.0.1', fabric.port)
        ) as forwarder,
    ):
        entry = EntryAddress('e', '127.0.0.1', forwarder.socket.endpoint.port, ready.port)
        fabric.post(SetEntries((entry,), 1))
        wait_until(lambda: fabric.status['ready'])
        group = CallerGroup(
            SERVICE, ('10.1.0.1',), 10, 0.2, singles_per_s=20, answer_bytes=2500
        )
        settings = CallersSettings(Endpoint('127.0.0.1', fabric.port), (group,))
        with CallersTask(settings, clock) as callers:
            journal = callers.journal
            wait_until(lambda: count_outcomes(journal)['answered'] > 60)
            wait_until(lambda: journal['pushes'] > 10)
            callers.post(StopCallers())
            wait_until(lambda: not count_outcomes(journal)['open'])
    ready.stop()
    outcomes = count_outcomes(journal)
    assert outcomes['wrong'] == outcomes['no_reply'] == outcomes['reset'] == 0
    runs = backend.journal['runs']
    answered = [
        request_id
        for request_id, row in journal['requests'].items()
        if row['outcome'] == RequestOutcome.ANSWERED
    ]
    assert set(answered) <= set(runs)
    # Retransmitted and duplicated segments carry the same sequence number, so no
    # request runs twice.
    assert all(row['count'] == 1 for row in runs.values())
