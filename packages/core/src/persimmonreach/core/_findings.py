"""Findings about input: collected with their place and reported together."""

from collections.abc import Sequence
from typing import NamedTuple, Self


class Finding(NamedTuple):
    """One fault of an input file or a message.

    Attributes
    ----------
    source
        File or other origin.
    path
        JSON path inside the source, for example ``$.services[0].port``.
    problem
        What is wrong.
    remedy
        What to write instead; empty if nothing can be suggested.
    line
        Line number, counted from 1; 0 if unknown.

    """

    source: str
    path: str
    problem: str
    remedy: str = ''
    line: int = 0

    def __str__(self) -> str:
        """Return the finding as one line of text."""
        place = f'{self.source}:{self.line}' if self.line else self.source
        hint = f' ({self.remedy})' if self.remedy else ''
        return f'{place}: {self.path}: {self.problem}{hint}'


class FindingError(ValueError):
    """One finding as an error.

    Parameters
    ----------
    finding
        The fault that this error reports.

    """

    def __init__(self, finding: Finding) -> None:
        super().__init__(str(finding))
        self.finding = finding


class FindingsError(ExceptionGroup[FindingError]):
    """All findings of one check."""

    @property
    def findings(self) -> tuple[Finding, ...]:
        """Findings in the order in which they were collected."""
        return tuple(error.finding for error in self.exceptions)

    def derive(self, errors: Sequence[FindingError]) -> Self:
        """Return a group of the same type that holds ``errors``."""
        return type(self)(self.message, errors)


def raise_findings(message: str, findings: Sequence[Finding]) -> None:
    """Raise all findings together.

    Raises
    ------
    FindingsError
        If ``findings`` is not empty.

    """
    if findings:
        raise FindingsError(message, [FindingError(found) for found in findings])
