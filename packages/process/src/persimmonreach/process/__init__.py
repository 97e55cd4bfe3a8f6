"""Base classes of the entry and agent processes, shared by both front ends.

The packages ``platform`` and ``daemon`` each derive the processes of one front end.
"""

from persimmonreach.process._agent import (
    AgentStatusSource,
    BaseAgentProcess,
    CommonAgentSettings,
)
from persimmonreach.process._base import MESSAGE_TYPES, BaseProcess, wait_while
from persimmonreach.process._entry import (
    BaseEntryProcess,
    CommonEntrySettings,
    EntryStatusSource,
)

__all__ = (
    'MESSAGE_TYPES',
    'AgentStatusSource',
    'BaseAgentProcess',
    'BaseEntryProcess',
    'BaseProcess',
    'CommonAgentSettings',
    'CommonEntrySettings',
    'EntryStatusSource',
    'wait_while',
)
