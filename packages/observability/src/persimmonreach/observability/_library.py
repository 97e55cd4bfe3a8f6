"""Loading of the log library beside the traffic."""

from importlib import import_module
from typing import Any, Final

import gevent

# Modules that structlog imports, so that no step loads many at once. They are
# not loaded on a native thread: processes that started one were seen to end by
# an illegal instruction in the C library two seconds after their start.
STEPS: Final = (
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
LIBRARY: Final = 'structlog'
# Time for packets between two steps; the largest step takes 14 ms of a core.
STEP_PAUSE_S: Final = 0.02


def load_library() -> Any:
    """Return structlog, at once."""
    return import_module(LIBRARY)


def load_library_in_steps() -> Any:
    """Return structlog; other greenlets run between the steps of its import."""
    for module in STEPS:
        import_module(module)
        gevent.sleep(STEP_PAUSE_S)
    return load_library()
