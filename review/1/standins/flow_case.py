"""What the cases share: flows of clients, the judgement of rule FLOW, and the run itself."""

import os
import signal
import threading
from collections.abc import Callable
from pathlib import Path

from client import Flow
from deployment import ROUTE_HOST, ROUTE_PORT, BackendProcess, Deployment, SetupError, calm_since

HELD, BROKEN, NOT_RUN = 0, 1, 2
# Longer than stabilityMs.
CALM_S = 6.0
FLOW_COUNT = 24
WORK_MS = 200
DEADLINE_S = 2.0
SIDE_1, SIDE_2 = 0, 1


class FlowCase:
    """One run of a case whose clients use flows of the backend on the first side machine."""

    def __init__(self, deployment: Deployment, has_trouble: bool) -> None:
        self._deployment = deployment
        self._has_trouble = has_trouble
        self._disruptions: list[tuple[float, float]] = []
        self._flows: list[Flow] = []
        self._results: list[tuple[Flow, str, str]] = []

    def open_flows(self, *, has_requests: bool = True) -> None:
        """Open the flows of the callers, and send a first request on each if told."""
        self._flows = [
            self._deployment.clients[number % 4].flow(ROUTE_HOST, ROUTE_PORT)
            for number in range(FLOW_COUNT)
        ]
        run_all([flow.open for flow in self._flows])
        if not all(flow.opened_at for flow in self._flows):
            raise SetupError('a flow did not open')
        if has_requests:
            self.request_on_all('first')

    def request_on_all(self, name: str) -> None:
        """Send a request on each flow."""
        join_all(self._start_requests(name, self._flows))

    def _start_requests(self, name: str, flows: list[Flow]) -> list[threading.Thread]:
        threads = []
        for number, flow in enumerate(flows):
            thread = threading.Thread(target=self._request, args=(flow, f'{name}-{number}'))
            thread.start()
            threads.append(thread)
        return threads

    def judge_flows(self, backend: BackendProcess) -> list[str]:
        """Return the verdict on rule FLOW."""
        resets_sent = {tuple(event['key']) for event in backend.find('sent_reset')}
        is_alive = backend.process.poll() is None
        ran = {event['request'] for event in backend.find('run')}
        broken = []
        for flow in self._flows:
            opened = backend.find('open', key=list(flow.key))
            if not opened or flow.reset_at is None or flow.key in resets_sent:
                continue
            is_excused = not calm_since(self._disruptions, flow.reset_at)
            if is_alive and not is_excused:
                broken.append(flow)
        cut = [
            request_id
            for flow, request_id, result in self._results
            if flow in broken and result == 'reset' and request_id in ran
        ]
        held_count = len({tuple(event['key']) for event in backend.find('open')})
        return [
            f'flows open at i-b: {held_count}; i-b lives: {is_alive}; resets sent by i-b: '
            f'{len(resets_sent)}',
            f'flows of i-b whose client got a reset that i-b did not send: {len(broken)}',
            f'requests that i-b ran and whose answer was cut off by that: {len(cut)}',
            'FLOW broken' if broken else 'FLOW held',
        ]

    def _request(self, flow: Flow, request_id: str) -> None:
        self._deployment.note(f'request {request_id} on {flow.key}: sent')
        result = flow.request(request_id, DEADLINE_S)
        self._results.append((flow, request_id, result))
        self._deployment.note(f'request {request_id} on {flow.key}: {result}')


def run_all(functions: list) -> None:
    """Call functions at the same time, and wait for all."""
    threads = [threading.Thread(target=function) for function in functions]
    for thread in threads:
        thread.start()
    join_all(threads)


def join_all(threads: list[threading.Thread]) -> None:
    """Wait for all threads."""
    for thread in threads:
        thread.join()


def run_case(
    folder: Path,
    make_verdict: Callable[[Deployment, bool], list[str]],
    entry_count: int = 2,
) -> int:
    """Run a case in a deployment, write its record, and return its exit status.

    The environment variable TROUBLE=0 asks for a run without the disruption.
    """
    signal.signal(signal.SIGTERM, _end)
    has_trouble = os.environ.get('TROUBLE', '1') != '0'
    try:
        with Deployment(entry_count) as deployment:
            deployment.note(f'disruption: {has_trouble}')
            verdict = make_verdict(deployment, has_trouble)
            deployment.check_programs()
            deployment.write_record(folder / 'record.txt', verdict)
    except Exception as error:  # Any failure of the test must not look like a verdict.
        print(f'the case could not run: {error!r}')
        (folder / 'record.txt').write_text(f'the case could not run: {error!r}\n')
        return NOT_RUN
    return BROKEN if any('broken' in line for line in verdict) else HELD


def _end(*_: object) -> None:
    """Leave the deployment, which ends all processes."""
    raise SystemExit(NOT_RUN)
