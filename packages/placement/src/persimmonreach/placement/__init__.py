"""Placement of new flows on backend servers, and admission control."""

from persimmonreach.placement._admission import AdmissionController, Occupancy
from persimmonreach.placement._delay_policy import ExpectedDelayPolicy
from persimmonreach.placement._events import (
    FlowPlaced,
    FlowRejected,
    PlaceFlow,
    ZonesChanged,
)
from persimmonreach.placement._placement import Placement
from persimmonreach.placement._policy import (
    LocalityPolicy,
    PlacementPolicy,
    PlacementRequest,
    PowerOfChoicesPolicy,
    rank_agents,
    rank_near_agents_first,
)
from persimmonreach.placement.messages import (
    FlowAccepted,
    FlowOffer,
    FlowRefused,
    RefusalReason,
)

__all__ = (
    'AdmissionController',
    'ExpectedDelayPolicy',
    'FlowAccepted',
    'FlowOffer',
    'FlowPlaced',
    'FlowRefused',
    'FlowRejected',
    'LocalityPolicy',
    'Occupancy',
    'PlaceFlow',
    'Placement',
    'PlacementPolicy',
    'PlacementRequest',
    'PowerOfChoicesPolicy',
    'RefusalReason',
    'ZonesChanged',
    'rank_agents',
    'rank_near_agents_first',
)
