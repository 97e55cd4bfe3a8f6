"""Command line of a process on the platform: ``main.py {entry,agent}``."""

import os
import sys
from collections.abc import Callable
from types import MappingProxyType
from typing import Any, Final, NamedTuple

from persimmonreach.core import FindingsError
from persimmonreach.platform._agent_process import AgentProcess
from persimmonreach.platform._entry_process import EntryProcess
from persimmonreach.platform._settings import (
    SETTINGS_VARIABLE,
    read_agent_settings,
    read_entry_settings,
)

EXIT_DONE: Final = 0
EXIT_FINDINGS: Final = 2
_USAGE: Final = f'usage: {{entry,agent}}, with {SETTINGS_VARIABLE} set\n'


class Role(NamedTuple):
    """What a role of the process is made of."""

    read_settings: Callable[[str], Any]
    process_type: type


ROLES: Final = MappingProxyType(
    {
        'entry': Role(read_entry_settings, EntryProcess),
        'agent': Role(read_agent_settings, AgentProcess),
    },
)


def main() -> int:
    """Run one role until SIGTERM or SIGINT.

    Returns
    -------
    int
        0 after a graceful shutdown, 2 if the settings are invalid.

    """
    arguments = sys.argv[1:]
    path = os.environ.get(SETTINGS_VARIABLE, '')
    if len(arguments) != 1 or arguments[0] not in ROLES or not path:
        sys.stderr.write(_USAGE)
        return EXIT_FINDINGS
    role = ROLES[arguments[0]]
    try:
        settings = role.read_settings(path)
    except FindingsError as error:
        for finding in error.findings:
            sys.stderr.write(f'{finding}\n')
        return EXIT_FINDINGS
    role.process_type(settings).run()
    return EXIT_DONE


if __name__ == '__main__':
    sys.exit(main())
