"""Least-squares fit of a straight line."""

from collections.abc import Sequence
from typing import Final, NamedTuple

import numpy as np

SMALLEST_POINTS: Final = 3


class Fit(NamedTuple):
    """Straight line through measured points.

    Attributes
    ----------
    intercept
        Value at size 0.
    slope
        Rise per unit of size.
    r_squared
        Share of the variance that the line explains, from 0 to 1.

    """

    intercept: float
    slope: float
    r_squared: float

    def at(self, size: float) -> float:
        """Return the value of the line at ``size``."""
        return self.intercept + self.slope * size


def fit_line(sizes: Sequence[float], amounts: Sequence[float]) -> Fit:
    """Return the least-squares line through the points.

    Raises
    ------
    ValueError
        If there are fewer than three points or the sizes are all equal.

    """
    if len(sizes) < SMALLEST_POINTS or len(sizes) != len(amounts):
        raise ValueError('a fit needs three or more points')
    if len(set(sizes)) == 1:
        raise ValueError('a fit needs different sizes')
    x_axis, y_axis = np.array(sizes, float), np.array(amounts, float)
    slope, intercept = np.polyfit(x_axis, y_axis, 1)
    residual = float(np.sum((y_axis - intercept - slope * x_axis) ** 2))
    total = float(np.sum((y_axis - y_axis.mean()) ** 2))
    r_squared = 1 - residual / total if total else 1.0
    return Fit(float(intercept), float(slope), r_squared)
