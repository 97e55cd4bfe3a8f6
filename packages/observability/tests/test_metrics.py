"""Guards against alerts on metrics that are lost, counted twice or never incremented."""

import re
from collections.abc import Mapping
from itertools import chain
from pathlib import Path

import pytest

from persimmonreach.observability import (
    AGENT_METRICS,
    ENTRY_METRICS,
    Counters,
    MetricSource,
    list_counter_names,
)
from persimmonreach.placement import RefusalReason

PACKAGES = Path(__file__).parents[2]
REQUIREMENTS = {f'R{number}' for number in range(1, 17)}
# Suffixes by prefix of the counter names that the code composes from a refusal reason.
COMPOSED_NAMES = {
    f'{subject}_refused_': tuple(reason.name.lower() for reason in RefusalReason)
    for subject in ('flows', 'offers')
}


class ConstantMetricSource(MetricSource):
    """Metric source with one counter and the given gauges."""

    def __init__(self, **gauges: float) -> None:
        self._gauges = gauges

    def counters(self) -> Mapping[str, int]:
        return {'packets_malformed': 2}

    def gauges(self) -> Mapping[str, float]:
        return self._gauges


def test_counters_with_the_same_name_are_added_up() -> None:
    """Guards against counters of several sources that replace each other."""
    counters = Counters(('packets_malformed', 'probes_sent'))
    counters.register(ConstantMetricSource(flows=3))
    counters.register(ConstantMetricSource())
    counters.add('packets_malformed')
    assert counters.snapshot() == {'packets_malformed': 5, 'probes_sent': 0, 'flows': 3}
    lines = counters.render('')[0].decode().splitlines()
    assert 'persimmonreach_packets_malformed 5' in lines
    assert 'persimmonreach_probes_sent 0' in lines


def test_each_requirement_has_a_metric() -> None:
    """Guards against a requirement that can be violated without an alert."""
    all_metrics = (*AGENT_METRICS, *ENTRY_METRICS)
    assert {metrics.requirement for metrics in all_metrics} == REQUIREMENTS
    assert all(metrics.counters or metrics.gauges for metrics in all_metrics)


@pytest.mark.parametrize('role_metrics', [AGENT_METRICS, ENTRY_METRICS])
def test_each_listed_counter_is_named_in_another_module(role_metrics: tuple) -> None:
    """Guards against an alert on a counter that stays at 0 because no code uses it."""
    sources = (
        path.read_text()
        for path in PACKAGES.glob('*/src/**/*.py')
        if path.name != '_requirement_metrics.py'
    )
    literals = set(chain(*(re.findall("'([a-z_]+)'", source) for source in sources)))
    composed = {
        prefix + suffix
        for prefix, suffixes in COMPOSED_NAMES.items()
        for suffix in suffixes
    }
    for name in list_counter_names(role_metrics):
        assert name in literals | composed


def test_two_gauges_with_one_name_do_not_fail_the_scrape() -> None:
    counters = Counters(())
    counters.register(ConstantMetricSource(flows=3))
    counters.register(ConstantMetricSource(flows=5))
    content = counters.render('text/plain')[0].decode()
    assert re.search(r'flows 5', content)
