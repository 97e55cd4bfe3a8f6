"""Waiting until a version is in force at all entry instances and agents."""

from collections.abc import Iterable
from typing import Final, NamedTuple

from persimmonreach.cli._dependencies import Dependencies, WaitResult
from persimmonreach.cli._merged_status import MergedStatus, merge_call_results
from persimmonreach.control import StatusRequest
from persimmonreach.core import Endpoint

# An agent sends its status to an entry instance at most about every 0.5 s, so
# faster polling would rarely return a newer one.
_POLL_INTERVAL_S: Final = 0.5
NOT_WAITED: Final = 'not_waited'
IN_FORCE: Final = 'in_force'


class VersionWaiter:
    """Polls entry instances until all entry instances and agents have a version.

    Parameters
    ----------
    dependencies
        Client of entry instances, and the clock.

    """

    def __init__(self, dependencies: Dependencies) -> None:
        self._dependencies = dependencies

    def wait(
        self,
        version: int,
        control_endpoints: tuple[Endpoint, ...],
        timeout_s: float,
    ) -> WaitResult:
        """Return once all processes have ``version`` or the timeout has expired.

        Processes whose version no reply contains are reported but not awaited.

        Parameters
        ----------
        version
            Version that all entry instances and agents should have.
        control_endpoints
            Control endpoints of entry instances; without any the result is
            ``not_waited``.
        timeout_s
            Maximum seconds to wait.

        """
        if not control_endpoints:
            return WaitResult(NOT_WAITED, version)
        started_at = self._dependencies.clock.now()
        while True:
            call_results = self._dependencies.operator_client.call_all(
                control_endpoints, StatusRequest()
            )
            progress = find_rollout_progress(merge_call_results(call_results), version)
            elapsed_s = self._dependencies.clock.now() - started_at
            if not progress.lagging or elapsed_s >= timeout_s:
                return WaitResult(
                    progress.result, version, round(elapsed_s, 1), *progress
                )
            self._dependencies.sleep(_POLL_INTERVAL_S)


class RolloutProgress(NamedTuple):
    """Processes that do not have a version yet, or may not have it.

    Attributes
    ----------
    lagging
        Descriptions of the processes that have an older version or did not reply.
    unknown
        Descriptions of the processes whose version no reply contains.

    """

    lagging: tuple[str, ...]
    unknown: tuple[str, ...]

    @property
    def result(self) -> str:
        """Name of the result in JSON, stable across versions."""
        if self.lagging:
            return 'lagging'
        return 'not_confirmed' if self.unknown else IN_FORCE


def find_rollout_progress(merged: MergedStatus, version: int) -> RolloutProgress:
    """Return the processes that do not have ``version``, or may not have it."""
    lagging = (*_lagging_entries(merged, version), *_lagging_agents(merged, version))
    unreported_agents = (
        summary.agent for summary in merged.present_members if summary.report is None
    )
    return RolloutProgress(
        lagging,
        (
            *(
                f'entry instance {entry}: registered, but not heard'
                for entry in merged.unreached_entries
            ),
            *(f'agent {agent}: not heard by those asked' for agent in unreported_agents),
        ),
    )


def _lagging_entries(merged: MergedStatus, version: int) -> Iterable[str]:
    for call in merged.failed_calls:
        address = '{0}:{1}'.format(*call.endpoint)
        yield f'entry instance at {address}: {call.problem}'
    for reply in merged.replies:
        current_version = reply.configuration_version
        if current_version < version:
            yield f'entry instance {reply.instance}: version {current_version}'


def _lagging_agents(merged: MergedStatus, version: int) -> Iterable[str]:
    for summary in merged.present_members:
        report = summary.report
        if report and report.config_version < version:
            yield (
                f'agent {summary.agent}: knew of version {report.config_version} '
                f'{report.age_s} s ago'
            )


def format_wait_result(wait_result: WaitResult) -> tuple[str, ...]:
    """Return a wait result as lines of text."""
    if wait_result.result == NOT_WAITED:
        return (
            'Not waited: no control address is given '
            '(--control or PERSIMMONREACH_CONTROL).',
        )
    if wait_result.result == IN_FORCE:
        return (
            f'In force at all entry instances and known to all agents '
            f'after {wait_result.seconds} s.',
        )
    return (
        f'Not confirmed everywhere after {wait_result.seconds} s:',
        *(f'  {line}' for line in wait_result.lagging),
        *(f'  {line}' for line in wait_result.unknown),
    )
