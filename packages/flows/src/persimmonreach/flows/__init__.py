"""Flows of one backend server and probing of silent flows."""

from persimmonreach.flows._events import (
    AdoptFlows,
    BackendPacket,
    CallerPacket,
    EndAllFlows,
    EndFlow,
    EndReason,
    FlowClosed,
    LocalFlows,
    OpenFlow,
)
from persimmonreach.flows._held import HeldFlow, HeldFlows
from persimmonreach.flows._holders import HolderTable
from persimmonreach.flows._settings import ProbeSettings
from persimmonreach.flows._table import FlowTable

__all__ = (
    'AdoptFlows',
    'BackendPacket',
    'CallerPacket',
    'EndAllFlows',
    'EndFlow',
    'EndReason',
    'FlowClosed',
    'FlowTable',
    'HeldFlow',
    'HeldFlows',
    'HolderTable',
    'LocalFlows',
    'OpenFlow',
    'ProbeSettings',
)
