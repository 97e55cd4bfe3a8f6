"""Packet path of entry instances and agents."""

from persimmonreach.forwarding._agent import AgentForwarder, AgentIdentity
from persimmonreach.forwarding._entry import EntryForwarder, EntryIdentity
from persimmonreach.forwarding._events import (
    BackendLeft,
    BackendPacketArrived,
    BackendProbed,
    BackendReported,
    CallerPacketArrived,
    ProbeBackend,
    StopRequested,
)
from persimmonreach.forwarding.messages import RoutedPacket

__all__ = (
    'AgentForwarder',
    'AgentIdentity',
    'BackendLeft',
    'BackendPacketArrived',
    'BackendProbed',
    'BackendReported',
    'CallerPacketArrived',
    'EntryForwarder',
    'EntryIdentity',
    'ProbeBackend',
    'RoutedPacket',
    'StopRequested',
)
