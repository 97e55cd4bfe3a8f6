"""Exit codes and reports of the commands."""

import json
from enum import IntEnum
from typing import Any, Final, NamedTuple

from persimmonreach.configuration import (
    Accepted,
    Outcome,
    Rejected,
)
from persimmonreach.core import FindingsError
from persimmonreach.store import StoreError


class ExitCode(IntEnum):
    """Exit codes of ``persimmonreach``, which are stable across versions.

    Attributes
    ----------
    DONE
        The command succeeded.
    FINDINGS
        The options, arguments or declarations are invalid, or every entry
        instance called refused the change.
    NOT_ACCEPTED
        A concurrent change was accepted first, or the operator declined.
    UNSETTLED
        It is unknown whether the store accepted the change.
    STORE_UNAVAILABLE
        A call to the store failed. For a zone change, no entry instance accepted an
        override either.
    NOT_CONFIRMED
        The change was accepted, but at least one process is not known to have its
        version, or no entry instance reported the override in time.
    NO_ENTRY_ANSWERS
        None of the entry instances called replied.

    """

    DONE = 0
    FINDINGS = 2
    NOT_ACCEPTED = 3
    UNSETTLED = 4
    STORE_UNAVAILABLE = 5
    NOT_CONFIRMED = 6
    NO_ENTRY_ANSWERS = 7


class Report(NamedTuple):
    """Result of a command.

    Attributes
    ----------
    code
        Exit code.
    result
        Name of the result in JSON, stable across versions.
    lines
        Lines of the text output.
    details
        Further fields of the JSON output.

    """

    code: ExitCode
    result: str
    lines: tuple[str, ...]
    details: dict[str, Any]

    def to_json(self) -> str:
        """Return the report as a JSON object."""
        return json.dumps({'result': self.result, **self.details}, default=str)


def report_findings(error: FindingsError) -> Report:
    """Return the report of invalid options, arguments or declarations."""
    return Report(
        ExitCode.FINDINGS,
        'findings',
        tuple(str(finding) for finding in error.findings),
        {'findings': [finding._asdict() for finding in error.findings]},
    )


def report_store_error(error: StoreError) -> Report:
    """Return the report of a failed call to the store."""
    return Report(
        ExitCode.STORE_UNAVAILABLE,
        'store_unavailable',
        (f'The store does not answer: {error}', 'Nothing has changed; try again later.'),
        {'problem': str(error)},
    )


def report_outcome(outcome: Outcome) -> Report:
    """Return the report of an attempt to write a change to the store."""
    details = outcome._asdict()
    if isinstance(outcome, Accepted):
        lines = (f'Accepted as version {outcome.version}.',)
        return Report(ExitCode.DONE, 'accepted', lines, details)
    if isinstance(outcome, Rejected):
        lines = (
            f'Not accepted: another change came first (version {outcome.version}).',
            'Nothing of this change is in force; run the command again.',
        )
        return Report(ExitCode.NOT_ACCEPTED, 'not_accepted', lines, details)
    return Report(
        ExitCode.UNSETTLED,
        'unsettled',
        (
            f'Not settled: {outcome.description}.',
            'Run "persimmonreach audit" to see which.',
        ),
        {**details, 'known': outcome.description},
    )


UNCHANGED: Final = Report(ExitCode.DONE, 'unchanged', ('Nothing to change.',), {})
CANCELLED: Final = Report(
    ExitCode.NOT_ACCEPTED,
    'cancelled',
    ('Cancelled; nothing has changed.',),
    {},
)
