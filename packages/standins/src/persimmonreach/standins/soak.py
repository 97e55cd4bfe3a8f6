"""Fault soak: ``python -m persimmonreach.standins.soak --seed 1 --seconds 20``."""

import argparse
import signal
import sys
from functools import partial
from pathlib import Path
from typing import Final

import gevent

from persimmonreach.standins._deployments import TENDEDEROS
from persimmonreach.standins._process import HttpError
from persimmonreach.standins._processes import DemoError
from persimmonreach.standins._report import NONE_ALLOWED
from persimmonreach.standins._soak import SoakScript

_DIRECTORY: Final = Path('build/soak')
_TERMINATED: Final = 143
_SECONDS: Final = 20
_LINE: Final = 'seed {0}: {1}\n'
_PROMISE: Final = 'BROKEN {0}; measured {1}'
_KEPT: Final = 'every promise kept, {0} requests, {1} flows'


def main() -> int:
    """Play some seeds; return 1 if a promise was broken."""
    # Raised in the main greenlet, so that the exit stacks end all processes.
    gevent.signal_handler(signal.SIGTERM, sys.exit, _TERMINATED)
    parser = argparse.ArgumentParser(description='Play random faults.')
    parser.add_argument('--seed', type=int, default=1)
    parser.add_argument('--seeds', type=int, default=1)
    parser.add_argument('--seconds', type=float, default=_SECONDS)
    options = parser.parse_args()
    failed = 0
    for seed in range(options.seed, options.seed + options.seeds):
        broken, summary = _play(seed, options.seconds)
        failed += broken
        _write(seed, summary)
    return 1 if failed else 0


def _play(seed: int, seconds: float) -> tuple[bool, str]:
    directory = _DIRECTORY / str(seed)
    directory.mkdir(parents=True, exist_ok=True)
    script = SoakScript(TENDEDEROS, directory, partial(_write, seed))
    try:
        figures = script.soak(seed, seconds)
    except (DemoError, HttpError) as error:
        return True, f'not completed: {error}'
    broken = [
        _PROMISE.format(wording, figures[name])
        for name, wording in NONE_ALLOWED
        if figures[name]
    ]
    if broken:
        return True, '; '.join(broken)
    return False, _KEPT.format(figures['requests_sent'], figures['flows_opened'])


def _write(seed: int, line: str) -> None:
    sys.stdout.write(_LINE.format(seed, line))
    sys.stdout.flush()


if __name__ == '__main__':
    sys.exit(main())
