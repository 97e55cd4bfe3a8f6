"""Declaration files, and findings with their location in a file."""

import json
from collections.abc import Sequence
from typing import NamedTuple

from persimmonreach.core import Finding


class SourceFile(NamedTuple):
    """Path and content of one declaration file.

    Attributes
    ----------
    name
        Path of the file, as shown in findings.
    text
        Content of the file.

    """

    name: str
    text: str


def make_finding(
    source: SourceFile,
    path: Sequence[str | int],
    problem: str,
    remedy: str,
) -> Finding:
    """Return a finding with its location.

    Parameters
    ----------
    source
        File with the fault.
    path
        Keys and array indices from the root of the document to the fault.
    problem
        Description of the fault.
    remedy
        Suggested correction.

    """
    steps = [f'[{step}]' if isinstance(step, int) else f'.{step}' for step in path]
    line = find_line(source.text, path)
    return Finding(source.name, ''.join(('$', *steps)), problem, remedy, line)


def find_line(text: str, path: Sequence[str | int]) -> int:
    """Return the 1-based line of the last key of ``path``; 0 if it is not found.

    The text is searched for one key after another, which is sufficient for the
    shallow objects of declarations. The line of an array item is that of the array.
    """
    position = 0
    for step in path:
        if isinstance(step, int):
            continue
        position = text.find(json.dumps(step), position)
        if position < 0:
            return 0
    return text.count('\n', 0, position) + 1
