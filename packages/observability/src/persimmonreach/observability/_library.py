"""Import of structlog that leaves time for other greenlets."""

from importlib import import_module
from typing import Any, Final

import gevent

# Modules that structlog imports, imported one by one so that no step imports many.
# They are not imported on a native thread: processes that started one ended with an
# illegal instruction in the C library two seconds after their start.
IMPORT_STEPS: Final = (
    'contextvars',
    'copy',
    'ast',
    'dis',
    'inspect',
    'dataclasses',
    'string',
    'threading',
    'logging',
    'locale',
    'subprocess',
    'ssl',
    'concurrent.futures',
    'pickle',
    'asyncio',
)
LOG_LIBRARY: Final = 'structlog'
# Other greenlets handle packets during the pause; the longest step takes 14 ms of CPU
# time.
IMPORT_PAUSE_S: Final = 0.02


def import_structlog() -> Any:
    """Import structlog in one step and return the module."""
    return import_module(LOG_LIBRARY)


def import_structlog_in_steps() -> Any:
    """Import structlog in steps, with a pause after each, and return the module."""
    for module in IMPORT_STEPS:
        import_module(module)
        gevent.sleep(IMPORT_PAUSE_S)
    return import_structlog()
