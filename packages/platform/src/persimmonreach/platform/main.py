"""Command line of a process on the platform: ``main.py {entry,agent}``."""

import gc
import os
import sys
from importlib import import_module
from types import MappingProxyType
from typing import Final

from persimmonreach.core import FindingsError

EXIT_SUCCESS: Final = 0
EXIT_INVALID_INPUT: Final = 2
# Environment variable that holds the path of the settings file.
SETTINGS_VARIABLE: Final = 'PERSIMMONREACH_CONFIG'
# Modules that define ``run(path)``. Only the module of the requested role is
# imported, because flows are delayed while a process starts.
ROLE_MODULES: Final = MappingProxyType(
    {
        'entry': 'persimmonreach.platform._entry_process',
        'agent': 'persimmonreach.platform._agent_process',
    },
)
_USAGE: Final = f'usage: {{entry,agent}}, with {SETTINGS_VARIABLE} set to a file\n'


def main() -> int:
    """Run one role until SIGTERM or SIGINT.

    Returns
    -------
    int
        0 after a graceful shutdown; 2 if the arguments are invalid, or the settings
        unreadable or invalid.

    """
    arguments = sys.argv[1:]
    path = os.environ.get(SETTINGS_VARIABLE, '')
    if len(arguments) != 1 or arguments[0] not in ROLE_MODULES or not path:
        sys.stderr.write(_USAGE)
        return EXIT_INVALID_INPUT
    # Garbage collection during the imports would find nothing to free.
    gc.disable()
    role_module = import_module(ROLE_MODULES[arguments[0]])
    gc.freeze()
    gc.enable()
    try:
        role_module.run(path)
    except FindingsError as error:
        for finding in error.findings:
            sys.stderr.write(f'{finding}\n')
        return EXIT_INVALID_INPUT
    return EXIT_SUCCESS


if __name__ == '__main__':
    sys.exit(main())
