"""A heartbeat that a partition delayed arrives; then the successor of its sender drains."""

import sys
import time
from pathlib import Path

from deployment import BOUNDS, ROUTE_HOST, ROUTE_PORT, BackendProcess, Deployment
from flow_case import CALM_S, run_case
from late_heartbeat import LateHeartbeatCase

# New flows are opened for this time beyond drainMs.
_SERVE_S = 4.0


class DrainCase(LateHeartbeatCase):
    """One run of the case."""

    def run(self) -> list[str]:
        """Let the heartbeat arrive in a calm deployment, and drain the backend later."""
        backend = self.prepare()
        time.sleep(CALM_S)
        self.let_heartbeat_arrive()
        time.sleep(CALM_S)
        return self._drain_and_judge(backend)

    def _drain_and_judge(self, backend: BackendProcess) -> list[str]:
        """Let the backend drain, and return the verdict on rule DRAIN."""
        deployment = self._deployment
        backend.command('drain')
        acknowledged = backend.wait('heartbeat', state='draining', status=200)['at']
        deployment.note('i-b: its report that it is draining is acknowledged')
        drain_s = BOUNDS['drainMs'] / 1000
        new_flows = []
        while time.monotonic() < acknowledged + drain_s + _SERVE_S:
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


def _make_verdict(deployment: Deployment, has_trouble: bool) -> list[str]:
    return DrainCase(deployment, has_trouble).run()


if __name__ == '__main__':
    sys.exit(run_case(Path(__file__).resolve().parent, _make_verdict))
