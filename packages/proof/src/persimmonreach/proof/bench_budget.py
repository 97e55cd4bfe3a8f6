"""Control overhead of a node at the stated size, from the other results."""

import json
from collections.abc import Iterable
from pathlib import Path
from typing import Any, Final, NamedTuple

from persimmonreach.proof.bench_base import KILOBYTE, Figure, Measurement, Report
from persimmonreach.proof.bench_inputs import AGENTS, ENTRIES

# Share of a core, MB and bytes per second that control may take at a node.
CORE_PERCENT: Final = 1
MEMORY_MB: Final = 32
TRAFFIC_BYTES: Final = 4 * KILOBYTE
_FAILURES_PER_DAY: Final = 28
_RESTARTS_PER_DAY: Final = 1300
# Draining, left, joining and active in turn, or accusations and death.
_ROWS_PER_RESTART: Final = 4
_REGISTRARS: Final = 3
_SECONDS_PER_DAY: Final = 86_400
_HOUR_S: Final = 3600
_LIST_CHANGES_PER_RESTART: Final = 2
_SHARE: Final = '% of the budget'
_TRAFFIC: Final = 'B/s'
# The idle process has no agents; ticks count twice, so this is an upper bound.
_ENTRY_PROCESSOR: Final = (
    'idle processor share of an entry process by agents',
    'processor share of heartbeats and gossip',
    'processor share of configuration',
)
_LIST_TIMES: Final = (
    'time to apply one change of the entry list',
    'time to end the handover of an entry list',
)
_ENTRY_SENT: Final = (
    'heartbeats and gossip sent by an entry instance',
    'configuration bytes sent by an entry instance',
)
_ENTRY_RECEIVED: Final = (
    'heartbeats and gossip received by an entry instance',
    'configuration bytes received by an entry instance',
)


class _Use(NamedTuple):
    role: str
    processor: float
    memory: float
    sent: float
    received: float


class MissingFigureError(LookupError):
    """A figure that the budget needs was not measured before."""


class _Known(dict[str, float]):
    def __missing__(self, name: str) -> float:
        raise MissingFigureError(f'no figure {name!r}: run all measurements first')


class Budget(Measurement):
    """Use of the control budget; needs the results of a whole run.

    Parameters
    ----------
    result
        File with the results of the other measurements.

    """

    def __init__(self, result: Path) -> None:
        self._result = result

    @property
    def name(self) -> str:
        """Name for ``--only``."""
        return 'budget'

    def run(self) -> Report:
        """Add up the values at the stated size.

        Raises
        ------
        MissingFigureError
            If a measurement that it needs has not run before.

        """
        known = _Known(_read(self._result))
        rows = known['bytes of one changed row to one peer']
        entry = _Use(
            'entry instance',
            sum(known[name] for name in _ENTRY_PROCESSOR),
            known['memory of an entry process by agents'],
            sum(known[name] for name in _ENTRY_SENT),
            sum(known[name] for name in _ENTRY_RECEIVED),
        )
        agent = _Use(
            'agent',
            known['idle processor share of an agent process by flows'],
            known['memory of an agent process by flows'],
            known['control bytes sent by an agent'],
            known['control bytes received by an agent'],
        )
        figures = (
            *_use(entry),
            *_use(agent),
            *_changes(rows, entry),
            *_rolling(known),
            *_unequal(known, entry),
        )
        return Report(figures)


def _read(path: Path) -> dict[str, float]:
    known: dict[str, float] = {}
    reports: dict[str, Any] = json.loads(path.read_text())
    for report in reports.values():
        for figure in report['figures']:
            known[figure['name']] = figure['amount']
        for slope in report['slopes']:
            known[slope['name']] = slope['at_design']
    return known


def _use(use: _Use) -> Iterable[Figure]:
    both = use.sent + use.received
    shares = (
        ('processor', use.processor / CORE_PERCENT),
        ('memory', use.memory / MEMORY_MB),
        ('bytes sent', use.sent / TRAFFIC_BYTES),
        ('bytes sent and received', both / TRAFFIC_BYTES),
    )
    yield Figure(f'control bytes sent, {use.role}', use.sent, _TRAFFIC)
    yield Figure(f'control bytes received, {use.role}', use.received, _TRAFFIC)
    for name, share in shares:
        yield Figure(f'{name}, {use.role}', share * 100, _SHARE)


def _changes(row_bytes: float, entry: _Use) -> Iterable[Figure]:
    # Each registrar sends a changed row to every other entry instance.
    per_change = 2 * _REGISTRARS * row_bytes
    restarts = (_FAILURES_PER_DAY + _RESTARTS_PER_DAY) / _SECONDS_PER_DAY
    daily = restarts * _ROWS_PER_RESTART * per_change
    free = TRAFFIC_BYTES - entry.sent - entry.received
    rolling = AGENTS * _ROWS_PER_RESTART * per_change
    yield Figure(
        'bytes of changed rows, mean of a day, sent and received', daily, _TRAFFIC
    )
    yield Figure(
        'bytes of rows, all agents restarted in an hour', rolling / _HOUR_S, _TRAFFIC
    )
    name = 'shortest restart of all agents within the bytes of the budget'
    yield Figure(name, rolling / free / _HOUR_S, 'hours')


def _unequal(known: dict[str, float], entry: _Use) -> Iterable[Figure]:
    """Return the bytes at the mean and at the most loaded entry instance."""
    own = sum(known[name] for name in (_ENTRY_SENT[0], _ENTRY_RECEIVED[0]))
    rest = entry.sent + entry.received - own
    each = own / known['agents that the driven entry instance serves']
    for who in ('mean of', 'most'):
        served = known[f'{who} agents that an entry instance serves']
        both = each * served + rest
        yield Figure(f'bytes with the {who} agents, sent and received', both, _TRAFFIC)
    most = known['most agents that an entry instance serves']
    share = most / known['agents that the driven entry instance serves']
    sent = known[_ENTRY_SENT[0]] * share + known[_ENTRY_SENT[1]]
    yield Figure('bytes with the most agents, sent alone', sent, _TRAFFIC)
    served = (TRAFFIC_BYTES - rest) / each
    yield Figure('agents that an entry instance may serve at 4 KB/s', served, 'agents')


def _rolling(known: dict[str, float]) -> Iterable[Figure]:
    once = sum(known[name] for name in _LIST_TIMES) / 1000
    total = once * ENTRIES * _LIST_CHANGES_PER_RESTART
    share = ENTRIES / (ENTRIES + AGENTS)
    restarts = (_FAILURES_PER_DAY + _RESTARTS_PER_DAY) * share
    daily = restarts * _LIST_CHANGES_PER_RESTART * once / _SECONDS_PER_DAY * 100
    yield Figure('entry instances restarted in a day', restarts, 'instances')
    yield Figure('processor of entry list changes, mean of a day', daily, '% of a core')
    yield Figure('processor time at each entry instance, all restarted', total, 's')
    name = 'shortest restart of all entry instances at 1% of a core'
    yield Figure(name, total * 100 / CORE_PERCENT / _HOUR_S, 'hours')
