"""Bucket tokens, flow directory and flow lookup of an agent."""

from persimmonreach.flows import LocalFlows
from persimmonreach.ownership._events import (
    Admit,
    DeliverLocal,
    EndLocalFlow,
    FlowPlaced,
    LocalFlowEnded,
    LocalFlowsAdopted,
    PacketArrived,
    ResetCaller,
    ResetFlow,
)
from persimmonreach.ownership._machine import BucketOwnership
from persimmonreach.ownership._settings import OwnershipSettings

__all__ = (
    'Admit',
    'BucketOwnership',
    'DeliverLocal',
    'EndLocalFlow',
    'FlowPlaced',
    'LocalFlowEnded',
    'LocalFlows',
    'LocalFlowsAdopted',
    'OwnershipSettings',
    'PacketArrived',
    'ResetCaller',
    'ResetFlow',
)
