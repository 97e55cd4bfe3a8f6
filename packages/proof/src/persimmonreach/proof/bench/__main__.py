"""Runs the benchmarks: ``python -m persimmonreach.proof.bench``."""

import argparse
import json
import sys
from pathlib import Path
from typing import Final

from persimmonreach.proof.bench._groups import GROUPS
from persimmonreach.proof.bench._measurement import Measurement

REPORT_PATH: Final = Path('build/bench.json')
_LINE_FORMAT: Final = '{0:<34} {1:>10.4g} {2} at {3} {4}; '
_POINT_FORMAT: Final = '{0}: {1:.4g}'
_FIT_FORMAT: Final = 'measured {0}; R2 {1:.3f}\n'


def main() -> int:
    """Run all groups of measurements, or the one given by ``--only``.

    Prints each measurement and writes all of them to :data:`REPORT_PATH`.
    """
    parser = argparse.ArgumentParser(description='Run the benchmarks.')
    parser.add_argument('--only', choices=[group.name for group in GROUPS])
    only = parser.parse_args().only
    report = {}
    for group in GROUPS:
        if only in {None, group.name}:
            measurements = tuple(group.measure())
            sys.stdout.write(
                ''.join(_render(measurement) for measurement in measurements)
            )
            report[group.name] = [measurement._asdict() for measurement in measurements]
    REPORT_PATH.parent.mkdir(exist_ok=True)
    REPORT_PATH.write_text(json.dumps(report, indent=1), encoding='utf-8')
    return 0


def _render(measurement: Measurement) -> str:
    points = zip(measurement.sizes, measurement.amounts, strict=True)
    formatted_points = ', '.join(_POINT_FORMAT.format(*point) for point in points)
    text = _LINE_FORMAT.format(
        measurement.name,
        measurement.fit.predict(measurement.design_size),
        measurement.unit,
        measurement.design_size,
        measurement.size_name,
    )
    return text + _FIT_FORMAT.format(formatted_points, measurement.fit.r_squared)


if __name__ == '__main__':
    sys.exit(main())
