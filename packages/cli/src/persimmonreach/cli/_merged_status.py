"""Status of all processes, merged from the replies of several entry instances."""

from collections.abc import Sequence
from typing import Final, NamedTuple

from persimmonreach.control import AgentReport, AgentSummary, CallResult, StatusReply

# States of an agent, by ascending precedence if entry instances differ.
_STATES_BY_PRECEDENCE: Final = (
    'joining',
    'down',
    'active',
    'stopping',
    'draining',
    'left',
)


class MergedStatus(NamedTuple):
    """Status of all known entry instances and agents.

    Attributes
    ----------
    replies
        Status replies of the entry instances.
    failed_calls
        Calls to entry instances that received no reply.
    members
        Status of each agent with its newest report, ordered by service and
        agent id.
    unreached_entries
        Ids of known entry instances from which no reply came.

    """

    replies: tuple[StatusReply, ...]
    failed_calls: tuple[CallResult, ...]
    members: tuple[AgentSummary, ...]
    unreached_entries: tuple[str, ...]

    @property
    def present_members(self) -> tuple[AgentSummary, ...]:
        """Status of each agent that is alive and has not left."""
        return tuple(
            summary
            for summary in self.members
            if summary.alive and summary.state != 'left'
        )

    @property
    def zones_out(self) -> frozenset[str]:
        """Availability zones that are out of service at any entry instance."""
        return frozenset(zone for reply in self.replies for zone in reply.zones_out)


def merge_call_results(call_results: Sequence[CallResult]) -> MergedStatus:
    """Merge the replies of entry instances to a ``StatusRequest``."""
    replies = tuple(call.reply for call in call_results if call.reply)
    failed_calls = tuple(call for call in call_results if not call.reply)
    known_ids = {entry.entry for reply in replies for entry in reply.entries}
    replying_ids = {reply.instance for reply in replies}
    summaries_by_agent: dict[str, list[AgentSummary]] = {}
    for reply in replies:
        for summary in reply.members:
            summaries_by_agent.setdefault(summary.agent, []).append(summary)
    members = sorted(
        map(_merge_member, summaries_by_agent.values()), key=_member_sort_key
    )
    return MergedStatus(
        replies,
        failed_calls,
        tuple(members),
        tuple(sorted(known_ids - replying_ids)),
    )


def _member_sort_key(summary: AgentSummary) -> tuple[str, str]:
    return summary.service, summary.agent


def _merge_member(summaries: Sequence[AgentSummary]) -> AgentSummary:
    """Merge the summaries of one agent from several entry instances.

    Incarnations of an agent are the start times of its processes, so only
    summaries and reports of the highest incarnation count. The result has
    their state of highest precedence and their newest report. The agent is alive
    if it is alive in all of these summaries.
    """
    incarnation = max(summary.incarnation for summary in summaries)
    latest = max(
        (summary for summary in summaries if summary.incarnation == incarnation),
        key=_state_sort_key,
    )
    reports = [
        summary.report
        for summary in summaries
        if summary.report and summary.report.incarnation == incarnation
    ]
    return latest._replace(
        alive=all(
            summary.alive for summary in summaries if summary.incarnation == incarnation
        ),
        report=min(reports, key=_report_sort_key, default=None),
    )


def _state_sort_key(summary: AgentSummary) -> tuple[int, str]:
    # An entry instance of a later version may report a state that is not known here.
    is_known = summary.state in _STATES_BY_PRECEDENCE
    precedence = _STATES_BY_PRECEDENCE.index(summary.state) if is_known else -1
    return precedence, summary.zone


def _report_sort_key(report: AgentReport) -> tuple[float, AgentReport]:
    return report.age_s, report
