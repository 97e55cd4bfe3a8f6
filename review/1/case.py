"""A backend falls silent and is lost while front machines leave."""

import signal
import sys
import threading
import time
from pathlib import Path

from client import Flow
from deployment import (
    BOUNDS,
    ROUTE_HOST,
    ROUTE_PORT,
    BackendProcess,
    Deployment,
    SetupError,
    calm_since,
)
from flow_case import DEADLINE_S, run_all, run_case

_ENTRY_COUNT, _SIDE_COUNT = 4, 4
_LEAVING_ENTRIES = (0, 1)
_SILENT = 0
_ROLL_GAP_S = 2.0
_CALM_S = BOUNDS['stabilityMs'] / 1000 + 1.5
_SILENT_S = 4.5
_FLOW_COUNT = 400
_OPEN_AT_ONCE = 40
_WORK_MS = 40


class SilentBackendCase:
    """One run of the case."""

    def __init__(self, deployment: Deployment, has_trouble: bool) -> None:
        self._deployment = deployment
        self._has_trouble = has_trouble
        # Disruptions of each side machine, by start and end.
        self._restarts: list[list[tuple[float, float]]] = [[] for _ in range(_SIDE_COUNT)]
        self._backends: list[BackendProcess] = []
        self._flows: list[Flow] = []
        self._results: list[tuple[Flow, str, str]] = []

    def run(self) -> list[str]:
        """Do the planned work, let a backend fall silent and end, and judge."""
        deployment = self._deployment
        deployment.publish(3)
        entries = [deployment.start_entry(index) for index in range(_ENTRY_COUNT)]
        agents = [deployment.start_agent(index) for index in range(_SIDE_COUNT)]
        deployment.wait_ready()
        self._backends = [
            deployment.start_backend(index, f'i-{index + 1}', workMs=_WORK_MS)
            for index in range(_SIDE_COUNT)
        ]
        for backend in self._backends:
            backend.wait('heartbeat', status=200)
        # Old enough for the agents to know that they have not seen all flows.
        time.sleep(2.5)
        self._roll_agents(agents)
        time.sleep(_CALM_S)
        self._open_flows()
        self._request_on_all('first')
        entries[_LEAVING_ENTRIES[0]].send_signal(signal.SIGTERM)
        time.sleep(_ROLL_GAP_S)
        entries[_LEAVING_ENTRIES[1]].send_signal(signal.SIGTERM)
        deployment.note('front-1 and front-2 got SIGTERM and leave for good')
        silent_at = time.monotonic()
        silent = self._backends[_SILENT]
        if self._has_trouble:
            silent.process.send_signal(signal.SIGSTOP)
            deployment.note('backend i-1 falls silent (SIGSTOP)')
        for index in _LEAVING_ENTRIES:
            entries[index].wait()
        time.sleep(0.3)
        self._request_on_all('second')
        time.sleep(max(0.0, silent_at + _SILENT_S - DEADLINE_S - time.monotonic()))
        self._request_on_all('third')
        time.sleep(max(0.0, silent_at + _SILENT_S - time.monotonic()))
        if self._has_trouble:
            silent.kill()
            deployment.note('backend i-1 is gone (SIGKILL)')
        time.sleep(1.5)
        self._request_on_all('fourth')
        return self._judge()

    def _roll_agents(self, agents: list) -> None:
        for index, agent in enumerate(agents):
            stopped_at = time.monotonic()
            agent.send_signal(signal.SIGTERM)
            agent.wait()
            self._deployment.start_agent(index)
            self._restarts[index].append((stopped_at, time.monotonic()))
            time.sleep(_ROLL_GAP_S)
        self._deployment.note('the agents were stopped and started in turn')

    def _open_flows(self) -> None:
        self._flows = [
            self._deployment.clients[number % 4].flow(ROUTE_HOST, ROUTE_PORT)
            for number in range(_FLOW_COUNT)
        ]
        for start in range(0, _FLOW_COUNT, _OPEN_AT_ONCE):
            run_all([flow.open for flow in self._flows[start : start + _OPEN_AT_ONCE]])
        if not all(flow.opened_at for flow in self._flows):
            raise SetupError('a flow did not open')

    def _request_on_all(self, name: str) -> None:
        """Send a request on each flow that is not held by the silent backend."""
        lost = {tuple(event['key']) for event in self._backends[_SILENT].find('open')}
        run_all(
            [
                lambda flow=flow, number=number: self._request(flow, f'{name}-{number}')
                for number, flow in enumerate(self._flows)
                if flow.key not in lost
            ]
        )

    def _request(self, flow: Flow, request_id: str) -> None:
        result = flow.request(request_id, DEADLINE_S)
        self._results.append((flow, request_id, result))
        self._deployment.note(f'request {request_id} on {flow.key}: {result}')

    def _judge(self) -> list[str]:
        flows_by_key = {flow.key: flow for flow in self._flows}
        open_count = 0
        broken: list[Flow] = []
        for index, backend in enumerate(self._backends):
            if index == _SILENT:
                continue
            resets_sent = {tuple(event['key']) for event in backend.find('sent_reset')}
            for event in backend.find('open'):
                open_count += 1
                flow = flows_by_key[tuple(event['key'])]
                if flow.reset_at is None or flow.key in resets_sent:
                    continue
                restarts = [*self._restarts[index], *self._restarts[_SILENT]]
                if backend.process.poll() is None and calm_since(restarts, flow.reset_at):
                    broken.append(flow)
        unanswered = sum(result != 'answered' for _, _, result in self._results)
        return [
            f'flows open at the other backends, which live and were not disrupted: {open_count}',
            f'of these, flows whose client got a reset that their backend did not send: '
            f'{len(broken)}',
            f'requests on these flows: {len(self._results)}, not answered: {unanswered}',
            'FLOW broken' if broken else 'FLOW held',
        ]


def _make_verdict(deployment: Deployment, has_trouble: bool) -> list[str]:
    return SilentBackendCase(deployment, has_trouble).run()


if __name__ == '__main__':
    # Hundreds of callers, each a thread.
    threading.stack_size(256 * 1024)
    sys.exit(run_case(Path(__file__).resolve().parent, _make_verdict, _ENTRY_COUNT))
