"""Metrics that show whether the requirements of the design page are met.

This module is the only list of them. They are published from the start, counters with
0 until the first increment, so that an alert on an increase always has an earlier value
to compare with. Names are those on ``/metrics`` without the common prefix.
"""

from collections.abc import Iterable
from typing import Final, NamedTuple


class RequirementMetrics(NamedTuple):
    """Metrics for one requirement in processes of one role.

    Attributes
    ----------
    requirement
        Number of the requirement in section 2 of the design page.
    alert
        Condition under which an operator should be notified.
    counters
        Names of the counters.
    gauges
        Names of the gauges.

    """

    requirement: str
    alert: str
    counters: tuple[str, ...] = ()
    gauges: tuple[str, ...] = ()


AGENT_METRICS: Final = (
    RequirementMetrics(
        'R1',
        'a rise without a loss of the backend server',
        ('flows_lost_with_backend', 'flows_adopted'),
        ('flows',),
    ),
    RequirementMetrics(
        'R2',
        'a rise shows a reused address; the flow was refused',
        ('flows_refused_other_service',),
    ),
    RequirementMetrics(
        'R3',
        'flows_refused_cold rises longer than a backend server takes to warm up',
        ('flows_refused_cold', 'flows_refused_full'),
        ('flows', 'flows_busy'),
    ),
    RequirementMetrics(
        'R4',
        'zone_in_service is 0 and flows rises',
        ('flows_refused_zone_out',),
        ('zone_in_service',),
    ),
    RequirementMetrics(
        'R5',
        'packets_bounced rises without a restart of a process',
        ('packets_bounced', 'packets_malformed'),
    ),
    RequirementMetrics(
        'R7',
        'packets_offered rises long after a start: other agents lost their flows',
        ('packets_offered', 'first_packets_late'),
    ),
    RequirementMetrics(
        'R8',
        'flows still rises 5 s after draining became 1',
        ('flows_refused_draining',),
        ('draining',),
    ),
    RequirementMetrics(
        'R9',
        'flows_busy above 0 at the last scrape before a planned stop',
        (),
        ('flows_busy', 'draining'),
    ),
    RequirementMetrics(
        'R10',
        'configuration_version differs between nodes for 12 s, or falls',
        (),
        ('configuration_version',),
    ),
    RequirementMetrics(
        'R11',
        'maximum of flows is above 1.05 times the mean',
        (),
        ('flows',),
    ),
    RequirementMetrics(
        'R12',
        'flows_refused_down rises while ready is 1',
        ('flows_refused_down',),
        ('ready',),
    ),
    RequirementMetrics(
        'R13',
        'flows_ended_silent rises together at many agents',
        ('probes_sent', 'flows_ended_silent'),
    ),
    RequirementMetrics(
        'R14',
        'any rise: a process with other keys or another version is running',
        ('messages_malformed', 'messages_unauthenticated', 'reports_malformed'),
    ),
    RequirementMetrics(
        'R15',
        'a rise with no rise of requests at the store',
        ('registration_failures',),
    ),
)
ENTRY_METRICS: Final = (
    RequirementMetrics(
        'R1',
        'any rise in a planned change: an established flow was reset',
        ('searches_missing', 'searches_found', 'searches_unfinished'),
        ('flows_known',),
    ),
    RequirementMetrics(
        'R2',
        'a rise shows packets to an address that no service has',
        ('packets_without_route',),
    ),
    RequirementMetrics(
        'R4',
        'zones_out_of_service differs between entry instances for 5 s',
        (),
        ('zones_out_of_service',),
    ),
    RequirementMetrics(
        'R6',
        'a rise while an agent of the service is ready and not full',
        ('flows_rejected', 'flows_not_placed'),
        ('agents_known',),
    ),
    RequirementMetrics(
        'R7',
        'packets_returned rises without a restart of an agent',
        ('packets_returned', 'first_packets_repeated', 'acceptances_late'),
    ),
    RequirementMetrics(
        'R8',
        'offers_refused_draining still rises 5 s after the start of draining',
        ('offers_refused_draining', 'offers_refused_zone_out'),
    ),
    RequirementMetrics(
        'R10',
        'configuration_version differs between nodes for 12 s, or falls',
        ('rules_older_versions_refused', 'rules_history_lost'),
        ('configuration_version',),
    ),
    RequirementMetrics(
        'R12',
        'flows_placed does not rise while offers_unanswered rises',
        ('flows_placed', 'offers_unanswered', 'offers_refused_full'),
        ('ready', 'agents_known'),
    ),
    RequirementMetrics(
        'R14',
        'any rise: a process with other keys or another version is running',
        ('messages_malformed', 'messages_unauthenticated', 'registrations_malformed'),
    ),
    RequirementMetrics(
        'R15',
        'flows_rejected rises with rules_store_failures',
        ('rules_store_failures', 'rules_stale_answers', 'registration_failures'),
    ),
    RequirementMetrics(
        'R16',
        'offers_unanswered rises for longer than 10 s',
        ('offers_unanswered', 'offers_refused_down'),
    ),
)


def list_counter_names(role_metrics: Iterable[RequirementMetrics]) -> tuple[str, ...]:
    """Return the names of all counters without duplicates."""
    names = (name for metrics in role_metrics for name in metrics.counters)
    return tuple(dict.fromkeys(names))
