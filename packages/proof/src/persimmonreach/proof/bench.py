"""Benchmarks: ``python -m persimmonreach.proof.bench [--only NAME]``.

Prints a table, writes ``build/bench.json`` and a plot of each slope into
``docs/plots``.
"""

import argparse
import json
import sys
from pathlib import Path
from typing import Any, Final

from persimmonreach.proof.bench_agent import AgentFlows
from persimmonreach.proof.bench_agent_traffic import AgentTraffic
from persimmonreach.proof.bench_bad_days import LostAgents, Outages
from persimmonreach.proof.bench_base import Measurement, Report
from persimmonreach.proof.bench_budget import Budget
from persimmonreach.proof.bench_configuration import NewNode, Publishing
from persimmonreach.proof.bench_configuration_traffic import ConfigurationTraffic
from persimmonreach.proof.bench_entry import EntryTable
from persimmonreach.proof.bench_membership import EntryMembershipLoad
from persimmonreach.proof.bench_packets import PacketPath
from persimmonreach.proof.bench_plot import plot_slope
from persimmonreach.proof.bench_policies import BrokenFlows, Imbalance
from persimmonreach.proof.bench_processes import FullEntry, IdleAgent
from persimmonreach.proof.bench_profile import PacketProfile
from persimmonreach.proof.bench_retries import RetryAmplification
from persimmonreach.proof.bench_slow_start import ColdPeak
from persimmonreach.proof.bench_table import as_object, render_report

_RESULT: Final = Path('build/bench.json')
_PLOTS: Final = Path('docs/plots')
MEASUREMENTS: Final[tuple[Measurement, ...]] = (
    EntryTable(),
    EntryMembershipLoad(),
    ConfigurationTraffic(),
    Publishing(),
    NewNode(),
    AgentFlows(),
    AgentTraffic(),
    BrokenFlows(),
    Imbalance(),
    ColdPeak(),
    RetryAmplification(),
    LostAgents(),
    Outages(),
    PacketPath(),
    PacketProfile(),
    IdleAgent(),
    FullEntry(),
    Budget(_RESULT),
)


def main() -> int:
    """Run the measurements and write the results."""
    parser = argparse.ArgumentParser(description='Run the benchmarks.')
    names = [measurement.name for measurement in MEASUREMENTS]
    parser.add_argument('--only', choices=names)
    only = parser.parse_args().only
    reports: dict[str, Any] = json.loads(_RESULT.read_text()) if _RESULT.exists() else {}
    for measurement in MEASUREMENTS:
        if only in {None, measurement.name}:
            reports[measurement.name] = as_object(_run(measurement))
            _write(reports)
    return 0


def _write(reports: dict[str, Any]) -> None:
    # Each result is written at once, so that a run that is cut short keeps it.
    _RESULT.parent.mkdir(exist_ok=True)
    _RESULT.write_text(json.dumps(reports, indent=1))


def _run(measurement: Measurement) -> Report:
    report = measurement.run()
    for line in render_report(measurement.name, report):
        sys.stdout.write(f'{line}\n')
    sys.stdout.flush()
    _PLOTS.mkdir(parents=True, exist_ok=True)
    for slope in report.slopes:
        plot_slope(slope, _PLOTS)
    return report


if __name__ == '__main__':
    sys.exit(main())
