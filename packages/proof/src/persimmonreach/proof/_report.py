"""Report of a run of the matrix: table, counts and JSON."""

import json
from collections import Counter
from collections.abc import Mapping, Sequence
from pathlib import Path
from typing import Any, Final, TypedDict

from persimmonreach.proof._case import Result
from persimmonreach.proof._steps import STEPS

_COMMAND: Final = 'python -m persimmonreach.proof.matrix'
_OK: Final = 'ok'


class FailureRow(TypedDict):
    """One failed case."""

    case: str
    seed: int
    broken: dict[str, str]
    command: str


class FaultRow(TypedDict):
    """Cases of one fault."""

    cases: int
    failed: int


class Report(TypedDict):
    """Content of ``matrix.json``."""

    cases: int
    failures: list[FailureRow]
    by_fault: dict[str, FaultRow]
    mechanisms_off: dict[str, int]


def make_report(outcomes: Sequence[Result], mechanisms: Mapping[str, int]) -> Report:
    """Return the report of all cases."""
    failed = [result for result in outcomes if result.broken]
    cases = Counter(_fault_of(result) for result in outcomes)
    failures = Counter(_fault_of(result) for result in failed)
    return Report(
        cases=len(outcomes),
        failures=[_failure(result) for result in failed],
        by_fault={
            fault: FaultRow(cases=count, failed=failures[fault])
            for fault, count in cases.items()
        },
        mechanisms_off=dict(mechanisms),
    )


def table_lines(outcomes: Sequence[Result]) -> list[str]:
    """Return the table: faults as rows, steps as columns.

    A cell holds ``ok`` or numbers of broken promises, listed below the table.
    """
    promises = sorted({name for result in outcomes for name in result.broken})
    numbers = {name: str(number) for number, name in enumerate(promises, 1)}
    rows: dict[str, list[str]] = {'': list(STEPS)}
    for result in outcomes:
        cells = rows.setdefault(_fault_of(result), ['' for _ in STEPS])
        broken = ','.join(numbers[name] for name in sorted(result.broken))
        cells[list(STEPS).index(result.case.step)] = broken or _OK
    legend = [f'{number} = {name}' for name, number in numbers.items()]
    return [*_aligned(rows), *legend]


def failure_lines(outcomes: Sequence[Result]) -> list[str]:
    """Return for each failed case what was broken and how to repeat it."""
    lines: list[str] = []
    for result in outcomes:
        if result.broken:
            name, command = result.case.name, _command(result)
            lines.append(f'FAILED {name}: {command}')
            lines.extend(f'  {name}: {text}' for name, text in result.broken.items())
    return lines


def count_lines(report: Report, subset_size: int) -> list[str]:
    """Return the counts of all cases and of the switched-off mechanisms."""
    lines = [
        f'without {name}: {red} of {subset_size} cases turn red'
        for name, red in report['mechanisms_off'].items()
    ]
    total, failed = report['cases'], len(report['failures'])
    return [*lines, f'{total} cases, {failed} failed']


def write_report(report: Report, path: Path) -> None:
    """Write the report as JSON."""
    path.parent.mkdir(parents=True, exist_ok=True)
    content: Any = report
    path.write_text(json.dumps(content, indent=1))


def _fault_of(result: Result) -> str:
    return '+'.join(result.case.faults)


def _failure(result: Result) -> FailureRow:
    return FailureRow(
        case=result.case.name,
        seed=result.seed,
        broken=result.broken,
        command=_command(result),
    )


def _command(result: Result) -> str:
    name = result.case.name
    return f'{_COMMAND} --case {name} --seed {result.seed}'


def _aligned(rows: Mapping[str, Sequence[str]]) -> list[str]:
    first = max(len(name) for name in rows)
    widths = [max(map(len, column)) for column in zip(*rows.values(), strict=True)]
    lines: list[str] = []
    for name, cells in rows.items():
        padded = map(str.ljust, cells, widths)
        lines.append(' '.join((name.ljust(first), *padded)).rstrip())
    return lines
