"""Runs the fault matrix: ``python -m persimmonreach.proof.matrix``."""

import argparse
import json
import sys
from collections import Counter
from pathlib import Path
from typing import Final

from persimmonreach.proof.matrix._cases import CaseResult, run_all_cases

REPORT_PATH: Final = Path('build/matrix.json')
_ROW_FORMAT: Final = '{0:<20} {1:>4} cases {2:>4} failed\n'
_FAILED_FORMAT: Final = '{0}: {1}\n'
_TOTAL_FORMAT: Final = 'seed {0}: {1} cases, {2} failed\n'


def main() -> int:
    """Run all cases; return 1 if a guarantee was violated.

    Prints a summary and writes it to :data:`REPORT_PATH`.
    """
    parser = argparse.ArgumentParser(description='Run the fault matrix.')
    parser.add_argument('--seed', type=int, default=1)
    seed = parser.parse_args().seed
    case_results = tuple(run_all_cases(seed))
    failed = {
        result.case.name: result.violations
        for result in case_results
        if result.violations
    }
    _print_results(case_results)
    sys.stdout.write(_TOTAL_FORMAT.format(seed, len(case_results), len(failed)))
    REPORT_PATH.parent.mkdir(exist_ok=True)
    report = {'seed': seed, 'cases': len(case_results), 'failed': failed}
    REPORT_PATH.write_text(json.dumps(report, indent=1), encoding='utf-8')
    return 1 if failed else 0


def _print_results(case_results: tuple[CaseResult, ...]) -> None:
    """Print a row for each first change, then a line for each failed case."""
    case_counts = Counter(result.case.first.name for result in case_results)
    failed_counts = Counter(
        result.case.first.name for result in case_results if result.violations
    )
    for name, count in case_counts.items():
        sys.stdout.write(_ROW_FORMAT.format(name, count, failed_counts[name]))
    for result in case_results:
        if result.violations:
            sys.stdout.write(
                _FAILED_FORMAT.format(result.case.name, '; '.join(result.violations))
            )


if __name__ == '__main__':
    sys.exit(main())
