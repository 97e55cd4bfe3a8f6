"""A small deployment on loopback: the project's programs and the stand-ins around them.

Each machine has a loopback address of its own; ports are the same on all machines.
"""

import json
import os
import shutil
import signal
import socket
import subprocess
import sys
import tempfile
import threading
import time
import tomllib
from pathlib import Path

from client import ClientHost, Router
from store import Store

ROOT = Path(__file__).resolve().parents[3]
STANDINS = Path(__file__).resolve().parent
BOUNDS = {
    'seedLagS': 3, 'reuseDelayS': 2, 'stabilityMs': 4000, 'ackMs': 5000, 'catchUpS': 4,
    'drainMs': 3000, 'graceS': 6, 'lossSlackMs': 200, 'configApplyMs': 3000,
    'downgradeSlackMs': 250, 'skewMaxMs': 12000, 'coldOvershoot': 1.5, 'coldSlack': 5,
    'evacuateMs': 5000, 'recoveryS': 12, 'flowMs': 2000, 'flowMaxS': 60,
}
HEARTBEAT_MS = 770
ZONE, REGION = 'mvd-a', 'montevideo'
# Runs at the same time use different networks.
NETWORK = f'127.{20 + os.getpid() % 200}'
ROUTE_HOST, ROUTE_PORT = f'{NETWORK}.7.1', 8443
SERVICE = 'counter'
START_TIMEOUT_S = 20


class SetupError(Exception):
    """The deployment did not come up, so the case could not run."""


class BackendProcess:
    """A stand-in backend in a process of its own, and its journal."""

    def __init__(self, settings: dict) -> None:
        self.settings = settings
        self.events: list[dict] = []
        self._changed = threading.Condition()
        self.process = subprocess.Popen(
            [sys.executable, '-S', str(STANDINS / 'backend.py'), json.dumps(settings)],
            stdin=subprocess.PIPE, stdout=subprocess.PIPE, text=True, cwd=STANDINS,
        )
        threading.Thread(target=self._read, daemon=True).start()

    def command(self, word: str) -> None:
        """Send a command."""
        self.process.stdin.write(word + '\n')
        self.process.stdin.flush()

    def wait(self, event: str, timeout_s: float = START_TIMEOUT_S, **fields: object) -> dict:
        """Return the first event of a name with these fields; wait for it."""
        with self._changed:
            self._changed.wait_for(lambda: self.find(event, **fields), timeout_s)
            found = self.find(event, **fields)
        if not found:
            raise SetupError(f'{self.settings["id"]}: no {event} {fields}')
        return found[0]

    def find(self, event: str, **fields: object) -> list[dict]:
        """Return the events of a name with these fields."""
        return [
            entry
            for entry in list(self.events)
            if entry['event'] == event and fields.items() <= entry.items()
        ]

    def kill(self) -> None:
        """End the process with SIGKILL."""
        self.process.kill()
        self.process.wait()

    def _read(self) -> None:
        for line in self.process.stdout:
            with self._changed:
                self.events.append(json.loads(line))
                self._changed.notify_all()


class Deployment:
    """Owns the processes, sockets and the temporary folder of a case."""

    def __init__(self, entry_count: int = 2) -> None:
        self.started_at = time.monotonic()
        self._lines: list[str] = []
        self._processes: list[subprocess.Popen] = []
        self._backends: list[BackendProcess] = []
        with (ROOT / 'deploy/system.toml').open('rb') as deploy_file:
            self._roles = tomllib.load(deploy_file)['roles']
        self.entry_hosts = [f'{NETWORK}.1.{number + 1}' for number in range(entry_count)]
        self.side_hosts = [f'{NETWORK}.2.{number + 1}' for number in range(8)]
        self.client_hosts = [f'{NETWORK}.3.{number + 1}' for number in range(4)]
        hosts = [*self.entry_hosts, *self.side_hosts, *self.client_hosts]
        names = ('datagramAddr', 'readinessAddr', 'control', 'outbound', 'app', 'peer')
        self.ports = dict(zip(names, _free_ports(hosts, len(names)), strict=True))
        self.folder = Path(tempfile.mkdtemp(prefix='review-'))
        self.store = Store(f'{NETWORK}.4.1')
        self.router = Router(
            [
                (host, self.ports['datagramAddr'], self.ports['readinessAddr'])
                for host in self.entry_hosts
            ]
        )
        self.clients = [
            ClientHost(host, self.ports['datagramAddr'], self.router)
            for host in self.client_hosts
        ]

    def __enter__(self) -> 'Deployment':
        return self

    def __exit__(self, *_: object) -> None:
        self.router.close()
        for backend in self._backends:
            if backend.process.poll() is None:
                backend.process.kill()
            backend.process.wait()
        for process in self._processes:
            if process.poll() is None:
                process.kill()
            process.wait()
        self.store.close()
        shutil.rmtree(self.folder, ignore_errors=True)

    def note(self, text: str) -> None:
        """Add a line with the time to the record."""
        self._lines.append(f'{time.monotonic() - self.started_at:8.3f} {text}')

    def write_record(self, path: Path, verdict: list[str]) -> None:
        """Write what was noted, what the backends saw, and the verdict."""
        lines = ['# times in seconds since the start', *self._lines]
        for backend in self._backends:
            lines.append(f'# journal of backend {backend.settings["id"]}')
            for event in backend.events:
                at = event['at'] - self.started_at
                fields = {
                    name: value for name, value in event.items() if name not in {'at', 'event'}
                }
                lines.append(f'{at:8.3f} {event["event"]} {json.dumps(fields)}')
        path.write_text('\n'.join([*lines, *verdict]) + '\n')
        print('\n'.join(verdict))

    def publish(self, version: int, **service_fields: object) -> None:
        """Write a configuration with one route to one service, as the operator does."""
        service = {
            'name': SERVICE, 'healthPath': '/health', 'maxConns': 2000, 'protocol': 'h1',
            'tls': False, 'coldS': 2.0, 'coldPerS': 0.0, **service_fields,
        }
        route = {
            'name': 'r-1', 'hostname': ROUTE_HOST, 'prefix': f'/{ROUTE_PORT}/',
            'routeType': 'unsafe', 'timeoutMs': 2000, 'targetLatencyMs': 250,
            'priority': 1, 'service': SERVICE, 'maxAttempts': 2,
        }
        limits = {
            'maxHeaderBytes': 16384, 'maxBodyBytes': 262144, 'headerTimeoutMs': 3000,
            'idleTimeoutMs': 15000,
        }
        body = {
            'version': version, 'routes': [route], 'services': [service], 'limits': limits,
        }
        self.store.operator_put('op/config', body)
        self.note(f'operator: configuration {version} acknowledged')

    def start_entry(self, index: int) -> subprocess.Popen:
        """Start the program of the front machine with this index."""
        host = self.entry_hosts[index]
        listen = {
            name: self._address(host, name)
            for name in ('datagramAddr', 'readinessAddr', 'control')
        }
        return self._start_role('entry', f'front-{index + 1}', host, listen, {})

    def start_agent(self, index: int) -> subprocess.Popen:
        """Start the program of the side machine with this index."""
        host = self.side_hosts[index]
        listen = {
            name: self._address(host, name)
            for name in ('datagramAddr', 'outbound', 'readinessAddr', 'control')
        }
        app = {'app': self._address(host, 'app'), 'service': SERVICE}
        return self._start_role('agent', f'side-{index + 1}', host, listen, app)

    def start_backend(self, index: int, backend_id: str, **settings: object) -> BackendProcess:
        """Start a backend on the side machine with this index."""
        host = self.side_hosts[index]
        backend = BackendProcess(
            {
                'id': backend_id, 'service': SERVICE, 'zone': ZONE, 'slots': 3,
                'app': self._address(host, 'app'),
                'outbound': self._address(host, 'outbound'),
                'control': self._address(host, 'control'),
                'heartbeatMs': HEARTBEAT_MS, 'workMs': 40, **settings,
            }
        )
        self._backends.append(backend)
        backend.wait('started')
        self.note(f'backend {backend_id} started on side-{index + 1}')
        return backend

    def control_address(self, index: int) -> str:
        """Return the address for heartbeats on the side machine with this index."""
        return self._address(self.side_hosts[index], 'control')

    def wait_ready(self) -> None:
        """Wait until all front machines are in rotation."""
        ends_at = time.monotonic() + START_TIMEOUT_S
        while self.router.ready_count < len(self.entry_hosts):
            if time.monotonic() > ends_at:
                raise SetupError('front machines are not ready')
            time.sleep(0.05)
        self.note('all front machines are in rotation')

    def check_programs(self) -> None:
        """Raise if a program of the project that should run has ended."""
        for process in self._processes:
            if process.poll() not in {None, 0, -signal.SIGKILL, -signal.SIGTERM}:
                raise SetupError(f'a program ended with {process.returncode}')

    def _address(self, host: str, name: str) -> str:
        return f'{host}:{self.ports[name]}'

    def _start_role(
        self, role: str, name: str, host: str, listen: dict, more: dict
    ) -> subprocess.Popen:
        deploy = self._roles[role]
        settings = {
            'nodeName': name, 'role': role, 'machineClass': deploy['on'],
            'serves': deploy['serves'], 'ip': host, 'zone': ZONE, 'region': REGION,
            'zones': {ZONE: REGION}, 'listen': listen,
            'portRange': [self.ports['peer'], self.ports['peer']],
            'seeds': [self._address(entry, 'control') for entry in self.entry_hosts[:3]],
            'bootstrap': True, 'faultCounted': False,
            'limits': {
                'cpuShare': 0.537, 'cores': 2, 'memoryMb': 300, 'maxFds': 4100,
                'linkMbps': 1000.0, 'diskMb': 0,
            },
            'dataDir': None, 'discovery': 'local', 'entry': 'announce',
            'heartbeatMs': HEARTBEAT_MS,
            'contracts': [
                'base', 'drain', 'config', 'cost', 'recover', 'flows', 'places', 'platform',
            ],
            'faultTolerance': {'machines': 2, 'zones': 1, 'regions': 0},
            'bounds': BOUNDS, 'hash': 'mod', 'forwardingMode': 'agent',
            'platform': {
                'address': self.store.address, 'forwardingMode': 'kv', 'writesPerS': 400,
                'readsPerS': 2000, 'historyS': 20, 'valueBytes': 1048576,
                'ttlMinMs': 1000,
            },
            **more,
        }
        path = self.folder / f'{name}.json'
        path.write_text(json.dumps(settings))
        environment = {
            variable: os.environ[variable]
            for variable in ('PATH', 'HOME', 'LANG')
            if variable in os.environ
        }
        environment['PERSIMMONREACH_CONFIG'] = str(path)
        environment['PYTHONPATH'] = str(ROOT / 'target/deps')
        environment['PYTHONDONTWRITEBYTECODE'] = '1'
        log = (self.folder / f'{name}.log').open('ab')
        process = subprocess.Popen(
            deploy['run'].split(), cwd=ROOT, env=environment, stdout=log, stderr=log
        )
        log.close()
        self._processes.append(process)
        self.note(f'program {role} started as {name}')
        return process


def calm_since(disruptions: list[tuple[float, float]], at: float) -> bool:
    """Whether no disruption, given by start and end, touched the ``stabilityMs`` before."""
    stability_s = BOUNDS['stabilityMs'] / 1000
    return all(end < at - stability_s or start > at for start, end in disruptions)


def _free_ports(hosts: list[str], count: int) -> list[int]:
    """Return ports below the ephemeral range that are free on all hosts."""
    found: list[int] = []
    for port in range(21_000 + os.getpid() % 8000, 32_000):
        if all(_is_free(host, port) for host in hosts):
            found.append(port)
            if len(found) == count:
                return found
    raise SetupError('no free ports')


def _is_free(host: str, port: int) -> bool:
    for kind in (socket.SOCK_STREAM, socket.SOCK_DGRAM):
        with socket.socket(socket.AF_INET, kind) as probe:
            if kind == socket.SOCK_STREAM:
                probe.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
            try:
                probe.bind((host, port))
            except OSError:
                return False
    return True
