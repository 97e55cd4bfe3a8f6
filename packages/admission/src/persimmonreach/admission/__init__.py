"""Slow start limit and choice of backend server for a new flow."""

from persimmonreach.admission._events import (
    AdmitLocal,
    AttemptResult,
    BackendReported,
    BackendState,
    ConcurrencyLimit,
    FlowsAdopted,
    LocalFlowCount,
    PlacedFlowEnded,
    PlacementSettled,
    PlaceNew,
)
from persimmonreach.admission._limit import LimitSettings, SlowStartLimit
from persimmonreach.admission._pending import PlacementSettings
from persimmonreach.admission._placement import Placement
from persimmonreach.admission._policy import (
    Candidate,
    PlacementPolicy,
    RandomChoice,
    TwoChoices,
)
from persimmonreach.admission.messages import (
    LoadReport,
    PlaceAnswer,
    PlaceFlow,
    Verdict,
)

__all__ = (
    'AdmitLocal',
    'AttemptResult',
    'BackendReported',
    'BackendState',
    'Candidate',
    'ConcurrencyLimit',
    'FlowsAdopted',
    'LimitSettings',
    'LoadReport',
    'LocalFlowCount',
    'PlaceAnswer',
    'PlaceFlow',
    'PlaceNew',
    'Placement',
    'PlacedFlowEnded',
    'PlacementPolicy',
    'PlacementSettings',
    'PlacementSettled',
    'RandomChoice',
    'SlowStartLimit',
    'TwoChoices',
    'Verdict',
)
