"""Readiness, status and operator calls of an entry instance."""

from collections.abc import Mapping
from types import MappingProxyType
from typing import Any, Final, NamedTuple

from persimmonreach.control import (
    AgentReport,
    AgentSummary,
    EntrySummary,
    ExplainReply,
    ExplainRequest,
    StatusReply,
    ZoneReply,
    ZoneRequest,
)
from persimmonreach.control.adapters import OperatorService
from persimmonreach.core import Clock, Endpoint, ServiceName, Zone
from persimmonreach.core.codecs import is_endpoint
from persimmonreach.daemon._settings import EntrySettings
from persimmonreach.discovery import AgentRecord, AgentState
from persimmonreach.forwarding import EntryForwarder, RouteExplanation
from persimmonreach.observability.tasks import StatusSource
from persimmonreach.packets.builder import FlowEndpoints, pack_flow_key
from persimmonreach.rules import RulesInForce
from persimmonreach.runtime import Task
from persimmonreach.zones import OverrideRequested, OverrideTable

_STATE_NAMES: Final = MappingProxyType(
    {
        AgentState.STARTING: 'joining',
        AgentState.DOWN: 'down',
        AgentState.STOPPING: 'stopping',
        AgentState.READY: 'active',
        AgentState.DRAINING: 'draining',
        AgentState.LEFT: 'left',
    },
)


class EntryComponents(NamedTuple):
    """Parts of an entry instance that its status and operators' calls read.

    Attributes
    ----------
    settings
        Settings of the instance.
    clock
        Source of the current time.
    forwarder
        State machine of the packet path.
    rules_in_force
        Traffic rules in force, and the time of their last confirmation.
    override_table
        Zone overrides and the declared availability zones.

    """

    settings: EntrySettings
    clock: Clock
    forwarder: EntryForwarder
    rules_in_force: RulesInForce
    override_table: OverrideTable


class EntryStatusReporter(StatusSource):
    """Reports the readiness and status of an entry instance.

    Parameters
    ----------
    components
        Parts of the entry instance to read.

    """

    def __init__(self, components: EntryComponents) -> None:
        self._components = components

    @property
    def is_zone_in_service(self) -> bool:
        """Whether the instance's availability zone is in service."""
        return (
            self._components.settings.zone
            not in self._components.forwarder.rules.zones_out
        )

    def is_ready(self) -> bool:
        """Return whether the fabric should route packets to the instance."""
        return self.is_zone_in_service and self._components.forwarder.is_ready

    def status(self) -> dict[str, Any]:
        """Return the state of the instance as JSON values."""
        rules = self._components.forwarder.rules
        return {
            'instance': self._components.settings.instance,
            'role': 'entry',
            'zone': self._components.settings.zone,
            **self._components.forwarder.gauges,
            'ready': self.is_ready(),
            'zone_in_service': self.is_zone_in_service,
            'configuration_version': rules.version,
            'configuration_age_s': self.rules_age_s(),
            'zones_out': sorted(rules.zones_out),
            'members': [
                _to_json_object(summary)
                for summary in list_agent_summaries(self._components)
            ],
        }

    def rules_age_s(self) -> float | None:
        """Return the seconds since the store last confirmed the rules.

        None if it has not confirmed them yet.
        """
        age_s = self._components.rules_in_force.age(self._components.clock.now())
        return None if age_s is None else round(age_s, 1)


class EntryOperatorService(OperatorService):
    """Handles operators' calls to an entry instance.

    Parameters
    ----------
    components
        Parts of the entry instance to read.
    reporter
        Reports the readiness and the age of the rules.
    overrides_task
        Task that receives requested zone overrides.

    """

    def __init__(
        self,
        components: EntryComponents,
        reporter: EntryStatusReporter,
        overrides_task: Task,
    ) -> None:
        self._components = components
        self._reporter = reporter
        self._overrides_task = overrides_task

    def handle(self, request: Any) -> Any:
        """Return the reply to ``request``."""
        match request:
            case ExplainRequest():
                return self._explain(request)
            case ZoneRequest():
                return self._set_zone(request)
            case _:
                return self._status()

    def _status(self) -> StatusReply:
        rules = self._components.forwarder.rules
        return StatusReply(
            self._components.settings.instance,
            rules.version,
            self._reporter.rules_age_s(),
            tuple(sorted(rules.zones_out)),
            tuple(list_agent_summaries(self._components)),
            tuple(
                EntrySummary(registered.entry, registered.zone)
                for registered in self._components.forwarder.entries
            ),
            self._reporter.is_ready(),
        )

    def _explain(self, request: ExplainRequest) -> ExplainReply:
        flow_endpoints = FlowEndpoints(
            Endpoint(request.caller_host, request.caller_port),
            Endpoint(request.service_host, request.service_port),
        )
        invalid = [
            f'{endpoint.host}:{endpoint.port}'
            for endpoint in flow_endpoints
            if not is_endpoint(*endpoint)
        ]
        if invalid:
            problem = ', '.join(invalid)
            return ExplainReply('', '', '', f'not an IPv4 flow: {problem}')
        key = pack_flow_key(flow_endpoints)
        explanation = self._components.forwarder.explain(
            key, self._components.clock.now()
        )
        return ExplainReply(
            explanation.service or '',
            explanation.agent or '',
            explanation.zone or '',
            ''.join((_describe_reason(explanation), _describe_class(explanation))),
        )

    def _set_zone(self, request: ZoneRequest) -> ZoneReply:
        zone = Zone(request.zone)
        if zone not in self._components.override_table.declared_zones:
            return ZoneReply(False, f'no availability zone {request.zone!r}')
        self._overrides_task.post(
            OverrideRequested(zone, request.out, request.sequence, request.override_id),
        )
        return ZoneReply(True, 'taken; spreads to the others')


def list_agent_summaries(components: EntryComponents) -> list[AgentSummary]:
    """Return a summary of each agent record of the entry instance."""
    now = components.clock.now()
    flow_limits = {
        limits.service: limits.connections
        for limits in components.forwarder.rules.services
    }
    return [
        _make_agent_summary(record, flow_limits, now)
        for record in components.forwarder.agents
    ]


def _make_agent_summary(
    record: AgentRecord,
    flow_limits: Mapping[ServiceName, int],
    now: float,
) -> AgentSummary:
    status = record.status
    report = None
    if record.has_responded:
        age_s = round(record.seconds_since_message(now), 1)
        report = AgentReport(
            status.version,
            age_s,
            status.flows,
            flow_limits.get(status.service, 0),
            status.incarnation,
        )
    return AgentSummary(
        status.service,
        status.agent,
        status.zone,
        _STATE_NAMES[status.state],
        not record.is_unresponsive(now),
        status.incarnation,
        report,
    )


def _to_json_object(summary: AgentSummary) -> dict[str, Any]:
    report = summary.report._asdict() if summary.report else None
    return {**summary._asdict(), 'report': report}


def _describe_reason(explanation: RouteExplanation) -> str:
    if explanation.service is None:
        return 'no service has this address'
    if explanation.agent is None:
        return 'no agent of the service takes new flows'
    if explanation.is_holder:
        return 'this entry instance has sent packets of the flow there before'
    return 'the flow is not known here; it would be offered to this agent first'


def _describe_class(explanation: RouteExplanation) -> str:
    class_of_service = explanation.class_of_service
    if class_of_service is None:
        return ''
    description = class_of_service.traffic_class.describe()
    urgency = ', urgent' if class_of_service.is_urgent else ''
    return f'; class of service: {description}{urgency}'
