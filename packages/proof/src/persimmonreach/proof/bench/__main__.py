"""Prints the measurements: ``python -m persimmonreach.proof.bench``."""

import argparse
import json
import sys
from pathlib import Path
from typing import Final

from persimmonreach.proof.bench._groups import GROUPS, Slope

REPORT: Final = Path('build/bench.json')
_LINE: Final = '{0:<34} {1:>10.4g} {2} at {3} {4}; '
_POINT: Final = '{0}: {1:.4g}'
_FIT: Final = 'measured {0}; R2 {1:.3f}\n'


def main() -> int:
    """Measure all groups, or one of them."""
    parser = argparse.ArgumentParser(description='Measure the decisions.')
    parser.add_argument('--only', choices=[group.name for group in GROUPS])
    only = parser.parse_args().only
    report = {}
    for group in GROUPS:
        if only in {None, group.name}:
            slopes = tuple(group.measure())
            sys.stdout.write(''.join(_render(slope) for slope in slopes))
            report[group.name] = [figure._asdict() for figure in slopes]
    REPORT.parent.mkdir(exist_ok=True)
    REPORT.write_text(json.dumps(report, indent=1), encoding='utf-8')
    return 0


def _render(slope: Slope) -> str:
    points = zip(slope.sizes, slope.amounts, strict=True)
    measured = ', '.join(_POINT.format(*point) for point in points)
    line = _LINE.format(
        slope.name,
        slope.fit.at(slope.design_size),
        slope.unit,
        slope.design_size,
        slope.size_name,
    )
    return line + _FIT.format(measured, slope.fit.r_squared)


if __name__ == '__main__':
    sys.exit(main())
