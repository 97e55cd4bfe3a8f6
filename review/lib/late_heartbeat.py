"""A heartbeat that a partition delayed arrives after its sender crashed.

Usage: python3 late_heartbeat.py flow|drain FOLDER. The environment variable TROUBLE=0
lets the heartbeats of the first backend through at once.
"""

import os
import sys
import threading
import time
from pathlib import Path

from client import Flow
from deployment import (
    BOUNDS,
    HEARTBEAT_MS,
    NETWORK,
    ROUTE_HOST,
    ROUTE_PORT,
    BackendProcess,
    Deployment,
    SetupError,
    calm_since,
)
from proxy import HoldingProxy

HELD, BROKEN, NOT_RUN = 0, 1, 2
PARTITION_S = 4.0
# The bytes arrive with a late retransmission, when all has been calm for stabilityMs.
CALM_S = 6.0
FLOW_COUNT = 24
WORK_MS = 200
DEADLINE_S = 2.0
SIDE_1, SIDE_2 = 0, 1


class Case:
    """One run of the case."""

    def __init__(self, deployment: Deployment, has_trouble: bool) -> None:
        self._deployment = deployment
        self._has_trouble = has_trouble
        self._proxy = HoldingProxy(f'{NETWORK}.5.1', deployment.control_address(SIDE_1))
        self._disruptions: list[tuple[float, float]] = []
        self._flows: list[Flow] = []
        self._results: list[tuple[Flow, str, str]] = []

    def prepare(self) -> BackendProcess:
        """Start all, crash the first backend, and return the one that follows it."""
        deployment = self._deployment
        deployment.publish(3)
        for index in range(2):
            deployment.start_entry(index)
            deployment.start_agent(index)
        time.sleep(1.0)
        deployment.start_backend(SIDE_2, 'i-c', workMs=WORK_MS).wait('heartbeat', status=200)
        partition_began = time.monotonic()
        if self._has_trouble:
            self._proxy.hold()
            deployment.note('partition: bytes from backend i-a are held up')
        first = deployment.start_backend(SIDE_1, 'i-a', control=self._proxy.address)
        time.sleep(PARTITION_S)
        first.kill()
        deployment.note('backend i-a crashed (SIGKILL)')
        second = deployment.start_backend(SIDE_1, 'i-b', workMs=WORK_MS)
        second.wait('heartbeat', status=200)
        self._disruptions.append((partition_began, time.monotonic()))
        deployment.note(
            f'partition over; {self._proxy.held_count} heartbeats of i-a still under way'
        )
        deployment.wait_ready()
        time.sleep(1.0)
        return second

    def open_flows(self, *, has_requests: bool = True) -> None:
        """Open the flows of the callers, and send a first request on each if told."""
        self._flows = [
            self._deployment.clients[number % 4].flow(ROUTE_HOST, ROUTE_PORT)
            for number in range(FLOW_COUNT)
        ]
        _run_all([flow.open for flow in self._flows])
        if not all(flow.opened_at for flow in self._flows):
            raise SetupError('a flow did not open')
        if has_requests:
            self.request_on_all('first')

    def request_on_all(self, name: str) -> None:
        """Send a request on each flow."""
        self._join(self._start_requests(name, self._flows))

    def request_while_delivering(self, gap_s: float = 0) -> None:
        """Deliver what was held up while half of the requests are at work.

        The others are sent from then on, at intervals of ``gap_s``.
        """
        first, second = self._flows[::2], self._flows[1::2]
        threads = self._start_requests('before', first)
        time.sleep(WORK_MS / 4000)
        self._proxy.release()
        self._deployment.note('what the partition held up arrives')
        threads += self._start_requests('during', second, gap_s)
        self._join(threads)

    def _start_requests(
        self, name: str, flows: list[Flow], gap_s: float = 0
    ) -> list[threading.Thread]:
        threads = []
        for number, flow in enumerate(flows):
            thread = threading.Thread(target=self._request, args=(flow, f'{name}-{number}'))
            thread.start()
            threads.append(thread)
            time.sleep(gap_s)
        return threads

    def _join(self, threads: list[threading.Thread]) -> None:
        for thread in threads:
            thread.join()

    def wait_calm(self) -> None:
        """Send requests until all has been calm for long enough."""
        ends_at = self._disruptions[0][1] + CALM_S
        number = 0
        while time.monotonic() < ends_at:
            self.request_on_all(f'calm{number}')
            number += 1
            time.sleep(0.3)

    def let_heartbeat_arrive(self) -> None:
        """Deliver the heartbeats that were held up."""
        self._proxy.release()
        self._deployment.note('the delayed heartbeats of i-a arrive')

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

    def drain_and_judge(self, backend: BackendProcess) -> list[str]:
        """Let the backend drain, and return the verdict on rule DRAIN."""
        deployment = self._deployment
        backend.command('drain')
        acknowledged = backend.wait('heartbeat', state='draining', status=200)['at']
        deployment.note('i-b: its report that it is draining is acknowledged')
        drain_s = BOUNDS['drainMs'] / 1000
        new_flows = []
        while time.monotonic() < acknowledged + drain_s + 4.0:
            flow = deployment.clients[len(new_flows) % 4].flow(ROUTE_HOST, ROUTE_PORT)
            new_flows.append(flow)
            if flow.open():
                self._request(flow, f'drain-{len(new_flows)}')
                flow.close()
            time.sleep(0.05)
        late = [
            event for event in backend.find('syn') if event['at'] > acknowledged + drain_s
        ]
        acknowledgements = backend.find('heartbeat', state='draining', status=200)
        return [
            f'new flows after the acknowledgement: {len(new_flows)}; i-b reported that it is '
            f'draining {len(acknowledgements)} times and was acknowledged each time',
            f'flows that reached i-b later than drainMs after it: {len(late)}',
            'DRAIN broken' if late else 'DRAIN held',
        ]

    def _request(self, flow: Flow, request_id: str) -> None:
        self._deployment.note(f'request {request_id} on {flow.key}: sent')
        result = flow.request(request_id, DEADLINE_S)
        self._results.append((flow, request_id, result))
        self._deployment.note(f'request {request_id} on {flow.key}: {result}')


def _run_all(functions: list) -> None:
    threads = [threading.Thread(target=function) for function in functions]
    for thread in threads:
        thread.start()
    for thread in threads:
        thread.join()


def main() -> int:
    """Run the case and return its exit status."""
    rule, folder = sys.argv[1], Path(sys.argv[2])
    has_trouble = os.environ.get('TROUBLE', '1') != '0'
    try:
        with Deployment() as deployment:
            deployment.note(f'rule {rule}, trouble: {has_trouble}, beat {HEARTBEAT_MS} ms')
            case = Case(deployment, has_trouble)
            backend = case.prepare()
            if rule == 'flow':
                case.open_flows()
                case.wait_calm()
                case.request_while_delivering()
                case.request_on_all('after')
                verdict = case.judge_flows(backend)
            else:
                time.sleep(CALM_S)
                case.let_heartbeat_arrive()
                time.sleep(CALM_S)
                verdict = case.drain_and_judge(backend)
            deployment.check_programs()
            deployment.write_record(folder / 'record.txt', verdict)
    except (SetupError, OSError) as error:
        print(f'the case could not run: {error}')
        (folder / 'record.txt').write_text(f'the case could not run: {error}\n')
        return NOT_RUN
    return BROKEN if any('broken' in line for line in verdict) else HELD


if __name__ == '__main__':
    sys.exit(main())
