"""Predicted effect of taking an availability zone out of service."""

from collections.abc import Iterable, Sequence
from typing import NamedTuple

from persimmonreach.cli._merged_status import MergedStatus
from persimmonreach.control import AgentSummary


class ServiceEffect(NamedTuple):
    """Effect of taking an availability zone out of service on one service.

    Attributes
    ----------
    service
        Name of the service.
    leaving
        Number of backend servers in the zone.
    flows_ending
        Number of flows of these backend servers; their callers have to open new
        flows to the remaining backend servers.
    remaining
        Number of backend servers that accept new flows afterwards.
    room
        Number of further flows that the remaining backend servers can accept.
    without_figures
        Number of backend servers for which no reply contains a report.

    """

    service: str
    leaving: int
    flows_ending: int
    remaining: int
    room: int
    without_figures: int


def find_effects(merged: MergedStatus, zone: str) -> tuple[ServiceEffect, ...]:
    """Predict the effect on each service that has backend servers in ``zone``."""
    summaries_by_service: dict[str, list[AgentSummary]] = {}
    for summary in merged.present_members:
        summaries_by_service.setdefault(summary.service, []).append(summary)
    zones_out = merged.zones_out | {zone}
    return tuple(
        _find_service_effect(service, summaries, zone, zones_out)
        for service, summaries in summaries_by_service.items()
        if zone in {member.zone for member in summaries}
    )


def format_effects(effects: Iterable[ServiceEffect]) -> tuple[str, ...]:
    """Return one line of text for each effect."""
    return tuple(map(_format_effect, effects))


def _format_effect(effect: ServiceEffect) -> str:
    line = (
        f'{effect.service}: flows that end: {effect.flows_ending}; backend servers '
        f'that leave service: {effect.leaving}, that remain: {effect.remaining}, '
        f'with room for more flows: {effect.room}'
    )
    if effect.without_figures:
        return f'{line}; backend servers without figures: {effect.without_figures}'
    return line


def _find_service_effect(
    service: str,
    summaries: Sequence[AgentSummary],
    zone: str,
    zones_out: frozenset[str],
) -> ServiceEffect:
    leaving = [summary for summary in summaries if summary.zone == zone]
    remaining = [
        summary
        for summary in summaries
        if summary.zone not in zones_out and summary.state == 'active'
    ]
    return ServiceEffect(
        service,
        len(leaving),
        sum(summary.report.flows for summary in leaving if summary.report),
        len(remaining),
        sum(
            max(summary.report.flow_limit - summary.report.flows, 0)
            for summary in remaining
            if summary.report
        ),
        sum(1 for summary in (*leaving, *remaining) if summary.report is None),
    )
