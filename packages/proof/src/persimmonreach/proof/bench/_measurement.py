"""Measurements, and the groups in which they are taken."""

from abc import ABC, abstractmethod
from collections.abc import Iterator
from typing import NamedTuple

from persimmonreach.proof.bench._fit import LineFit, fit_line


class Measurement(NamedTuple):
    """Amount measured at several sizes.

    Attributes
    ----------
    name
        Name of the measured quantity.
    unit
        Unit of the amounts.
    size_name
        What the sizes count.
    sizes
        Measured sizes.
    amounts
        Amount at each size.
    design_size
        Size for which the system is designed; the amount is extrapolated to it.

    """

    name: str
    unit: str
    size_name: str
    sizes: tuple[int, ...]
    amounts: tuple[float, ...]
    design_size: int

    @property
    def fit(self) -> LineFit:
        """Least-squares line through the measured points."""
        return fit_line(self.sizes, self.amounts)


class MeasurementGroup(ABC):
    """Measurements that are taken together."""

    name: str

    @abstractmethod
    def measure(self) -> Iterator[Measurement]:
        """Yield the measurements of the group."""
