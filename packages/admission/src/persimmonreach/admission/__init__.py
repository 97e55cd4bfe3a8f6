"""Slow start limit and choice of backend server for a new flow."""

from persimmonreach.admission._events import (
    AdmitLocal,
    AttemptResult,
    BackendReported,
    BackendState,
    ConcurrencyLimit,
    LocalFlowCount,
    PlacementSettled,
    PlaceNew,
)

__all__ = (
    'AdmitLocal',
    'AttemptResult',
    'BackendReported',
    'BackendState',
    'ConcurrencyLimit',
    'LocalFlowCount',
    'PlaceNew',
    'PlacementSettled',
)
