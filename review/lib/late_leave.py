"""The call with which a backend left arrives after it started again under its id.

Usage: python3 late_leave.py FOLDER. The environment variable TROUBLE=0 lets the call
through at once.
"""

import os
import sys
import time
from pathlib import Path

from deployment import BackendProcess, Deployment, SetupError
from late_heartbeat import (
    BROKEN,
    CALM_S,
    HELD,
    NOT_RUN,
    SIDE_1,
    SIDE_2,
    WORK_MS,
    Case,
)

_BACKEND_ID = 'i-b'
# A little longer than drainMs.
_DRAIN_S = 3.5
_EXIT_AFTER_S = 2.0
_REQUEST_GAP_S = 0.05


class LeaveCase(Case):
    """One run of the case."""

    def prepare(self) -> BackendProcess:
        """Start all, replace a backend in place, and return the one that follows it."""
        deployment = self._deployment
        deployment.publish(3)
        for index in range(2):
            deployment.start_entry(index)
            deployment.start_agent(index)
        time.sleep(1.0)
        deployment.start_backend(SIDE_2, 'i-c', workMs=WORK_MS).wait('heartbeat', status=200)
        former = deployment.start_backend(
            SIDE_1, _BACKEND_ID, control=self._proxy.address, exitAfterS=_EXIT_AFTER_S
        )
        former.wait('heartbeat', status=200)
        time.sleep(1.0)
        former.command('drain')
        former.wait('heartbeat', state='draining', status=200)
        deployment.note('backend i-b: its report that it is draining is acknowledged')
        time.sleep(_DRAIN_S)
        partition_began = time.monotonic()
        if self._has_trouble:
            self._proxy.hold()
            deployment.note('partition: bytes from backend i-b are held up')
        former.command('leave')
        former.wait('exit')
        former.process.wait()
        leave_status = former.find('leave')[0]['status']
        deployment.note(f'backend i-b has exited; its call to leave got: {leave_status}')
        second = deployment.start_backend(SIDE_1, _BACKEND_ID, workMs=WORK_MS)
        second.wait('heartbeat', status=200)
        self._disruptions.append((partition_began, time.monotonic()))
        deployment.note('partition over; the call to leave is still under way')
        deployment.wait_ready()
        time.sleep(1.0)
        return second

    def wait_heartbeat(self, backend: BackendProcess) -> None:
        """Wait for the next heartbeat, so that the call arrives well before another."""
        count = len(backend.find('heartbeat', status=200))
        while len(backend.find('heartbeat', status=200)) == count:
            time.sleep(0.01)


def main() -> int:
    """Run the case and return its exit status."""
    folder = Path(sys.argv[1])
    has_trouble = os.environ.get('TROUBLE', '1') != '0'
    try:
        with Deployment() as deployment:
            deployment.note(f'trouble: {has_trouble}; calm for {CALM_S} s')
            case = LeaveCase(deployment, has_trouble)
            backend = case.prepare()
            case.open_flows()
            case.wait_calm()
            case.wait_heartbeat(backend)
            case.request_while_delivering(_REQUEST_GAP_S)
            case.request_on_all('after')
            verdict = case.judge_flows(backend)
            deployment.check_programs()
            deployment.write_record(folder / 'record.txt', verdict)
    except (SetupError, OSError) as error:
        print(f'the case could not run: {error}')
        (folder / 'record.txt').write_text(f'the case could not run: {error}\n')
        return NOT_RUN
    return BROKEN if any('broken' in line for line in verdict) else HELD


if __name__ == '__main__':
    sys.exit(main())
