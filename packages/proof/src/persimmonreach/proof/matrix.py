"""Fault matrix: ``python -m persimmonreach.proof.matrix``."""

import sys
from collections.abc import Iterable, Sequence
from concurrent.futures import ProcessPoolExecutor
from functools import partial
from pathlib import Path
from typing import Any, ClassVar, Final

from cleo.application import Application
from cleo.commands.command import Command
from cleo.helpers import option
from cleo.io.inputs.argv_input import ArgvInput
from cleo.io.inputs.option import Option

from persimmonreach.proof._case import Case, Result, parse_case, run_case
from persimmonreach.proof._mechanisms import MECHANISMS
from persimmonreach.proof._plan import all_cases, subset
from persimmonreach.proof._report import (
    count_lines,
    failure_lines,
    make_report,
    table_lines,
    write_report,
)
from persimmonreach.proof._settings import NORMAL, Switches

DEFAULT_SEED: Final = 1
_PROCESSES: Final = 6
_OUTPUT: Final = Path('build/matrix.json')


class MatrixCommand(Command):
    """Runs the fault matrix, or one case of it."""

    name = 'matrix'
    description = 'Inject each fault at each step and check all promises'
    options: ClassVar[list[Option]] = [
        option('case', None, 'Run this case alone and print its trace', flag=False),
        option('seed', None, 'Seed', flag=False, default=str(DEFAULT_SEED)),
        option('subset', None, 'Run the fixed subset only'),
        option('mechanisms', None, 'Also switch each mechanism off in turn'),
        option('jobs', None, 'Processes', flag=False, default=str(_PROCESSES)),
    ]

    def handle(self) -> int:
        """Run and report; return 1 if a promise is broken."""
        seed = int(self.option('seed'))
        if self.option('case'):
            return self._run_one(seed)
        cases = subset() if self.option('subset') else all_cases()
        with ProcessPoolExecutor(int(self.option('jobs'))) as pool:
            outcomes = run_cases(pool, cases, seed, NORMAL)
            mechanisms = self._switch_off(pool, seed)
        report = make_report(outcomes, mechanisms)
        write_report(report, _OUTPUT)
        self._print((*table_lines(outcomes), *failure_lines(outcomes)))
        self._print(count_lines(report, len(subset())))
        return int(bool(report['failures']))

    def _run_one(self, seed: int) -> int:
        result = run_case(parse_case(self.option('case')), seed)
        self._print((*result.trace, *table_lines([result]), *failure_lines([result])))
        return int(bool(result.broken))

    def _switch_off(self, pool: ProcessPoolExecutor, seed: int) -> dict[str, int]:
        if not self.option('mechanisms'):
            return {}
        normal = failed_cases(run_cases(pool, subset(), seed, NORMAL))
        return {
            name: len(failed_cases(run_cases(pool, subset(), seed, switches)) - normal)
            for name, switches in MECHANISMS.items()
        }

    def _print(self, lines: Iterable[str]) -> None:
        for text in lines:
            self.io.output.write_line(text)


def run_cases(
    pool: ProcessPoolExecutor,
    cases: Sequence[Case],
    seed: int,
    switches: Switches,
) -> list[Result]:
    """Run cases on several processes; outcomes are in the order of ``cases``."""
    run: Any = partial(_run_without_trace, seed=seed, switches=switches)
    return list(pool.map(run, cases, chunksize=4))


def failed_cases(outcomes: Sequence[Result]) -> set[Case]:
    """Return the cases with a broken promise."""
    return {result.case for result in outcomes if result.broken}


def _run_without_trace(case: Case, seed: int, switches: Switches) -> Result:
    return run_case(case, seed, switches)._replace(trace=())


def main() -> None:
    """Run the command line."""
    application = Application('matrix')
    application.add(MatrixCommand())
    arguments = ArgvInput([sys.argv[0], MatrixCommand.name, *sys.argv[1:]])
    sys.exit(application.run(arguments))


if __name__ == '__main__':
    main()
