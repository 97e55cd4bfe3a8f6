"""Zone overrides, which set the state of a zone at the entry instances."""

from collections.abc import Sequence
from typing import Final, NamedTuple

from persimmonreach.cli._dependencies import Dependencies
from persimmonreach.cli._exit import ExitCode, Report
from persimmonreach.control import CallResult, StatusRequest, ZoneRequest
from persimmonreach.core import Endpoint

_POLL_INTERVAL_S: Final = 0.2
_CONTROL_HINT: Final = (
    'To set it at the entry instances, give their control addresses '
    '(--control or PERSIMMONREACH_CONTROL).'
)
_PROPAGATION_NOTE: Final = (
    'It spreads to the other entry instances and is written into the store once '
    'the store answers.'
)


class OverrideConfirmation(NamedTuple):
    """Result of setting an override at the entry instances.

    Attributes
    ----------
    in_force
        Ids of the entry instances that report the requested state.
    not_confirmed
        Ids or control addresses of the other entry instances called, each with
        the reason.

    """

    in_force: tuple[str, ...]
    not_confirmed: tuple[str, ...]


def override_zone(
    dependencies: Dependencies,
    control_endpoints: Sequence[Endpoint],
    request: ZoneRequest,
    timeout_s: float,
) -> Report:
    """Set an override and report where it is in force.

    Parameters
    ----------
    dependencies
        Client of entry instances, and the clock.
    control_endpoints
        Control endpoints of entry instances.
    request
        Override to set.
    timeout_s
        Maximum seconds to wait for confirmations.

    """
    if not control_endpoints:
        return _report_failure(('Nothing has changed.', _CONTROL_HINT))
    call_results = dependencies.operator_client.call_all(control_endpoints, request)
    refused = [call for call in call_results if call.reply and not call.reply.accepted]
    if refused and len(refused) == len(call_results):
        reason = refused[0].reply.reason
        return Report(ExitCode.FINDINGS, 'refused', (f'Refused: {reason}.',), {})
    if not any(call.reply and call.reply.accepted for call in call_results):
        problems = _format_problems(call_results)
        lines = ('No entry instance has confirmed the change:', *problems)
        return _report_failure(lines, problems)
    return _report_override(
        request, _await_confirmation(dependencies, control_endpoints, request, timeout_s)
    )


def _await_confirmation(
    dependencies: Dependencies,
    control_endpoints: Sequence[Endpoint],
    request: ZoneRequest,
    timeout_s: float,
) -> OverrideConfirmation:
    deadline = dependencies.clock.now() + timeout_s
    while True:
        call_results = dependencies.operator_client.call_all(
            control_endpoints, StatusRequest()
        )
        confirmation = _read_confirmation(call_results, request)
        if not confirmation.not_confirmed or dependencies.clock.now() >= deadline:
            return confirmation
        # Entry instances that do not reply receive the override from the others,
        # so their confirmations are not awaited.
        if confirmation.in_force and len(confirmation.not_confirmed) == len(
            _format_problems(call_results)
        ):
            return confirmation
        dependencies.sleep(_POLL_INTERVAL_S)


def _read_confirmation(
    call_results: Sequence[CallResult], request: ZoneRequest
) -> OverrideConfirmation:
    replies = [call.reply for call in call_results if call.reply]
    confirming = [
        reply for reply in replies if (request.zone in reply.zones_out) is request.out
    ]
    unconfirmed = (
        f'{reply.instance}: not yet' for reply in replies if reply not in confirming
    )
    return OverrideConfirmation(
        tuple(reply.instance for reply in confirming),
        (*unconfirmed, *_format_problems(call_results)),
    )


def _format_problems(call_results: Sequence[CallResult]) -> tuple[str, ...]:
    return tuple(
        '{0}:{1}: {2}'.format(*call.endpoint, call.problem)
        for call in call_results
        if call.reply is None
    )


def _report_override(request: ZoneRequest, confirmation: OverrideConfirmation) -> Report:
    state = 'out of service' if request.out else 'in service'
    lines = (
        f'The store does not answer; {request.zone} is {state} by an override at: '
        + (', '.join(confirmation.in_force) or 'none yet'),
        *(f'Not confirmed at {line}' for line in confirmation.not_confirmed),
        _PROPAGATION_NOTE,
    )
    details = {
        **confirmation._asdict(),
        'note': 'store unavailable; set as an override, not yet in the store',
        'sequence': request.sequence,
        'override_id': request.override_id,
    }
    code = ExitCode.DONE if confirmation.in_force else ExitCode.NOT_CONFIRMED
    return Report(code, 'overridden', lines, details)


def _report_failure(lines: tuple[str, ...], problems: tuple[str, ...] = ()) -> Report:
    return Report(
        ExitCode.STORE_UNAVAILABLE,
        'store_unavailable',
        ('The store does not answer.', *lines),
        {'not_confirmed': problems},
    )
