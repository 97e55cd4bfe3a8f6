"""Reading the settings file again while the process runs."""

import os
from collections.abc import Callable
from typing import TypeVar

from persimmonreach.core import FindingsError
from persimmonreach.platform._settings import SETTINGS_VARIABLE

Settings = TypeVar('Settings', bound=tuple)


def reload_settings(
    read: Callable[[str], Settings],
    present: Settings,
) -> tuple[str, Settings]:
    """Return what came of it, and the settings in force.

    Sockets stay bound to the addresses of the start: a changed address is
    reported, and taken over by the next process.
    """
    try:
        settings = read(os.environ[SETTINGS_VARIABLE])
    except FindingsError as error:
        problems = '; '.join(str(finding) for finding in error.findings)
        return f'refused: {problems}', present
    if settings == present:
        return 'unchanged', present
    return 'changed: in force after the next start', present
