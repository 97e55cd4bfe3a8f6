"""Command line of the daemon.

Usage: ``persimmonreachd entry SETTINGS.json`` or
``persimmonreachd agent SETTINGS.json``. The command has no options, so it does
without a command line library, whose import alone takes 5 MB of the memory budget
of 32 MB.
"""

import sys
from types import MappingProxyType
from typing import Final, NamedTuple

from persimmonreach.core import FindingsError
from persimmonreach.daemon._agent_process import AgentProcess
from persimmonreach.daemon._entry_process import EntryProcess
from persimmonreach.daemon._settings import AgentSettings, EntrySettings
from persimmonreach.daemon._settings_reader import read_settings

EXIT_SUCCESS: Final = 0
EXIT_INVALID_INPUT: Final = 2

_USAGE: Final = 'usage: persimmonreachd {entry,agent} SETTINGS.json\n'


class Role(NamedTuple):
    """Settings type and process type of a role."""

    settings_type: type
    process_type: type


ROLES: Final = MappingProxyType(
    {
        'entry': Role(EntrySettings, EntryProcess),
        'agent': Role(AgentSettings, AgentProcess),
    },
)


def main() -> int:
    """Run an entry instance or an agent until SIGTERM or SIGINT.

    Returns
    -------
    int
        0 after a graceful shutdown, 2 if the arguments or the settings are invalid.

    """
    arguments = sys.argv[1:]
    if len(arguments) != 2 or arguments[0] not in ROLES:
        sys.stderr.write(_USAGE)
        return EXIT_INVALID_INPUT
    role = ROLES[arguments[0]]
    try:
        settings = read_settings(arguments[1], role.settings_type)
    except FindingsError as error:
        for finding in error.findings:
            sys.stderr.write(f'{finding}\n')
        return EXIT_INVALID_INPUT
    role.process_type(settings).run()
    return EXIT_SUCCESS
