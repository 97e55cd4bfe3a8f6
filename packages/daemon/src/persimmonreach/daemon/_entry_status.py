"""What an entry instance reports of itself."""

import math
from typing import Any, NamedTuple

from persimmonreach.configuration import EntryConfiguration, OverrideSet
from persimmonreach.control import (
    EntryStatus,
    ExplainReply,
    ExplainRequest,
    MemberReport,
    MemberStatus,
    StatusReply,
    ZoneReply,
    ZoneRequest,
)
from persimmonreach.control.adapters import OperatorService
from persimmonreach.core import AgentId, Clock, Endpoint, Zone
from persimmonreach.daemon._settings import EntrySettings
from persimmonreach.membership import EntryMembership
from persimmonreach.observability.tasks import StatusSource
from persimmonreach.packets.builder import FlowEnds, flow_key
from persimmonreach.routing import EntryRouter, RouteExplanation
from persimmonreach.runtime import Task


class EntryState(NamedTuple):
    """Decisions of an entry instance, to read their state."""

    settings: EntrySettings
    clock: Clock
    router: EntryRouter
    configuration: EntryConfiguration
    membership: EntryMembership


class EntryStatusSource(StatusSource):
    """Readiness and status of an entry instance.

    Parameters
    ----------
    state
        Decisions to read.

    """

    def __init__(self, state: EntryState) -> None:
        self._state = state
        self._withdrawn = False

    def withdraw(self) -> None:
        """Report from now on that the instance takes no packets."""
        self._withdrawn = True

    def is_ready(self) -> bool:
        """Return whether the fabric should hand packets to the instance."""
        router = self._state.router
        return (
            not self._withdrawn
            and router.is_zone_in_service
            and router.configuration.version > 0
            and self._state.membership.synced
        )

    def status(self) -> dict[str, Any]:
        """Return the state of the instance as JSON values."""
        configuration = self._state.router.configuration
        return {
            'instance': self._state.settings.instance,
            'role': 'entry',
            'zone': self._state.settings.zone,
            'ready': self.is_ready(),
            'configuration_version': configuration.version,
            'configuration_age_s': self.age(),
            'zones_out': sorted(configuration.zones_out),
            'members': [_fields(row) for row in member_rows(self._state)],
        }

    def age(self) -> float | None:
        """Return the seconds since the version was confirmed, if it was.

        JSON has no infinity, which the decisions use for "never".
        """
        age = self._state.configuration.age(self._state.clock.now())
        return None if math.isinf(age) else round(age, 1)


class EntryOperatorService(OperatorService):
    """Answers operators' calls at an entry instance.

    Parameters
    ----------
    state
        Decisions to read.
    status
        Readiness and status of the instance.
    configuration_task
        Task that takes zone overrides.

    """

    def __init__(
        self,
        state: EntryState,
        status: EntryStatusSource,
        configuration_task: Task,
    ) -> None:
        self._state = state
        self._status = status
        self._task = configuration_task

    def call(self, request: Any) -> Any:
        """Return the reply to ``request``."""
        match request:
            case ExplainRequest():
                return self._explain(request)
            case ZoneRequest():
                return self._set_zone(request)
            case _:
                return self._report()

    def _report(self) -> StatusReply:
        configuration = self._state.router.configuration
        return StatusReply(
            self._state.settings.instance,
            configuration.version,
            self._status.age(),
            tuple(sorted(configuration.zones_out)),
            tuple(member_rows(self._state)),
            tuple(
                EntryStatus(row.entry, row.zone)
                for row in self._state.configuration.entries
            ),
            self._status.is_ready(),
        )

    def _explain(self, request: ExplainRequest) -> ExplainReply:
        ends = FlowEnds(
            Endpoint(request.caller_host, request.caller_port),
            Endpoint(request.service_host, request.service_port),
        )
        try:
            found = self._state.router.explain(flow_key(ends))
        except ValueError as error:
            return ExplainReply('', 0, '', '', f'not an IPv4 flow: {error}')
        names = {
            row.service: row.name for row in self._state.router.configuration.services
        }
        return ExplainReply(
            names.get(found.service, ''),
            found.bucket,
            found.agent or '',
            found.zone or '',
            _reason(found),
        )

    def _set_zone(self, request: ZoneRequest) -> ZoneReply:
        zone = Zone(request.zone)
        if zone not in self._state.router.configuration.zones:
            return ZoneReply(False, f'no availability zone {request.zone!r}')
        self._task.post(
            OverrideSet(zone, request.out, request.sequence, request.override_id),
        )
        return ZoneReply(True, 'taken; spreads to the others')


def member_rows(state: EntryState) -> list[MemberStatus]:
    """Return the agents that the instance knows."""
    names = {row.service: row.name for row in state.router.configuration.services}
    return [
        MemberStatus(
            names.get(view.service, str(view.service)),
            member.agent,
            member.zone,
            member.state.name.lower(),
            member.alive,
            member.incarnation,
            _last_report(state, member.agent),
        )
        for view in state.router.views.values()
        for member in view.members
    ]


def _fields(row: MemberStatus) -> dict[str, Any]:
    report = row.report._asdict() if row.report else None
    return {**row._asdict(), 'report': report}


def _last_report(state: EntryState, agent: AgentId) -> MemberReport | None:
    report = state.membership.report_of(agent)
    if report is None:
        return None
    return MemberReport(
        report.config_version,
        round(state.clock.now() - report.heard_at, 1),
        report.flows,
        report.flow_limit,
        report.incarnation,
    )


def _reason(found: RouteExplanation) -> str:
    if found.service is None:
        return 'no service has this address'
    if found.agent is None:
        return 'no member of the service is active in an availability zone in service'
    return (
        f'{found.agent} has the highest rendezvous score for bucket {found.bucket} '
        'among the active members in service; it admits new flows of the bucket '
        'and knows the backend server of each open one'
    )
