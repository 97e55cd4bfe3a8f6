"""Child processes of the demo."""

import signal
import sys
from pathlib import Path
from typing import Any, Final, NamedTuple

import gevent
import msgspec
from gevent.event import AsyncResult
from gevent.subprocess import (
    PIPE,
    STDOUT,
    CalledProcessError,
    Popen,
    TimeoutExpired,
    run,
)

from persimmonreach.core import Endpoint

HOST: Final = '127.0.0.1'
# Many processes start at once, and each imports gevent, msgspec and its own packages.
START_TIMEOUT_S: Final = 15.0
COMMAND_TIMEOUT_S: Final = 15.0
# The graceful shutdown of a daemon takes 2 s. It is killed after this time.
STOP_TIMEOUT_S: Final = 5.0


class DemoError(RuntimeError):
    """A process or a command of the demo failed, or a condition timed out."""


class ChildProcess(NamedTuple):
    """A child process and the ports that it printed, by port name."""

    name: str
    process: Any
    ports: dict[str, int]

    def endpoint(self, port_name: str) -> Endpoint:
        """Return the endpoint of a port."""
        return Endpoint(HOST, self.ports[port_name])


class ProcessManager:
    """Starts and stops the processes of one deployment.

    Parameters
    ----------
    directory
        Directory of their settings and logs.

    """

    def __init__(self, directory: Path) -> None:
        self._directory = directory
        self._children: list[ChildProcess] = []

    def start_module(self, name: str, module: str, settings: Any) -> ChildProcess:
        """Start a stand-in with a settings file and wait for its ports."""
        path = self.write_json(f'{name}.json', settings)
        package = 'persimmonreach.standins'
        return self.start(name, [sys.executable, '-m', f'{package}.{module}', path])

    def start_daemon(self, name: str, role: str, settings: Any) -> ChildProcess:
        """Start an entry instance or an agent and wait for its ports."""
        path = self.write_json(f'{name}.json', settings)
        return self.start(name, [script_path('persimmonreachd'), role, path])

    def start(self, name: str, command: list[str]) -> ChildProcess:
        """Start a process and wait until it prints its ports.

        Raises
        ------
        DemoError
            If the process ends or prints no ports in time.

        """
        process = Popen(
            command,
            stdout=PIPE,
            stderr=STDOUT,
            text=True,
        )
        ports = AsyncResult()
        child = ChildProcess(name, process, {})
        self._children.append(child)
        gevent.spawn(self._copy_output, child, ports)
        if not ports.wait(START_TIMEOUT_S):
            raise DemoError(f'{name} printed no ports; see {self._log_path(name)}')
        child.ports.update(ports.get())
        return child

    def write_json(self, name: str, content: Any) -> str:
        """Write a JSON file in the directory and return its path."""
        path = self._directory / name
        path.write_bytes(msgspec.json.format(msgspec.json.encode(content)))
        return str(path)

    def stop(self) -> None:
        """End all processes by SIGTERM, and by SIGKILL those that do not end in time."""
        running = [child for child in self._children if child.process.poll() is None]
        for child in running:
            child.process.terminate()
        waits = [gevent.spawn(ending.process.wait) for ending in running]
        gevent.joinall(waits, timeout=STOP_TIMEOUT_S)
        for remaining in running:
            if remaining.process.poll() is None:
                remaining.process.kill()
                remaining.process.wait()

    def _copy_output(self, child: ChildProcess, ports: AsyncResult) -> None:
        output = child.process.stdout
        with self._log_path(child.name).open('w') as log:
            for line in output:
                log.write(line)
                log.flush()
                if not ports.ready() and '"listening"' in line:
                    ports.set(_parse_ports(line))
        if not ports.ready():
            ports.set(None)

    def _log_path(self, name: str) -> Path:
        return self._directory / f'{name}.log'


def script_path(name: str) -> str:
    """Return the path of a script of the virtual environment."""
    return str(Path(sys.executable).parent / name)


def run_cli(*arguments: str) -> None:
    """Run the command line of ``persimmonreach``.

    Raises
    ------
    DemoError
        If the command cannot be run, fails or does not end in time.

    """
    command = [script_path('persimmonreach'), *arguments]
    try:
        run(
            command,
            check=True,
            stdout=PIPE,
            stderr=STDOUT,
            timeout=COMMAND_TIMEOUT_S,
        )
    except CalledProcessError as error:
        output = error.stdout.decode(errors='replace')
        raise DemoError(
            f'{arguments}: expected exit status 0, found {error.returncode}: {output}'
        ) from error
    except (OSError, TimeoutExpired) as failure:
        raise DemoError(f'{arguments}: {failure}') from failure


def kill(child: ChildProcess) -> None:
    """Kill a process by SIGKILL and wait until it has ended."""
    child.process.send_signal(signal.SIGKILL)
    child.process.wait()


def _parse_ports(line: str) -> dict[str, int]:
    fields = msgspec.json.decode(line)
    return {name: port for name, port in fields.items() if isinstance(port, int)}
