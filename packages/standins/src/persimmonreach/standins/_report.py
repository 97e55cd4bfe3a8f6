"""Compares the figures of the demo with the requirements, and renders a report."""

from collections.abc import Mapping
from typing import Final, NamedTuple

from persimmonreach.standins._script import Figures

# Limits of the requirements R4, R10 and R12 of the design page.
ZONE_SILENT_WITHIN_S: Final = 5
IN_FORCE_WITHIN_S: Final = 12
MIN_ANSWERED_SHARE: Final = 0.95


class Requirement(NamedTuple):
    """A requirement on one figure, with the measured value.

    Attributes
    ----------
    figure
        Name of the figure in ``build/demo.json``.
    wording
        Wording of the requirement.
    measured
        Value of the figure.
    is_met
        Whether the value meets the requirement.

    """

    figure: str
    wording: str
    measured: float
    is_met: bool

    def __str__(self) -> str:
        """Return the wording with the measured value."""
        rounded = format(self.measured, '.4g')
        return f'{self.wording}; measured {rounded}'


ZERO_REQUIREMENTS: Final = (
    ('broken_flows_not_allowed', 'flows broken outside the zone taken out: 0'),
    ('requests_run_twice', 'non-idempotent requests run twice: 0'),
    ('requests_lost', 'requests without any reply: 0'),
    ('false_not_run', 'requests refused as "not run" that ran: 0'),
    ('wrong_answers', 'wrong or partial answers: 0'),
)
_FIGURE_LINE: Final = '  {}: {:.4g}'
_FIGURE_LABELS: Final = (
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


def check_requirements(figures: Figures) -> list[Requirement]:
    """Compare the figures of one deployment with the requirements."""
    measured: Mapping[str, object] = figures
    requirements = [
        Requirement(name, wording, float(str(measured[name])), not measured[name])
        for name, wording in ZERO_REQUIREMENTS
    ]
    last_packet_s = figures['seconds_to_last_packet_to_zone']
    in_force_s = figures['seconds_to_in_force']
    share = figures['lowest_answered_share']
    requirements.extend(
        (
            Requirement(
                'seconds_to_last_packet_to_zone',
                f'no packet to a zone taken out after {ZONE_SILENT_WITHIN_S} s',
                last_packet_s,
                last_packet_s <= ZONE_SILENT_WITHIN_S,
            ),
            Requirement(
                'seconds_to_in_force',
                f'declaration in force everywhere within {IN_FORCE_WITHIN_S} s',
                in_force_s,
                in_force_s <= IN_FORCE_WITHIN_S,
            ),
            Requirement(
                'lowest_answered_share',
                f'share answered in every second at least {MIN_ANSWERED_SHARE}',
                share,
                share >= MIN_ANSWERED_SHARE,
            ),
        ),
    )
    return requirements


def render_report(title: str, figures: Figures) -> str:
    """Return the report of one deployment as text."""
    counts = figures['outcomes'].items()
    outcomes = ', '.join(f'{number} {name}' for name, number in counts if number)
    lines = [
        title,
        f'  outcomes of requests: {outcomes}',
        *(_FIGURE_LINE.format(label, figures[name]) for name, label in _FIGURE_LABELS),
    ]
    lines.extend(
        _requirement_line(requirement) for requirement in check_requirements(figures)
    )
    return '\n'.join(lines)


def _requirement_line(requirement: Requirement) -> str:
    status = 'kept  ' if requirement.is_met else 'BROKEN'
    return f'  {status} {requirement}'
