"""Runs both deployments of the design page on loopback and checks the promises.

Run as ``python -m persimmonreach.standins.demo`` or by ``make demo``.
"""

import signal
import sys
from functools import partial
from pathlib import Path
from typing import Any, Final, NamedTuple

import gevent
import msgspec
from gevent.pool import Pool

from persimmonreach.standins._deployments import KARI_LAKAZ, TENDEDEROS, Deployment
from persimmonreach.standins._process import HttpError
from persimmonreach.standins._processes import DemoError
from persimmonreach.standins._report import check_promises, render_report
from persimmonreach.standins._script import Script

BUILD_DIRECTORY: Final = Path('build')
_TERMINATED: Final = 143


class Result(NamedTuple):
    """Outcome of one deployment."""

    key: str
    figures: Any
    faults: tuple[str, ...]


def main() -> int:
    """Run both deployments; return 1 if a promise is broken."""
    # Raised in the main greenlet, so that the exit stacks end all processes.
    gevent.signal_handler(signal.SIGTERM, sys.exit, _TERMINATED)
    runs = Pool().map(_run, (TENDEDEROS, KARI_LAKAZ))
    figures = {run.key: run.figures for run in runs}
    faults = [fault for run in runs for fault in run.faults]
    path = BUILD_DIRECTORY / 'demo.json'
    path.write_bytes(msgspec.json.format(msgspec.json.encode(figures)))
    _print(f'figures: {path}')
    for fault in faults:
        _print(f'BROKEN: {fault}')
    return 1 if faults else 0


def _run(deployment: Deployment) -> Result:
    directory = BUILD_DIRECTORY / 'demo' / deployment.key
    directory.mkdir(parents=True, exist_ok=True)
    progress = partial(_print_progress, deployment.title)
    try:
        figures = Script(deployment, directory, progress).run()
    except (DemoError, HttpError) as error:
        fault = f'{deployment.title}: not completed: {error}'
        return Result(deployment.key, {'error': str(error)}, (fault,))
    _print(render_report(deployment.title, figures))
    faults = tuple(
        f'{deployment.title}: {promise}'
        for promise in check_promises(figures)
        if not promise.kept
    )
    return Result(deployment.key, figures, faults)


def _print_progress(title: str, line: str) -> None:
    _print(f'{title}: {line}')


def _print(line: str) -> None:
    sys.stdout.write(f'{line}\n')
    sys.stdout.flush()


if __name__ == '__main__':
    sys.exit(main())
