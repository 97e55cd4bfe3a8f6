"""A backend that crashed starts again and takes flows before its first heartbeat.

Usage: python3 first_heartbeat.py FOLDER. The environment variable TROUBLE=0 spares the
backend.
"""

import os
import sys
import threading
import time
from pathlib import Path

from deployment import HEARTBEAT_MS, ROUTE_HOST, ROUTE_PORT, Deployment, SetupError
from late_heartbeat import BROKEN, DEADLINE_S, HELD, NOT_RUN, SIDE_1, WORK_MS, Case

_BACKEND_ID = 'i-b'
_DOWN_S = 4.5
_SERVE_S = 3.0


class FirstHeartbeatCase(Case):
    """One run of the case."""

    def run(self) -> list[str]:
        """Crash the only backend of the service, start it again, and judge its flows."""
        deployment = self._deployment
        deployment.publish(3)
        for index in range(2):
            deployment.start_entry(index)
        deployment.start_agent(SIDE_1)
        deployment.wait_ready()
        backend = self._start_backend()
        backend.wait('heartbeat', status=200)
        time.sleep(1.0)
        if self._has_trouble:
            crashed_at = time.monotonic()
            backend.kill()
            self._disruptions.append((crashed_at, crashed_at))
            deployment.note('backend i-b crashed (SIGKILL)')
            time.sleep(_DOWN_S)
            backend = self._start_backend()
        ends_at = time.monotonic() + _SERVE_S
        threads = [
            threading.Thread(target=self._serve_caller, args=(number, ends_at))
            for number in range(12)
        ]
        for thread in threads:
            thread.start()
        for thread in threads:
            thread.join()
        return self.judge_flows(backend)

    def _start_backend(self) -> object:
        return self._deployment.start_backend(
            SIDE_1, _BACKEND_ID, workMs=WORK_MS, firstHeartbeatMs=HEARTBEAT_MS
        )

    def _serve_caller(self, number: int, ends_at: float) -> None:
        attempt = 0
        while time.monotonic() < ends_at:
            flow = self._deployment.clients[number % 4].flow(ROUTE_HOST, ROUTE_PORT)
            self._flows.append(flow)
            if not flow.open():
                continue
            while time.monotonic() < ends_at and flow.reset_at is None:
                attempt += 1
                self._request(flow, f'caller{number}-{attempt}')
                time.sleep(0.1)


def main() -> int:
    """Run the case and return its exit status."""
    folder = Path(sys.argv[1])
    has_trouble = os.environ.get('TROUBLE', '1') != '0'
    try:
        with Deployment() as deployment:
            deployment.note(f'trouble: {has_trouble}; requests end within {DEADLINE_S} s')
            verdict = FirstHeartbeatCase(deployment, has_trouble).run()
            deployment.check_programs()
            deployment.write_record(folder / 'record.txt', verdict)
    except (SetupError, OSError) as error:
        print(f'the case could not run: {error}')
        (folder / 'record.txt').write_text(f'the case could not run: {error}\n')
        return NOT_RUN
    return BROKEN if any('broken' in line for line in verdict) else HELD


if __name__ == '__main__':
    sys.exit(main())
