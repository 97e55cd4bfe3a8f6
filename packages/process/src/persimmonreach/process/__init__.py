"""Composition of entry instances and agents, shared by both front ends."""

from persimmonreach.process._agent import (
    AgentNodeProcess,
    AgentPlace,
    AgentStatusSource,
)
from persimmonreach.process._entry import (
    EntryNodeProcess,
    EntryPlace,
    EntryStatusSource,
)
from persimmonreach.process._node import MESSAGE_TYPES, NodeProcess, wait_while

__all__ = (
    'AgentNodeProcess',
    'AgentPlace',
    'AgentStatusSource',
    'EntryNodeProcess',
    'EntryPlace',
    'EntryStatusSource',
    'MESSAGE_TYPES',
    'NodeProcess',
    'wait_while',
)
