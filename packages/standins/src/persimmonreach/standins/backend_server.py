"""Stand-in for a backend server.

Run as ``python -m persimmonreach.standins.backend_server SETTINGS.json``.
"""

import sys
from typing import Any

from persimmonreach.core import Clock, Endpoint, MonotonicClock
from persimmonreach.standins._backend_task import BackendSettings, BackendTask
from persimmonreach.standins._capacity import ServerState
from persimmonreach.standins._process import (
    JsonServer,
    load_settings,
    print_ports,
    wait_for_termination,
)


class BackendControl:
    """HTTP interface of a backend server.

    Parameters
    ----------
    task
        Task of the backend server.
    clock
        Clock of the task.

    """

    def __init__(self, task: BackendTask, clock: Clock) -> None:
        self._task = task
        self._clock = clock

    def create_server(self, bind: Endpoint) -> JsonServer:
        """Return an HTTP server that is not started yet."""
        return JsonServer(
            bind,
            {
                'GET /health': self._health,
                'GET /load': self._load,
                'GET /connections': self._connections,
                'GET /journal': self._journal,
                'POST /state': self._set_state,
                'POST /load': self._set_load,
                'POST /fault': self._set_fault,
            },
        )

    def _health(self, _: Any) -> Any:
        return {'state': self._task.capacity.state(self._clock.now())}

    def _load(self, _: Any) -> Any:
        return {'load': self._task.capacity.load(self._clock.now())}

    def _connections(self, _: Any) -> Any:
        return {'connections': self._task.connections}

    def _journal(self, _: Any) -> Any:
        return self._task.journal

    def _set_state(self, body: Any) -> Any:
        self._task.post(ServerState(body['state']))
        return {}

    def _set_load(self, body: Any) -> Any:
        capacity = self._task.capacity
        capacity.settings = capacity.settings._replace(
            load_lag_s=body['lag_s'],
            load_bias=body['bias'],
        )
        return {}

    def _set_fault(self, body: Any) -> Any:
        capacity = self._task.capacity
        capacity.settings = capacity.settings._replace(
            slowness=float(body['slowness']),
            reset_share=float(body['reset_share']),
        )
        return {}


def main(path: str) -> None:
    """Run the backend server until SIGTERM."""
    settings = load_settings(BackendSettings, path)
    clock = MonotonicClock()
    with BackendTask(settings, clock) as task:
        control = BackendControl(task, clock)
        server = control.create_server(Endpoint(settings.host, settings.http_port))
        server.start()
        print_ports(port=task.port, http=server.port)
        wait_for_termination()
        server.stop()


if __name__ == '__main__':
    main(sys.argv[1])
