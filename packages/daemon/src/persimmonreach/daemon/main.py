"""Command line of the long-running process.

Usage: ``persimmonreachd entry SETTINGS.json`` or
``persimmonreachd agent SETTINGS.json``. It takes no options, so it needs no
command line library, whose import alone takes 5 MB of the 32 MB budget.
"""

import sys
from types import MappingProxyType
from typing import Final, NamedTuple

from persimmonreach.core import FindingsError
from persimmonreach.daemon._agent_process import AgentProcess
from persimmonreach.daemon._entry_process import EntryProcess
from persimmonreach.daemon._settings import AgentSettings, EntrySettings
from persimmonreach.daemon._settings_reader import read_settings

EXIT_DONE: Final = 0
EXIT_FINDINGS: Final = 2

_USAGE: Final = 'usage: persimmonreachd {entry,agent} SETTINGS.json\n'


class Role(NamedTuple):
    """What a role of the process is made of."""

    settings_type: type
    process_type: type


ROLES: Final = MappingProxyType(
    {
        'entry': Role(EntrySettings, EntryProcess),
        'agent': Role(AgentSettings, AgentProcess),
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
    if len(arguments) != 2 or arguments[0] not in ROLES:
        sys.stderr.write(_USAGE)
        return EXIT_FINDINGS
    role = ROLES[arguments[0]]
    try:
        settings = read_settings(arguments[1], role.settings_type)
    except FindingsError as error:
        for finding in error.findings:
            sys.stderr.write(f'{finding}\n')
        return EXIT_FINDINGS
    role.process_type(settings).run()
    return EXIT_DONE
