"""Bucket tokens, flow directory and flow lookup of an agent."""

from persimmonreach.ownership._events import (
    Admit,
    DeliverLocal,
    EndLocalFlow,
    FlowPlaced,
    LocalFlowEnded,
    LocalFlows,
    LocalFlowsAdopted,
    PacketArrived,
    ResetCaller,
)

__all__ = (
    'Admit',
    'DeliverLocal',
    'EndLocalFlow',
    'FlowPlaced',
    'LocalFlowEnded',
    'LocalFlows',
    'LocalFlowsAdopted',
    'PacketArrived',
    'ResetCaller',
)
