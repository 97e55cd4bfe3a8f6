"""Choice of a backend server for a new flow, and its admission."""

from persimmonreach.placement._events import (
    FlowPlaced,
    FlowRejected,
    PlaceFlow,
    ZonesChanged,
)
from persimmonreach.placement._gate import AdmissionGate, Occupancy
from persimmonreach.placement._placement import Placement
from persimmonreach.placement._policy import PlacementPolicy, RankedChoices, rank_rows
from persimmonreach.placement.messages import (
    FirstPacket,
    FlowAccepted,
    FlowRefused,
    RefusalReason,
)

__all__ = (
    'AdmissionGate',
    'FirstPacket',
    'FlowAccepted',
    'FlowPlaced',
    'FlowRefused',
    'FlowRejected',
    'Occupancy',
    'PlaceFlow',
    'Placement',
    'PlacementPolicy',
    'RankedChoices',
    'RefusalReason',
    'ZonesChanged',
    'rank_rows',
)
