"""Benchmarks of the state machines, extrapolated to the design size."""

from persimmonreach.proof.bench._fit import LineFit, fit_line
from persimmonreach.proof.bench._groups import GROUPS
from persimmonreach.proof.bench._measurement import Measurement, MeasurementGroup

__all__ = (
    'GROUPS',
    'LineFit',
    'Measurement',
    'MeasurementGroup',
    'fit_line',
)
