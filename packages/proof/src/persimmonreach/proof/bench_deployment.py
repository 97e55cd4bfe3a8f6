"""Real processes of the product on loopback, for measurements."""

import json
import sys
from collections.abc import Mapping, Sequence
from contextlib import ExitStack
from http import HTTPStatus
from pathlib import Path
from typing import Any, Final, Self

import gevent
from gevent.pool import Pool

from persimmonreach.configuration import ANY_REVISION, EntryInstance
from persimmonreach.configuration._head import HEAD_KEY
from persimmonreach.configuration.adapters import HttpStore
from persimmonreach.core import Endpoint
from persimmonreach.proof.bench_base import KEY_BYTES
from persimmonreach.proof.bench_inputs import ZONES, make_services
from persimmonreach.proof.bench_store import published_keys
from persimmonreach.standins._platform import wait_for
from persimmonreach.standins._process import JsonServer, http_json, http_status
from persimmonreach.standins._processes import HOST, Child, Fleet

DIRECTORY: Final = Path('build/bench')
_SECRET: Final = bytes(KEY_BYTES).hex()
_KEYS: Final = ({'key_id': 1, 'secret': _SECRET},)
_HTTP: Final = 'http'
_READY_S: Final = 60
_STATUS_S: Final = 5
_NANOSECONDS: Final = 1e9
_KB_PER_MB: Final = 1024
_WRITERS: Final = 40
_STORE: Final = (sys.executable, '-m', 'persimmonreach.standins.store', '--port', '0')


class Deployment:
    """Store, entry instances and agents as processes; ends them on exit.

    Parameters
    ----------
    profiler
        Module that runs a daemon under a profiler; empty for none.

    """

    def __init__(self, profiler: str = '') -> None:
        self._profiler = profiler
        DIRECTORY.mkdir(parents=True, exist_ok=True)
        self._fleet = Fleet(DIRECTORY)
        self._resources = ExitStack()
        self._store: Any = None

    def __enter__(self) -> Self:
        """Start the store."""
        self._resources.callback(self._fleet.stop)
        self._store = self._fleet.start('store', list(_STORE))
        return self

    def __exit__(self, *exc_info: object) -> None:
        """End all processes."""
        self._resources.close()

    def publish(self, count: int) -> None:
        """Write a configuration of ``count`` services into the store."""
        rows = {row.key: row.value for row in published_keys(count)}
        head = rows.pop(HEAD_KEY)
        self._put(rows)
        self._put({HEAD_KEY: head})

    def register(self, entries: Sequence[EntryInstance], port: int) -> None:
        """Register entry instances that all have the port of a sink."""
        places = {
            f'entries/{entry.entry}': json.dumps((entry.zone, HOST, port))
            for entry in entries
        }
        self._put(places)

    def _start_daemon(self, name: str, role: str, settings: Any) -> Child:
        if not self._profiler:
            return self._fleet.start_daemon(name, role, settings)
        path = self._fleet.write(f'{name}.json', settings)
        output = str(DIRECTORY / f'{name}.profile')
        module = ['-m', self._profiler]
        return self._fleet.start(name, [sys.executable, *module, role, path, output])

    def _put(self, rows: Mapping[str, str]) -> None:
        # One call takes 44 ms, so many are under way at once.
        pool = Pool(_WRITERS)
        list(pool.imap_unordered(self._put_one, rows.items()))

    def _put_one(self, row: tuple[str, str]) -> None:
        store = HttpStore(self._store.endpoint('port'))
        store.put(*row, ANY_REVISION)
        store.close()

    def start_entry(self, name: str) -> Child:
        """Start an entry instance and wait until it is ready."""
        settings = {
            'instance': name,
            'zone': ZONES[0],
            'host': HOST,
            'store': self._store.endpoint('port')._asdict(),
            'keys': _KEYS,
            'membership': {'heartbeat_s': 2, 'lease_s': 6, 'fence_s': 8},
        }
        child = self._start_daemon(name, 'entry', settings)
        wait_ready(child)
        return child

    def start_agent(self, name: str, entry: Child, port: int) -> Child:
        """Start an agent whose backend server and fabric are the sink at ``port``."""
        server = JsonServer(
            Endpoint(HOST, 0),
            {
                'GET /health': _health,
                'GET /load': _load,
                'GET /connections': _connections,
            },
        )
        server.start()
        self._resources.callback(server.stop)
        settings = {
            'instance': name,
            'zone': ZONES[0],
            'service': make_services(1)[0].name,
            'host': HOST,
            'backend': {'host': HOST, 'port': port, 'http_port': server.port},
            'fabric': {'host': HOST, 'port': port},
            'seeds': [entry.endpoint('peer')._asdict()],
            'keys': _KEYS,
            # No other agent takes its buckets over.
            'shutdown_s': 1,
            # The sink answers no probe, so none is sent during a measurement.
            'probing': {'idle_s': 1000},
            'membership': {'heartbeat_s': 2, 'lease_s': 6, 'fence_s': 8},
        }
        child = self._start_daemon(name, 'agent', settings)
        wait_ready(child)
        return child

    def send(self, entry: Child, flows: int, rate: int, seconds: float) -> list[float]:
        """Send packets from a process; return packets sent and seconds taken."""
        port = entry.ports['fabric']
        arguments = [str(part) for part in (port, flows, rate, seconds)]
        module = 'persimmonreach.proof.bench_traffic'
        command = [sys.executable, '-m', module, *arguments]
        output = gevent.subprocess.check_output(command, text=True)
        return [float(part) for part in output.split()]


def wait_ready(child: Child) -> None:
    """Wait until a process is ready."""
    wait_for(f'readiness of {child.name}', lambda: _is_ready(child), _READY_S)


def wait_figure(child: Child, name: str, amount: int) -> None:
    """Wait until a figure of the status reaches ``amount``."""
    wait_for(f'{name} of {child.name}', lambda: read_status(child)[name] >= amount)


def read_status(child: Child) -> dict[str, Any]:
    """Return the status of a process."""
    status: dict[str, Any] = http_json(child.endpoint(_HTTP), '/status')
    return status


def processor_seconds(child: Child) -> float:
    """Return the processor time of all threads of a process, in seconds."""
    paths = _proc(child).glob('task/*/schedstat')
    return sum(int(path.read_text().split()[0]) for path in paths) / _NANOSECONDS


def memory_mb(child: Child, field: str = 'Rss') -> float:
    """Return a field of the memory of a process, in MB."""
    content = (_proc(child) / 'smaps_rollup').read_text()
    for line in content.splitlines():
        name, _, rest = line.partition(':')
        if name == field:
            return int(rest.split()[0]) / _KB_PER_MB
    return 0


def _proc(child: Child) -> Path:
    return Path('/proc', str(child.process.pid))


def _is_ready(child: Child) -> bool:
    status = http_status(child.endpoint(_HTTP), '/ready', _STATUS_S)
    return status == HTTPStatus.OK


def _health(_: Any) -> Any:
    return {'state': 'warm'}


def _load(_: Any) -> Any:
    return {'load': 0}


def _connections(_: Any) -> Any:
    return {'connections': []}
