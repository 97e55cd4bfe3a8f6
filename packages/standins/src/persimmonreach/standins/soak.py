"""Runs one deployment under random faults and checks requirements.

Run as ``python -m persimmonreach.standins.soak --seed 1 --seconds 20``.
"""

import argparse
import signal
import sys
from collections.abc import Sequence
from functools import partial
from pathlib import Path
from typing import Final

import gevent

from persimmonreach.standins._deployments import TENDEDEROS_WITH_CLASSES
from persimmonreach.standins._process import HttpError
from persimmonreach.standins._processes import DemoError
from persimmonreach.standins._report import ZERO_REQUIREMENTS
from persimmonreach.standins._soak import FAULTS, Fault, SoakScript

_OUTPUT_DIRECTORY: Final = Path('build/soak')
_SIGTERM_EXIT_STATUS: Final = 143
_DEFAULT_DURATION_S: Final = 20
_LINE: Final = 'seed {0}: {1}\n'
_FAILURE_TEXT: Final = 'BROKEN {0}; measured {1}'
_SUCCESS_TEXT: Final = 'every promise kept, {0} requests, {1} flows'


def main() -> int:
    """Run the seeds; return 1 if a requirement is not met."""
    # SystemExit in the main greenlet lets the exit stacks end all processes.
    gevent.signal_handler(signal.SIGTERM, sys.exit, _SIGTERM_EXIT_STATUS)
    parser = argparse.ArgumentParser(description='Run a deployment under random faults.')
    parser.add_argument('--seed', type=int, default=1)
    parser.add_argument('--seeds', type=int, default=1)
    parser.add_argument('--seconds', type=float, default=_DEFAULT_DURATION_S)
    parser.add_argument(
        '--fault',
        action='append',
        choices=sorted({type(fault).__name__ for fault in FAULTS}),
        help='inject only faults of this name; may be repeated',
    )
    options = parser.parse_args()
    faults = [
        fault
        for fault in FAULTS
        if not options.fault or type(fault).__name__ in options.fault
    ]
    failed_count = 0
    for seed in range(options.seed, options.seed + options.seeds):
        is_failed, summary = _run_seed(seed, options.seconds, faults)
        failed_count += is_failed
        _write(seed, summary)
    return 1 if failed_count else 0


def _run_seed(seed: int, duration_s: float, faults: Sequence[Fault]) -> tuple[bool, str]:
    directory = _OUTPUT_DIRECTORY / str(seed)
    directory.mkdir(parents=True, exist_ok=True)
    script = SoakScript(TENDEDEROS_WITH_CLASSES, directory, partial(_write, seed))
    try:
        figures = script.soak(seed, duration_s, faults)
    except (DemoError, HttpError) as error:
        return True, f'not completed: {error}'
    failures = [
        _FAILURE_TEXT.format(wording, figures[name])
        for name, wording in ZERO_REQUIREMENTS
        if figures[name]
    ]
    if failures:
        return True, '; '.join(failures)
    return False, _SUCCESS_TEXT.format(figures['requests_sent'], figures['flows_opened'])


def _write(seed: int, line: str) -> None:
    sys.stdout.write(_LINE.format(seed, line))
    sys.stdout.flush()


if __name__ == '__main__':
    sys.exit(main())
