"""Reading the settings file again while the process runs."""

from collections.abc import Callable
from typing import TypeVar

from persimmonreach.core import FindingsError

Settings = TypeVar('Settings', bound=tuple)


def reload_settings(
    read: Callable[[str], Settings],
    path: str,
    present: Settings,
) -> tuple[str, Settings]:
    """Return what came of it, and the settings in force.

    Sockets stay bound to the addresses of the start: a changed address is
    reported, and taken over by the next process.
    """
    try:
        settings = read(path)
    except FindingsError as error:
        problems = '; '.join(str(finding) for finding in error.findings)
        return f'refused: {problems}', present
    if settings == present:
        return 'unchanged', present
    return 'changed: in force after the next start', present
