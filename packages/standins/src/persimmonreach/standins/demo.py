"""Runs both deployments of the design page on loopback and checks the promises.

Run as ``python -m persimmonreach.standins.demo`` or by ``make demo``.
"""

import signal
import sys
from pathlib import Path
from typing import Any, Final

import gevent
import msgspec

from persimmonreach.standins._deployments import KARI_LAKAZ, TENDEDEROS, Deployment
from persimmonreach.standins._process import HttpError
from persimmonreach.standins._processes import DemoError
from persimmonreach.standins._report import check_promises, render_report
from persimmonreach.standins._script import Script

BUILD_DIRECTORY: Final = Path('build')
_TERMINATED: Final = 143


def main() -> int:
    """Run both deployments; return 1 if a promise is broken."""
    # Raised in the main greenlet, so that the exit stacks end all processes.
    gevent.signal_handler(signal.SIGTERM, sys.exit, _TERMINATED)
    figures: dict[str, Any] = {}
    faults: list[str] = []
    for deployment in (TENDEDEROS, KARI_LAKAZ):
        try:
            figures[deployment.key] = _run(deployment, faults)
        except (DemoError, HttpError) as error:
            figures[deployment.key] = {'error': str(error)}
            faults.append(f'{deployment.title}: not completed: {error}')
    path = BUILD_DIRECTORY / 'demo.json'
    path.write_bytes(msgspec.json.format(msgspec.json.encode(figures)))
    _print(f'figures: {path}')
    for fault in faults:
        _print(f'BROKEN: {fault}')
    return 1 if faults else 0


def _run(deployment: Deployment, faults: list[str]) -> Any:
    directory = BUILD_DIRECTORY / 'demo' / deployment.key
    directory.mkdir(parents=True, exist_ok=True)
    _print(f'== {deployment.title}')
    figures = Script(deployment, directory, _print).run()
    _print(render_report(deployment.title, figures))
    faults.extend(
        f'{deployment.title}: {promise}'
        for promise in check_promises(figures)
        if not promise.kept
    )
    return figures


def _print(line: str) -> None:
    sys.stdout.write(f'{line}\n')
    sys.stdout.flush()


if __name__ == '__main__':
    sys.exit(main())
