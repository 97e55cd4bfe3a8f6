"""Start of the cases in which a heartbeat arrives after its sender crashed."""

import time

from deployment import NETWORK, BackendProcess, Deployment
from flow_case import CALM_S, SIDE_1, SIDE_2, WORK_MS, FlowCase, join_all
from proxy import HoldingProxy

PARTITION_S = 4.0


class LateHeartbeatCase(FlowCase):
    """One run: backend i-a crashes while its heartbeats are held up, and i-b follows it."""

    def __init__(self, deployment: Deployment, has_trouble: bool) -> None:
        super().__init__(deployment, has_trouble)
        self._proxy = HoldingProxy(f'{NETWORK}.5.1', deployment.control_address(SIDE_1))

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

    def request_while_delivering(self) -> None:
        """Deliver what was held up while half of the requests are at work.

        The others are sent from then on.
        """
        first, second = self._flows[::2], self._flows[1::2]
        threads = self._start_requests('before', first)
        time.sleep(WORK_MS / 4000)
        self._proxy.release()
        self._deployment.note('what the partition held up arrives')
        threads += self._start_requests('during', second)
        join_all(threads)

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
