"""One entry instance leaves; the restarts of the other one and of an agent overlap."""

import signal
import sys
import threading
import time
from pathlib import Path

from deployment import ROUTE_HOST, ROUTE_PORT, Deployment, SetupError
from flow_case import CALM_S, SIDE_1, WORK_MS, FlowCase, join_all, run_all, run_case

_ENTRY_COUNT = 2
_SIDE_COUNT = 4
_FLOW_COUNT = 96
# From the stop of the other entry instance to the stop of the agent.
_GAP_S = 1.6
# From the end of a process to its next start.
_RESTART_DELAY_S = 0.5
# The clients send their requests over this time.
_REQUESTS_S = 1.2


class OverlappingRestartsCase(FlowCase):
    """One run of the case."""

    def run(self) -> list[str]:
        """Restart front-1 and one agent; judge the flows of the agent's backend."""
        deployment = self._deployment
        deployment.publish(3)
        entries = [deployment.start_entry(index) for index in range(_ENTRY_COUNT)]
        agents = [deployment.start_agent(index) for index in range(_SIDE_COUNT)]
        deployment.wait_ready()
        backends = [
            deployment.start_backend(index, f'i-{index}', workMs=WORK_MS)
            for index in range(_SIDE_COUNT)
        ]
        for backend in backends:
            backend.wait('heartbeat', status=200)
        time.sleep(1.0)
        self._open_flows()
        entries[1].send_signal(signal.SIGTERM)
        entries[1].wait()
        deployment.note('front-2 got SIGTERM and leaves for good')
        self.request_on_all('second')
        time.sleep(CALM_S)
        began_at = time.monotonic()
        threads = [threading.Thread(target=self._restart_entry, args=(entries[0],))]
        if self._has_trouble:
            threads.append(
                threading.Thread(
                    target=self._restart_agent, args=(agents[SIDE_1], began_at + _GAP_S)
                )
            )
        for thread in threads:
            thread.start()
        time.sleep(max(0.0, began_at + _GAP_S + 0.1 - time.monotonic()))
        requests = []
        for number, flow in enumerate(self._flows):
            thread = threading.Thread(target=self._request, args=(flow, f'after-{number}'))
            thread.start()
            requests.append(thread)
            time.sleep(_REQUESTS_S / _FLOW_COUNT)
        join_all(requests)
        join_all(threads)
        return self.judge_flows(backends[SIDE_1])

    def _restart_entry(self, entry: object) -> None:
        entry.send_signal(signal.SIGTERM)
        self._deployment.note('front-1 got SIGTERM')
        entry.wait()
        self._deployment.note('front-1 ended')
        time.sleep(_RESTART_DELAY_S)
        self._deployment.start_entry(0)

    def _restart_agent(self, agent: object, stops_at: float) -> None:
        time.sleep(max(0.0, stops_at - time.monotonic()))
        agent.send_signal(signal.SIGTERM)
        self._deployment.note('the agent of i-0 got SIGTERM')
        agent.wait()
        self._deployment.note('the agent of i-0 ended')
        time.sleep(_RESTART_DELAY_S)
        self._deployment.start_agent(SIDE_1)

    def _open_flows(self) -> None:
        self._flows = [
            self._deployment.clients[number % 4].flow(ROUTE_HOST, ROUTE_PORT)
            for number in range(_FLOW_COUNT)
        ]
        run_all([flow.open for flow in self._flows])
        if not all(flow.opened_at for flow in self._flows):
            raise SetupError('a flow did not open')
        self.request_on_all('first')


def _make_verdict(deployment: Deployment, has_trouble: bool) -> list[str]:
    return OverlappingRestartsCase(deployment, has_trouble).run()


if __name__ == '__main__':
    sys.exit(run_case(Path(__file__).resolve().parent, _make_verdict, _ENTRY_COUNT))
