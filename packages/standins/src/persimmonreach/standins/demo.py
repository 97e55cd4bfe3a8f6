"""Runs both deployments of the design page on loopback and checks requirements.

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
from persimmonreach.standins._report import check_requirements, render_report
from persimmonreach.standins._script import DemoScript

BUILD_DIRECTORY: Final = Path('build')
_SIGTERM_EXIT_STATUS: Final = 143


class DeploymentResult(NamedTuple):
    """Figures of one deployment, and the requirements that it does not meet."""

    key: str
    figures: Any
    failures: tuple[str, ...]


def main() -> int:
    """Run both deployments; return 1 if a requirement is not met."""
    # SystemExit in the main greenlet lets the exit stacks end all processes.
    gevent.signal_handler(signal.SIGTERM, sys.exit, _SIGTERM_EXIT_STATUS)
    deployment_results = Pool().map(_run, (TENDEDEROS, KARI_LAKAZ))
    figures = {result.key: result.figures for result in deployment_results}
    failures = [failure for result in deployment_results for failure in result.failures]
    path = BUILD_DIRECTORY / 'demo.json'
    path.write_bytes(msgspec.json.format(msgspec.json.encode(figures)))
    _print(f'figures: {path}')
    for failure in failures:
        _print(f'BROKEN: {failure}')
    return 1 if failures else 0


def _run(deployment: Deployment) -> DeploymentResult:
    directory = BUILD_DIRECTORY / 'demo' / deployment.key
    directory.mkdir(parents=True, exist_ok=True)
    report_progress = partial(_print_progress, deployment.title)
    try:
        figures = DemoScript(deployment, directory, report_progress).run()
    except (DemoError, HttpError) as error:
        failure = f'{deployment.title}: not completed: {error}'
        return DeploymentResult(deployment.key, {'error': str(error)}, (failure,))
    _print(render_report(deployment.title, figures))
    failures = tuple(
        f'{deployment.title}: {requirement}'
        for requirement in check_requirements(figures)
        if not requirement.is_met
    )
    return DeploymentResult(deployment.key, figures, failures)


def _print_progress(title: str, line: str) -> None:
    _print(f'{title}: {line}')


def _print(line: str) -> None:
    sys.stdout.write(f'{line}\n')
    sys.stdout.flush()


if __name__ == '__main__':
    sys.exit(main())
