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
    'LocalFlows',
    'OpenFlow',
    'ProbeSettings',
)
