"""Commands that print the status of all processes and the route of a flow."""

from collections.abc import Iterable
from ipaddress import AddressValueError, IPv4Address
from typing import Any, ClassVar, Final

from cleo.helpers import argument
from cleo.io.inputs.argument import Argument

from persimmonreach.cli._addresses import parse_endpoint, raise_option_error
from persimmonreach.cli._base import CONTROL_VARIABLE, EntryCommand
from persimmonreach.cli._exit import ExitCode, Report
from persimmonreach.cli._merged_status import MergedStatus, merge_call_results
from persimmonreach.control import (
    AgentSummary,
    CallResult,
    ExplainReply,
    ExplainRequest,
    StatusReply,
    StatusRequest,
)
from persimmonreach.core import Endpoint

_CALLER: Final = argument('caller', 'Address and port of the caller, HOST:PORT')
_MERGED_FIELDS: Final = frozenset(('members', 'entries'))
_SERVICE: Final = argument('service', 'Address and port of the service, HOST:PORT')


class EntryReplyCommand(EntryCommand):
    """Command that prints the replies of entry instances."""

    def _call_entries(self, request: Any) -> tuple[CallResult, ...]:
        control_endpoints = self._control_endpoints()
        if not control_endpoints:
            raise_option_error(
                '--control',
                'no control address is given',
                f'--control HOST:PORT, or set {CONTROL_VARIABLE}',
            )
        return self._dependencies.operator_client.call_all(control_endpoints, request)


class StatusCommand(EntryReplyCommand):
    """Prints the status of entry instances and backend servers."""

    name = 'status'
    description = 'Show the versions and the load of entry instances and backend servers'

    def _run(self) -> Report:
        merged = merge_call_results(self._call_entries(StatusRequest()))
        if not merged.replies:
            return _report_no_answers(merged.failed_calls)
        details = {
            'entries': [_entry_fields(reply) for reply in merged.replies],
            'zones_out': sorted(merged.zones_out),
            'members': [_member_fields(summary) for summary in merged.members],
            'unanswered': [call._asdict() for call in merged.failed_calls],
            'not_heard': merged.unreached_entries,
        }
        return Report(ExitCode.DONE, 'status', tuple(_format_status(merged)), details)


class FlowExplainCommand(EntryReplyCommand):
    """Prints the agent to which a flow is routed, and the reason."""

    name = 'flow explain'
    description = 'Show the agent to which a flow is routed, and why'
    arguments: ClassVar[list[Argument]] = [_CALLER, _SERVICE]

    def _run(self) -> Report:
        caller = _parse_ipv4_endpoint('CALLER', self.argument('caller'))
        service = _parse_ipv4_endpoint('SERVICE', self.argument('service'))
        call_results = self._call_entries(ExplainRequest(*caller, *service))
        replies = list(dict.fromkeys(call.reply for call in call_results if call.reply))
        if not replies:
            return _report_no_answers(call_results)
        lines = [line for reply in replies for line in _format_route(reply)]
        if len(replies) > 1:
            lines.insert(0, 'Entry instances differ; a change may be spreading.')
        result = 'explained' if all(reply.agent for reply in replies) else 'no_route'
        details = {'routes': [reply._asdict() for reply in replies]}
        return Report(ExitCode.DONE, result, tuple(lines), details)


def _parse_ipv4_endpoint(name: str, text: str) -> Endpoint:
    endpoint = parse_endpoint(name, text)
    try:
        IPv4Address(endpoint.host)
    except AddressValueError:
        raise_option_error(
            name, f'expected an IPv4 address, found "{endpoint.host}"', '10.1.1.1:40000'
        )
    return endpoint


def _report_no_answers(failed_calls: Iterable[CallResult]) -> Report:
    calls = tuple(failed_calls)
    return Report(
        ExitCode.NO_ENTRY_ANSWERS,
        'no_entry_answers',
        ('No entry instance answers:', *map(_format_failed_call, calls)),
        {'unanswered': [call._asdict() for call in calls]},
    )


def _format_failed_call(call: CallResult) -> str:
    return '  {0}:{1}: {2}'.format(*call.endpoint, call.problem)


def _entry_fields(reply: StatusReply) -> dict[str, Any]:
    """Return the fields of a reply without the lists that are merged across replies."""
    fields = reply._asdict()
    return {name: fields[name] for name in fields if name not in _MERGED_FIELDS}


def _member_fields(summary: AgentSummary) -> dict[str, Any]:
    report = summary.report._asdict() if summary.report else None
    return {**summary._asdict(), 'report': report}


def _format_status(merged: MergedStatus) -> Iterable[str]:
    yield 'Entry instances:'
    yield from map(_format_entry, merged.replies)
    yield from map(_format_failed_call, merged.failed_calls)
    yield from (
        f'  {entry}: registered, but not heard' for entry in merged.unreached_entries
    )
    zones_out = ', '.join(sorted(merged.zones_out)) or 'none'
    yield f'Availability zones out of service: {zones_out}'
    yield 'Backend servers:'
    yield from map(_format_member, merged.members)
    yield '(The version of a backend server is the newest that its agent knows of.)'


def _format_entry(reply: StatusReply) -> str:
    age_s = reply.configuration_age_s
    zones = {entry.entry: entry.zone for entry in reply.entries}
    return '  {0} {1}: version {2}, {3}, {4}'.format(
        reply.instance,
        zones.get(reply.instance, '(not registered)'),
        reply.configuration_version,
        'never confirmed' if age_s is None else f'confirmed {age_s} s ago',
        'ready' if reply.ready else 'not ready',
    )


def _format_member(summary: AgentSummary) -> str:
    state = summary.state if summary.alive else 'dead'
    prefix = f'  {summary.service} {summary.agent} {summary.zone}: {state}'
    report = summary.report
    if report is None:
        return f'{prefix}, not heard by the entry instances asked'
    flows = f'{report.flows} of {report.flow_limit} flows'
    if state == 'draining':
        flows = f'{report.flows} flows left'
    return (
        f'{prefix}, {flows}, version {report.config_version}, heard {report.age_s} s ago'
    )


def _format_route(reply: ExplainReply) -> Iterable[str]:
    if reply.service:
        yield f'Service {reply.service}.'
    if reply.agent:
        yield f'Goes to agent {reply.agent} in {reply.zone}.'
    yield f'Reason: {reply.reason}.'
