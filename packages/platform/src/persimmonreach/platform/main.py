"""Command line of a process on the platform: ``main.py {entry,agent}``."""

import gc
import os
import sys
from importlib import import_module
from types import MappingProxyType
from typing import Final

from persimmonreach.core import FindingsError

EXIT_DONE: Final = 0
EXIT_FINDINGS: Final = 2
# Names the settings file.
SETTINGS_VARIABLE: Final = 'PERSIMMONREACH_CONFIG'
# Modules with ``run(path)``. Only that of the role is loaded: its flows wait
# while a process starts.
ROLES: Final = MappingProxyType(
    {
        'entry': 'persimmonreach.platform._entry_process',
        'agent': 'persimmonreach.platform._agent_process',
    },
)
_USAGE: Final = f'usage: {{entry,agent}}, with {SETTINGS_VARIABLE} set\n'


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
    # Collections while modules load find nothing to free.
    gc.disable()
    role = import_module(ROLES[arguments[0]])
    gc.freeze()
    gc.enable()
    try:
        role.run(path)
    except FindingsError as error:
        for finding in error.findings:
            sys.stderr.write(f'{finding}\n')
        return EXIT_FINDINGS
    return EXIT_DONE


if __name__ == '__main__':
    sys.exit(main())
