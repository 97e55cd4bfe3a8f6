"""Plays the fault matrix: ``python -m persimmonreach.proof.matrix``."""

import argparse
import json
import sys
from collections import Counter
from pathlib import Path
from typing import Final

from persimmonreach.proof.matrix._cases import CaseResult, play_all

REPORT: Final = Path('build/matrix.json')
_ROW: Final = '{0:<20} {1:>4} cases {2:>4} failed\n'
_FAILED: Final = '{0}: {1}\n'
_TOTAL: Final = 'seed {0}: {1} cases, {2} failed\n'


def main() -> int:
    """Play all cases; return 1 if a promise was not kept."""
    parser = argparse.ArgumentParser(description='Play the fault matrix.')
    parser.add_argument('--seed', type=int, default=1)
    seed = parser.parse_args().seed
    played_cases = tuple(play_all(seed))
    failed = {result.case.name: result.broken for result in played_cases if result.broken}
    _print(played_cases)
    sys.stdout.write(_TOTAL.format(seed, len(played_cases), len(failed)))
    REPORT.parent.mkdir(exist_ok=True)
    report = {'seed': seed, 'cases': len(played_cases), 'failed': failed}
    REPORT.write_text(json.dumps(report, indent=1), encoding='utf-8')
    return 1 if failed else 0


def _print(played_cases: tuple[CaseResult, ...]) -> None:
    """Print a row for each first change, and a line for each failed case."""
    played = Counter(result.case.first.name for result in played_cases)
    red = Counter(result.case.first.name for result in played_cases if result.broken)
    for name, count in played.items():
        sys.stdout.write(_ROW.format(name, count, red[name]))
    for result in played_cases:
        if result.broken:
            sys.stdout.write(_FAILED.format(result.case.name, '; '.join(result.broken)))


if __name__ == '__main__':
    sys.exit(main())
