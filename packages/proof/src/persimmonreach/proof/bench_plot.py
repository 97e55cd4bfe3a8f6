"""Plots of slopes."""

import re
from pathlib import Path
from typing import Any, Final

from matplotlib.figure import Figure as Plot

from persimmonreach.proof.bench_base import Slope

_INCHES: Final = (4, 2.6)
# Small files: the pages are kept in the repository.
_DOTS_PER_INCH: Final = 80


def plot_slope(slope: Slope, directory: Path) -> Path:
    """Write a plot of the points, the line and the size to design for."""
    plot = Plot(figsize=_INCHES, dpi=_DOTS_PER_INCH, layout='constrained')
    axes: Any = plot.subplots()
    ends = (0, max(slope.design_size, *slope.sizes))
    axes.plot(ends, [slope.fit.at(end) for end in ends], label='fit')
    axes.plot(slope.sizes, slope.amounts, 'o', label='measured')
    axes.plot([slope.design_size], [slope.at_design], 'x', label='size to design for')
    axes.set_title(slope.name, fontsize='small')
    axes.set_xlabel(slope.size_unit)
    axes.set_ylabel(slope.unit)
    axes.legend(fontsize='x-small')
    name = re.sub('[^a-z0-9]+', '-', slope.name.lower()).strip('-')
    path = directory / f'{name}.png'
    plot.savefig(path)
    return path
