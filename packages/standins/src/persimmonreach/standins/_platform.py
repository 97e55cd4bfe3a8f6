"""Starts, replaces and monitors the processes of one deployment."""

import secrets
from collections.abc import Callable
from http import HTTPStatus
from itertools import count
from typing import Any, Final, NamedTuple

import gevent

from persimmonreach.standins._capacity import ServerState
from persimmonreach.standins._deployments import Deployment, ServicePlan
from persimmonreach.standins._process import HttpError, http_json, http_status
from persimmonreach.standins._processes import (
    HOST,
    ChildProcess,
    DemoError,
    ProcessManager,
    kill,
)

READY_TIMEOUT_S: Final = 15.0
_POLL_PERIOD_S: Final = 0.1
_STATUS_TIMEOUT_S: Final = 1.0
_PORT_NAME: Final = 'port'
_SECRET_BYTES: Final = 32
_SERVICE_TIME_MS: Final = 20
# Quality of the simulated network, in each direction.
_LOSS_SHARE: Final = 0.005
_DUPLICATION_SHARE: Final = 0.005
_DELAY_VARIATION_MS: Final = 2


class BackendServer(NamedTuple):
    """Processes of a backend server and its agent."""

    name: str
    service: str
    zone: str
    backend: ChildProcess
    agent: ChildProcess


class Platform:
    """Processes of one deployment.

    Parameters
    ----------
    deployment
        Deployment to run.
    processes
        Manager that starts and stops the processes.

    """

    def __init__(self, deployment: Deployment, processes: ProcessManager) -> None:
        self._deployment = deployment
        self._processes = processes
        self._name_numbers = count(1)
        self._entries_revisions = count(1)
        self._signing_keys = [{'key_id': 1, 'secret': secrets.token_hex(_SECRET_BYTES)}]
        self.store: Any = None
        self.fabric: Any = None
        self.callers: Any = None
        self.entries: list[tuple[str, ChildProcess]] = []
        self.servers: list[BackendServer] = []

    @property
    def daemons(self) -> list[ChildProcess]:
        """Entry instances and agents that run."""
        agents = [server.agent for server in self.servers]
        return [*(entry for _, entry in self.entries), *agents]

    @property
    def store_address(self) -> str:
        """Address of the store as ``host:port``, for the command line."""
        port = self.store.ports[_PORT_NAME]
        return f'{HOST}:{port}'

    def start_network(self, store_command: list[str]) -> None:
        """Start the store, the fabric and one entry instance per availability zone."""
        self.store = self._processes.start('store', store_command)
        self.fabric = self._processes.start_module(
            'fabric',
            'fabric',
            {
                'quality': {
                    'loss': _LOSS_SHARE,
                    'duplication': _DUPLICATION_SHARE,
                    'delay_ms': self._deployment.caller_delay_ms,
                    'variation_ms': _DELAY_VARIATION_MS,
                },
            },
        )
        _run_concurrently([(self.add_entry, zone) for zone in self._deployment.zones])

    def start_servers(self) -> None:
        """Start all backend servers, warm and with their agents."""
        zones = self._deployment.zones
        _run_concurrently(
            [
                (self.add_server, plan, zones[number % len(zones)], ServerState.WARM)
                for plan in self._deployment.services
                for number in range(plan.servers)
            ],
        )

    def start_callers(self) -> None:
        """Start the callers of both services."""
        groups = [
            {
                'service': plan.address._asdict(),
                'hosts': self._deployment.caller_hosts,
                'flows': plan.flows,
                'period_s': plan.period_s,
                'singles_per_s': plan.singles_per_s,
            }
            for plan in self._deployment.services
        ]
        fabric = self.fabric.endpoint(_PORT_NAME)._asdict()
        settings = {'fabric': fabric, 'groups': groups}
        self.callers = self._processes.start_module('callers', 'callers', settings)

    def add_entry(self, zone: str) -> None:
        """Start an entry instance and add it to the fabric."""
        name = f'entry-{next(self._name_numbers)}'
        settings = {
            'instance': name,
            'zone': zone,
            'host': HOST,
            'fabric_port': 0,
            'peer_port': 0,
            'http_port': 0,
            'control_port': 0,
            'store': self.store.endpoint(_PORT_NAME)._asdict(),
            'keys': self._signing_keys,
            'seeds': [],
        }
        child = self._processes.start_daemon(name, 'entry', settings)
        self.entries.append((zone, child))
        self._update_fabric()

    def kill_entry(self, zone: str) -> None:
        """Kill an entry instance of a zone; the fabric has to detect its end."""
        entry = next(row for row in self.entries if row[0] == zone)
        self.entries.remove(entry)
        kill(entry[1])

    def server_in(self, plan: ServicePlan, zone: str) -> BackendServer:
        """Return a backend server of a service in a zone."""
        return next(
            server
            for server in self.servers
            if server.service == plan.name and server.zone == zone
        )

    def add_server(
        self, plan: ServicePlan, zone: str, state: ServerState
    ) -> BackendServer:
        """Start a backend server and its agent."""
        name = f'{plan.name}-{next(self._name_numbers)}'
        backend = self._processes.start_module(
            f'{name}-server',
            'backend_server',
            {
                'instance': name,
                'state': state,
                'push_period_s': plan.push_period_s,
                'capacity': {'slots': plan.slots, 'service_ms': _SERVICE_TIME_MS},
            },
        )
        settings = self._agent_settings(name, zone, backend)
        settings['service'] = plan.name
        agent = self._processes.start_daemon(f'{name}-agent', 'agent', settings)
        server = BackendServer(name, plan.name, zone, backend, agent)
        self.servers.append(server)
        return server

    def restart_agent(self, server: BackendServer) -> BackendServer:
        """Stop an agent gracefully and start a new one.

        Raises
        ------
        DemoError
            If the agent does not end in time, or ends with another status than 0.

        """
        server.agent.process.terminate()
        name = server.agent.name
        wait_for(f'{name} to end', lambda: server.agent.process.poll() is not None)
        status = server.agent.process.returncode
        if status:
            raise DemoError(f'{name}: expected exit status 0, found {status}')
        return self._start_new_agent(server)

    def kill_agent(self, server: BackendServer) -> BackendServer:
        """Kill an agent and start a new one."""
        kill(server.agent)
        return self._start_new_agent(server)

    def _start_new_agent(self, server: BackendServer) -> BackendServer:
        settings = self._agent_settings(server.name, server.zone, server.backend)
        settings['service'] = server.service
        number = next(self._name_numbers)
        agent = self._processes.start_daemon(
            f'{server.name}-agent-{number}', 'agent', settings
        )
        replaced = server._replace(agent=agent)
        self.servers[self.servers.index(server)] = replaced
        return replaced

    def wait_ready(self) -> None:
        """Wait until all daemons are ready and the fabric uses all entry instances."""
        wait_for('readiness of all daemons', self._are_all_ready)

    def _are_all_ready(self) -> bool:
        ready_entries = http_json(self.fabric.endpoint('http'), '/status')['ready']
        return len(ready_entries) == len(self.entries) and all(
            http_status(child.endpoint('http'), '/ready', _STATUS_TIMEOUT_S)
            == HTTPStatus.OK
            for child in self.daemons
        )

    def _agent_settings(
        self, name: str, zone: str, backend: ChildProcess
    ) -> dict[str, Any]:
        return {
            'instance': name,
            'zone': zone,
            'host': HOST,
            'peer_port': 0,
            'http_port': 0,
            'backend': {
                'host': HOST,
                'port': backend.ports[_PORT_NAME],
                'http_port': backend.ports['http'],
            },
            'fabric': self.fabric.endpoint(_PORT_NAME)._asdict(),
            'seeds': [entry.endpoint('peer')._asdict() for _, entry in self.entries],
            'keys': self._signing_keys,
        }

    def _update_fabric(self) -> None:
        rows = [
            {
                'id': entry.name,
                'host': HOST,
                'fabric_port': entry.ports['fabric'],
                'http_port': entry.ports['http'],
            }
            for _, entry in self.entries
        ]
        body = {'entries': rows, 'revision': next(self._entries_revisions)}
        http_json(self.fabric.endpoint('http'), '/entries', body)


def wait_for(
    description: str, condition: Callable[[], bool], timeout_s: float = READY_TIMEOUT_S
) -> None:
    """Wait until a condition holds; it does not hold while it raises HttpError.

    Raises
    ------
    DemoError
        If the condition does not hold in time.

    """
    try:
        with gevent.Timeout(timeout_s):
            while not _holds(condition):
                gevent.sleep(_POLL_PERIOD_S)
    except gevent.Timeout as error:
        raise DemoError(
            f'timed out after {timeout_s} s while waiting for {description}'
        ) from error


def _holds(condition: Callable[[], bool]) -> bool:
    try:
        return condition()
    except HttpError:
        return False


def _run_concurrently(calls: list[tuple[Any, ...]]) -> None:
    greenlets = [gevent.spawn(*call) for call in calls]
    gevent.joinall(greenlets, raise_error=True)
