"""Printed table and JSON file of the reports."""

from collections.abc import Iterable
from typing import Any, Final

from persimmonreach.proof.bench_base import Report, Slope

_LINE: Final = '{0:<66} {1:>12.6g} {2}'
_NOISE: Final = '  (worst/best {0:.2f})'
_POINT: Final = '{0:g}: {1:.4g}'
_SIZE: Final = '    at {0:g} {1}; measured {2}'
_FIT: Final = '    fit {0:.4g} + {1:.4g} x size, R2 {2:.4f}'


def render_report(name: str, report: Report) -> Iterable[str]:
    """Return the lines that show a report."""
    yield f'== {name}'
    for figure in report.figures:
        line = _LINE.format(figure.name, figure.amount, figure.unit)
        noise = _NOISE.format(figure.noise) if figure.noise else ''
        yield line + noise
    for slope in report.slopes:
        yield from _render_slope(slope)


def _render_slope(slope: Slope) -> Iterable[str]:
    points = ', '.join(
        _POINT.format(size, amount)
        for size, amount in zip(slope.sizes, slope.amounts, strict=True)
    )
    fit = slope.fit
    yield _LINE.format(slope.name, slope.at_design, slope.unit)
    yield _SIZE.format(slope.design_size, slope.size_unit, points)
    yield _FIT.format(*fit)


def as_object(report: Report) -> dict[str, Any]:
    """Return a report as JSON values."""
    return {
        'figures': [figure._asdict() for figure in report.figures],
        'slopes': [
            {**slope._asdict(), 'fit': slope.fit._asdict(), 'at_design': slope.at_design}
            for slope in report.slopes
        ],
    }
