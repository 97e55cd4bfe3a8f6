"""Measurements of the decisions, extrapolated to the size to design for."""

from persimmonreach.proof.bench._fit import Fit, fit_line
from persimmonreach.proof.bench._groups import GROUPS, MeasurementGroup, Slope

__all__ = ('GROUPS', 'Fit', 'MeasurementGroup', 'Slope', 'fit_line')
