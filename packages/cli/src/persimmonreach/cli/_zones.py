"""Commands that take an availability zone out of service or return it."""

from random import SystemRandom
from typing import ClassVar, Final

from cleo.helpers import argument
from cleo.io.inputs.argument import Argument
from cleo.io.inputs.option import Option

from persimmonreach.cli._base import (
    CONTROL_OPTION,
    STORE_OPTIONS,
    YES_OPTION,
    StoreCommand,
    wall_clock_ms,
)
from persimmonreach.cli._effect import ServiceEffect, find_effects, format_effects
from persimmonreach.cli._exit import CANCELLED, ExitCode, Report
from persimmonreach.cli._merged_status import merge_call_results
from persimmonreach.cli._override import override_zone
from persimmonreach.configuration import Plan, Publisher
from persimmonreach.control import StatusRequest, ZoneRequest
from persimmonreach.core import Zone
from persimmonreach.store import StoreUnavailableError

_ZONE: Final = argument('zone', 'Name of the availability zone')
_OVERRIDE_ID_BYTES: Final = 8


class ZoneCommand(StoreCommand):
    """Changes the state of an availability zone, by an override during a store outage."""

    arguments: ClassVar[list[Argument]] = [_ZONE]
    options: ClassVar[list[Option]] = [YES_OPTION, CONTROL_OPTION, *STORE_OPTIONS]
    _is_out: ClassVar[bool]

    def _run(self) -> Report:
        publisher = self._make_publisher(self._make_store())
        plan = self._make_plan(publisher)
        effects = self._find_effects() if self._is_out else ()
        if effects and not self._are_effects_confirmed(effects):
            return CANCELLED
        report = self._publish_or_override(publisher, plan)
        fields = [effect._asdict() for effect in effects]
        return report._replace(details={**report.details, 'effects': fields})

    def _make_plan(self, publisher: Publisher) -> Plan | None:
        try:
            return publisher.plan_zone_change(
                Zone(self.argument('zone')), out=self._is_out
            )
        except StoreUnavailableError:
            return None

    def _publish_or_override(self, publisher: Publisher, plan: Plan | None) -> Report:
        if plan is None:
            return self._set_override()
        try:
            report = self._submit(publisher, plan, needs_confirmation=False)
        except StoreUnavailableError:
            return self._set_override()
        if report.code is not ExitCode.UNSETTLED or not self._control_endpoints():
            return report
        # The override requests the same state as the write, so it is correct
        # whether or not the write took effect.
        override_report = self._set_override()
        if override_report.code is ExitCode.STORE_UNAVAILABLE:
            # No entry instance is in reach, and the write may have taken effect.
            return report._replace(
                lines=(*report.lines, *override_report.lines),
                details={**report.details, **override_report.details},
            )
        return override_report._replace(
            lines=(*report.lines, *override_report.lines),
            details={'unsettled': report.details, **override_report.details},
        )

    def _set_override(self) -> Report:
        request = ZoneRequest(
            self.argument('zone'),
            self._is_out,
            wall_clock_ms(),
            SystemRandom().randbytes(_OVERRIDE_ID_BYTES).hex(),
        )
        control_endpoints = self._control_endpoints()
        return override_zone(
            self._dependencies, control_endpoints, request, self._timeout_s()
        )

    def _find_effects(self) -> tuple[ServiceEffect, ...]:
        call_results = self._dependencies.operator_client.call_all(
            self._control_endpoints(), StatusRequest()
        )
        return find_effects(merge_call_results(call_results), self.argument('zone'))

    def _are_effects_confirmed(self, effects: tuple[ServiceEffect, ...]) -> bool:
        if not self._is_json:
            self._print_lines(format_effects(effects))
        ends_flows = any(effect.flows_ending for effect in effects)
        if self.option('yes') or not ends_flows:
            return True
        return self._is_confirmed('Take the zone out of service?')


class ZoneOutCommand(ZoneCommand):
    """Takes an availability zone out of service."""

    name = 'availability-zone out'
    description = 'Take an availability zone out of service'
    _is_out = True


class ZoneInCommand(ZoneCommand):
    """Returns an availability zone to service."""

    name = 'availability-zone in'
    description = 'Return an availability zone to service'
    _is_out = False
