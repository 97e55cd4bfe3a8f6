"""Figures that show whether the requirements of the design page are met.

This is the one place that names them. Each is published from the start, with
0 until it is first counted, so that an alert on its rise never lacks a value.
The names are those on ``/metrics`` without the common prefix.
"""

from collections.abc import Iterable
from typing import Final, NamedTuple


class Promise(NamedTuple):
    """Figures of one requirement at one role.

    Attributes
    ----------
    requirement
        Number of the requirement in section 2 of the design page.
    alert
        When an operator should be told.
    counters
        Figures that only rise.
    gauges
        Present values.

    """

    requirement: str
    alert: str
    counters: tuple[str, ...] = ()
    gauges: tuple[str, ...] = ()


AGENT_PROMISES: Final = (
    Promise(
        'R1',
        'any rise, unless a drain deadline is declared',
        ('flows_ended_conflict', 'flows_ended_drain_deadline', 'lookups_missing'),
        ('flows',),
    ),
    Promise(
        'R2',
        'a rise shows an address in reuse; such packets were dropped',
        (
            'packets_wrong_service',
            'placements_of_other_service',
            'attempts_of_other_service',
        ),
    ),
    Promise(
        'R3',
        'requests_running above request_limit for longer than a change of the limit',
        (),
        ('requests_running', 'request_limit', 'flow_limit'),
    ),
    Promise(
        'R4',
        'packets_zone_out rises 5 s after the zone was taken out',
        ('packets_zone_out', 'flows_ended_zone_out'),
        ('zone_in_service',),
    ),
    Promise(
        'R5',
        'a rise shows answers that were late or of other attempts; they were dropped',
        ('answers_dropped', 'answers_inconsistent', 'outcomes_dropped'),
    ),
    Promise(
        'R6',
        'refusals out of proportion to the load',
        ('requests_not_run', 'refusals_dropped', 'frames_malformed'),
    ),
    Promise(
        'R7',
        'requests_unknown rises without a loss of a backend server or an agent',
        (
            'requests_unknown',
            'requests_repeated',
            'attempts_of_other_incarnation',
            'messages_repeated',
            'messages_out_of_window',
            'replay_tags_displaced',
        ),
    ),
    Promise(
        'R8',
        'placements_draining rises 5 s after draining has become 1',
        ('placements_draining',),
        ('draining',),
    ),
    Promise(
        'R9',
        'requests_running above 0 at the last scrape before a planned stop',
        (),
        ('requests_running', 'draining'),
    ),
    Promise(
        'R10',
        'configuration_version differs between nodes for 12 s, or falls',
        ('configuration_older_versions_refused',),
        ('configuration_version', 'configuration_age_seconds'),
    ),
    Promise('R11', 'maximum over mean of flows above 1.05', (), ('flows',)),
    Promise(
        'R12',
        'share of requests_answered below 95%',
        ('requests_answered', 'requests_not_run', 'requests_unknown', 'packets_overload'),
        ('ready',),
    ),
    Promise(
        'R13',
        'flows_ended_silent rises together at many agents',
        ('probes_sent', 'flows_ended_silent'),
    ),
    Promise(
        'R14',
        'any rise: a process with other keys or another version is running',
        ('messages_malformed', 'messages_unauthenticated'),
    ),
    Promise(
        'R15',
        'requests_not_run rises with configuration_age_seconds',
        ('requests_not_run',),
        ('configuration_age_seconds',),
    ),
    Promise(
        'R16',
        'sum of buckets_owned over a service below 64 for 10 s',
        ('packets_dropped_no_owner', 'first_packets_dropped', 'tokens_regenerated'),
        ('buckets_owned',),
    ),
)
ENTRY_PROMISES: Final = (
    Promise(
        'R2',
        'a rise shows packets to an address that no service has',
        ('packets_unknown_service',),
    ),
    Promise(
        'R4',
        'ready stays 1 for 5 s while zone_in_service is 0',
        (),
        ('zone_in_service', 'ready'),
    ),
    Promise(
        'R7',
        'messages_out_of_window rises: clocks differ, or old messages are sent again',
        ('messages_repeated', 'messages_out_of_window', 'replay_tags_displaced'),
    ),
    Promise(
        'R10',
        'configuration_version differs between nodes for 12 s, or falls',
        ('configuration_older_versions_refused', 'configuration_digest_mismatches'),
        ('configuration_version', 'configuration_age_seconds'),
    ),
    Promise(
        'R12',
        'packets_without_member rises, or no entry instance of a zone is ready',
        ('packets_forwarded', 'packets_without_member'),
        ('ready', 'members'),
    ),
    Promise(
        'R14',
        'any rise: a process with other keys or another version is running',
        ('messages_malformed', 'messages_unauthenticated', 'packets_malformed'),
    ),
    Promise(
        'R15',
        'packets_without_member rises with configuration_store_failures',
        ('configuration_store_failures',),
        ('configuration_age_seconds',),
    ),
    Promise('R16', 'packets_without_member rises for 10 s', ('packets_without_member',)),
)


def promised_counters(promises: Iterable[Promise]) -> tuple[str, ...]:
    """Return the names of all counters, each once."""
    names = (name for promise in promises for name in promise.counters)
    return tuple(dict.fromkeys(names))
