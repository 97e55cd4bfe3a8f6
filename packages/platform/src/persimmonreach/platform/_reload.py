"""Reloading of the settings file in a running process."""

from collections.abc import Callable
from typing import TypeVar

from persimmonreach.core import FindingsError

Settings = TypeVar('Settings', bound=tuple)


def reload_settings(
    read: Callable[[str], Settings],
    path: str,
    current: Settings,
) -> tuple[str, Settings]:
    """Read the settings file again and report whether it has changed.

    Changed settings take effect at the next start only, because the sockets stay
    bound to the addresses from the start of the process.

    Parameters
    ----------
    read
        Function that reads and checks the settings file.
    path
        Path of the settings file.
    current
        Settings in effect.

    Returns
    -------
    tuple of str and Settings
        Outcome for the log, and the settings in effect.

    """
    try:
        settings = read(path)
    except FindingsError as error:
        problems = '; '.join(str(finding) for finding in error.findings)
        return f'refused: {problems}', current
    if settings == current:
        return 'unchanged', current
    return 'changed: takes effect at the next start', current
