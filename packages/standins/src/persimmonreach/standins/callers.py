"""Stand-in for the callers.

Run as ``python -m persimmonreach.standins.callers SETTINGS.json``.
"""

import sys
from typing import Any

from persimmonreach.core import Endpoint, MonotonicClock
from persimmonreach.standins._caller_journal import (
    count_by_second,
    count_outcomes,
)
from persimmonreach.standins._caller_task import (
    CallersSettings,
    CallersTask,
    StopCallers,
)
from persimmonreach.standins._process import (
    JsonServer,
    load_settings,
    print_ports,
    wait_for_termination,
)


class CallersControl:
    """HTTP interface of the callers.

    Parameters
    ----------
    task
        Task of the callers.

    """

    def __init__(self, task: CallersTask) -> None:
        self._task = task

    def create_server(self, bind: Endpoint) -> JsonServer:
        """Return an HTTP server that is not started yet."""
        return JsonServer(
            bind,
            {
                'GET /journal': self._journal,
                'GET /status': self._status,
                'POST /stop': self._stop,
            },
        )

    def _journal(self, _: Any) -> Any:
        journal = self._task.journal
        journal['seconds'] = count_by_second(journal)
        return journal

    def _status(self, _: Any) -> Any:
        journal = self._task.journal
        return {
            'open_flows': journal['open_flows'],
            'pushes': journal['pushes'],
            'resets': len(journal['resets']),
            **count_outcomes(journal),
        }

    def _stop(self, _: Any) -> Any:
        self._task.post(StopCallers())
        return {}


def main(path: str) -> None:
    """Run the callers until SIGTERM."""
    settings = load_settings(CallersSettings, path)
    with CallersTask(settings, MonotonicClock()) as task:
        server = CallersControl(task).create_server(
            Endpoint(settings.host, settings.http_port),
        )
        server.start()
        print_ports(http=server.port)
        wait_for_termination()
        server.stop()


if __name__ == '__main__':
    main(sys.argv[1])
