"""Promises of the design page against the figures of the demo, and the report."""

from collections.abc import Mapping
from typing import Final, NamedTuple

from persimmonreach.standins._script import Figures

# R4, R10 and R12 of the design page.
ZONE_SILENT_WITHIN_S: Final = 5
IN_FORCE_WITHIN_S: Final = 12
LEAST_ANSWERED_SHARE: Final = 0.95


class Promise(NamedTuple):
    """One promise and whether it was kept.

    Attributes
    ----------
    figure
        Name of the figure in ``build/demo.json``.
    wording
        What was promised.
    measured
        Value of the figure.
    kept
        Whether the value is within the promise.

    """

    figure: str
    wording: str
    measured: float
    kept: bool

    def __str__(self) -> str:
        """Return the wording with the measured value."""
        shown = format(self.measured, '.4g')
        return f'{self.wording}; measured {shown}'


NONE_ALLOWED: Final = (
    ('broken_flows_not_allowed', 'flows broken outside the zone taken out: 0'),
    ('requests_run_twice', 'non-idempotent requests run twice: 0'),
    ('requests_lost', 'requests without any reply: 0'),
    ('false_not_run', 'requests refused as "not run" that ran: 0'),
    ('wrong_answers', 'wrong or partial answers: 0'),
)
_LINE: Final = '  {}: {:.4g}'
_LABELS: Final = (
    ('duration_s', 'duration in seconds'),
    ('requests_sent', 'requests sent'),
    ('flows_opened', 'flows opened'),
    ('requests_cut_with_zone', 'requests cut with flows of the zone taken out'),
    ('flows_refused', 'flows refused at their first packet'),
    ('flows_unopened', 'flows without answer to their first packet'),
    ('flows_on_two_servers', 'flows admitted by two backend servers'),
    ('broken_flows_allowed', 'flows broken in the zone taken out'),
    ('imbalance', 'imbalance of long flows (maximum over mean)'),
    ('overloads', 'overloads of backend servers'),
    (
        'seconds_to_last_new_flow_while_draining',
        'seconds to the last new flow on the draining backend server',
    ),
)


def check_promises(figures: Figures) -> list[Promise]:
    """Compare the figures of one deployment with the promises."""
    measured: Mapping[str, object] = figures
    promises = [
        Promise(name, wording, float(str(measured[name])), not measured[name])
        for name, wording in NONE_ALLOWED
    ]
    silent_s = figures['seconds_to_last_packet_to_zone']
    in_force_s = figures['seconds_to_in_force']
    share = figures['lowest_answered_share']
    promises.extend(
        (
            Promise(
                'seconds_to_last_packet_to_zone',
                f'no packet to a zone taken out after {ZONE_SILENT_WITHIN_S} s',
                silent_s,
                silent_s <= ZONE_SILENT_WITHIN_S,
            ),
            Promise(
                'seconds_to_in_force',
                f'declaration in force everywhere within {IN_FORCE_WITHIN_S} s',
                in_force_s,
                in_force_s <= IN_FORCE_WITHIN_S,
            ),
            Promise(
                'lowest_answered_share',
                f'share answered in every second at least {LEAST_ANSWERED_SHARE}',
                share,
                share >= LEAST_ANSWERED_SHARE,
            ),
        ),
    )
    return promises


def render_report(title: str, figures: Figures) -> str:
    """Return the report of one deployment as text."""
    counts = figures['outcomes'].items()
    outcomes = ', '.join(f'{number} {name}' for name, number in counts if number)
    lines = [
        title,
        f'  outcomes of requests: {outcomes}',
        *(_LINE.format(label, figures[name]) for name, label in _LABELS),
    ]
    lines.extend(_promise_line(promise) for promise in check_promises(figures))
    return '\n'.join(lines)


def _promise_line(promise: Promise) -> str:
    verdict = 'kept  ' if promise.kept else 'BROKEN'
    return f'  {verdict} {promise}'
