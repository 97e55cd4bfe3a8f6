"""Validation findings: collected with their location and raised as one group."""

from collections.abc import Sequence
from typing import NamedTuple, Self


class Finding(NamedTuple):
    """One validation error in an input file, a message or a command line.

    Attributes
    ----------
    source
        File name, or a description of another origin of the input.
    path
        JSON path within the source, for example ``$.services[0].port``, or the name
        of a command line argument.
    problem
        Description of the error.
    remedy
        Suggested correction; empty if there is none.
    line
        1-based line number; 0 if unknown.

    """

    source: str
    path: str
    problem: str
    remedy: str = ''
    line: int = 0

    def __str__(self) -> str:
        """Format the finding as one line of text."""
        location = f'{self.source}:{self.line}' if self.line else self.source
        suggestion = f' ({self.remedy})' if self.remedy else ''
        return f'{location}: {self.path}: {self.problem}{suggestion}'


class FindingError(ValueError):
    """Exception for a single finding.

    Parameters
    ----------
    finding
        Finding that this exception reports.

    """

    def __init__(self, finding: Finding) -> None:
        super().__init__(str(finding))
        self.finding = finding


class FindingsError(ExceptionGroup[FindingError]):
    """Group of all findings of one validation."""

    @property
    def findings(self) -> tuple[Finding, ...]:
        """Findings of the group, in the order in which they were collected."""
        return tuple(error.finding for error in self.exceptions)

    def derive(self, errors: Sequence[FindingError]) -> Self:
        """Return a group of the same type with ``errors``, as ``split`` requires."""
        return type(self)(self.message, errors)


def raise_findings(message: str, findings: Sequence[Finding]) -> None:
    """Raise all findings as one exception group.

    Parameters
    ----------
    message
        Message of the group.
    findings
        Findings to raise; nothing is raised if there are none.

    Raises
    ------
    FindingsError
        If ``findings`` is not empty.

    """
    if findings:
        raise FindingsError(message, [FindingError(finding) for finding in findings])
