"""An agent is stopped and started in turn, shortly after its backend started."""

import signal
import sys
import time
from pathlib import Path

from deployment import Deployment
from flow_case import CALM_S, SIDE_1, SIDE_2, WORK_MS, FlowCase, run_case

# From the acknowledgement of the first heartbeat to SIGTERM.
_STOP_AFTER_S = 0.05


class RestartCase(FlowCase):
    """One run of the case."""

    def run(self) -> list[str]:
        """Release a backend, restart its agent, and judge the flows."""
        deployment = self._deployment
        deployment.publish(3)
        for index in range(2):
            deployment.start_entry(index)
        agent = deployment.start_agent(SIDE_1)
        deployment.start_agent(SIDE_2)
        deployment.wait_ready()
        former = deployment.start_backend(SIDE_2, 'i-c', workMs=WORK_MS)
        former.wait('heartbeat', status=200)
        time.sleep(CALM_S)
        backend = deployment.start_backend(SIDE_1, 'i-b', workMs=WORK_MS)
        acknowledged_at = backend.wait('heartbeat', status=200)['at']
        self.open_flows(has_requests=False)
        if self._has_trouble:
            time.sleep(max(0.0, acknowledged_at + _STOP_AFTER_S - time.monotonic()))
            stopped_at = time.monotonic()
            agent.send_signal(signal.SIGTERM)
            agent.wait()
            deployment.note('the agent of i-b got SIGTERM and ended')
            deployment.start_agent(SIDE_1)
            self._disruptions.append((stopped_at, time.monotonic()))
        time.sleep(CALM_S)
        self.request_on_all('calm')
        return self.judge_flows(backend)


def _make_verdict(deployment: Deployment, has_trouble: bool) -> list[str]:
    return RestartCase(deployment, has_trouble).run()


if __name__ == '__main__':
    sys.exit(run_case(Path(__file__).resolve().parent, _make_verdict))
