"""Packet path of entry instances and agents."""

from persimmonreach.forwarding._agent import AgentForwarder
from persimmonreach.forwarding._caller_path import RouteExplanation
from persimmonreach.forwarding._entry import EntryForwarder, EntryIdentity
from persimmonreach.forwarding._events import (
    BackendFlowsListed,
    BackendLeft,
    BackendPacketArrived,
    BackendProbed,
    BackendStatusReported,
    CallerPacketArrived,
    ProbeBackend,
    ReportRejected,
    StopRequested,
)
from persimmonreach.forwarding._identity import AgentIdentity, AgentPolicy
from persimmonreach.forwarding.messages import RoutedPacket

__all__ = (
    'AgentForwarder',
    'AgentIdentity',
    'AgentPolicy',
    'BackendFlowsListed',
    'BackendLeft',
    'BackendPacketArrived',
    'BackendProbed',
    'BackendStatusReported',
    'CallerPacketArrived',
    'EntryForwarder',
    'EntryIdentity',
    'ProbeBackend',
    'ReportRejected',
    'RouteExplanation',
    'RoutedPacket',
    'StopRequested',
)
