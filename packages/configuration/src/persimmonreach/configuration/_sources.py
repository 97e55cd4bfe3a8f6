"""Declaration files and places inside them."""

import json
from collections.abc import Sequence
from typing import NamedTuple

from persimmonreach.core import Finding


class SourceFile(NamedTuple):
    """Content of one declaration file.

    Attributes
    ----------
    name
        Path as findings show it.
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
    """Return a finding at a JSON path, with its line where it can be had."""
    steps = [f'[{step}]' if isinstance(step, int) else f'.{step}' for step in path]
    line = line_of(source.text, path)
    return Finding(source.name, ''.join(('$', *steps)), problem, remedy, line)


def line_of(text: str, path: Sequence[str | int]) -> int:
    """Return the line of the last key of ``path``, or 0 if it is not found.

    Keys are searched one after the other, which suffices for the shallow
    objects of declarations; an array index keeps the line of its array.
    """
    position = 0
    for step in path:
        if isinstance(step, int):
            continue
        position = text.find(json.dumps(step), position)
        if position < 0:
            return 0
    return text.count('\n', 0, position) + 1
