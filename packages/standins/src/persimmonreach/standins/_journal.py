"""Compares the journals of the callers and the backend servers of a run."""

from collections import Counter
from collections.abc import Sequence
from typing import Final, Literal, NamedTuple, TypedDict

from persimmonreach.standins._backend_journal import BackendJournal
from persimmonreach.standins._caller_journal import (
    CallerJournal,
    RequestOutcome,
    RequestRow,
    count_outcomes,
)

# With fewer requests in a second, a single failure exceeds the 5% that may fail.
MIN_REQUESTS_PER_S: Final = 20


class RunJournals(NamedTuple):
    """Journals of one run.

    Attributes
    ----------
    zones
        Availability zone by instance name of the backend servers.
    removed_zone
        Availability zone that was taken out of service; empty if there is none.
    out_at
        Time of the command that took it out, in seconds since boot.

    """

    callers: CallerJournal
    servers: Sequence[BackendJournal]
    zones: dict[str, str]
    removed_zone: str
    out_at: float


class RequestFigures(TypedDict):
    """Figures of the requests of a run.

    Attributes
    ----------
    requests_run_twice
        Requests that are not idempotent and ran more than once.
    requests_lost
        Requests without a response, and flows that did not open.
    false_not_run
        Requests that ran although their outcome is "not run".
    wrong_answers
        Wrong responses, and responses to requests that no backend server ran.
    requests_cut_with_zone
        Requests that ended with a flow of the zone taken out of service.
    lowest_answered_share
        Lowest share of answered requests in one second; seconds with fewer than
        ``MIN_REQUESTS_PER_S`` requests are not considered.

    """

    requests_sent: int
    outcomes: dict[str, int]
    requests_run_twice: int
    requests_lost: int
    false_not_run: int
    wrong_answers: int
    requests_cut_with_zone: int
    lowest_answered_share: float
    overloads: int


class FlowFigures(TypedDict):
    """Figures of the flows of a run.

    Attributes
    ----------
    broken_flows_allowed
        Flows that ended with the zone taken out of service, or that a backend server
        reset because of an injected fault.
    broken_flows_not_allowed
        Other established flows that ended unexpectedly.

    """

    flows_opened: int
    flows_refused: int
    flows_unopened: int
    flows_on_two_servers: int
    broken_flows_allowed: int
    broken_flows_not_allowed: int


def request_figures(journals: RunJournals) -> RequestFigures:
    """Compare the requests of the callers with the runs of the backend servers."""
    callers = journals.callers
    outcomes = count_outcomes(callers)
    runs = _runs_by_request_id(journals.servers)
    answered_without_run = _count_outcome(
        callers, RequestOutcome.ANSWERED, runs, has_run=False
    )
    cut = _requests_ended_with_zone(journals)
    unanswered = outcomes[RequestOutcome.NO_REPLY] + outcomes[RequestOutcome.OPEN]
    return RequestFigures(
        requests_sent=len(callers['requests']),
        outcomes=outcomes,
        requests_run_twice=_count_run_twice(callers, runs),
        # The caller of an unopened flow got no response either.
        requests_lost=unanswered + len(callers['unopened']),
        false_not_run=_count_outcome(callers, RequestOutcome.NOT_RUN, runs, has_run=True),
        wrong_answers=outcomes[RequestOutcome.WRONG] + answered_without_run,
        requests_cut_with_zone=sum(cut.values()),
        lowest_answered_share=_lowest_answered_share(callers, cut),
        overloads=sum(server['overloads'] for server in journals.servers),
    )


def flow_figures(journals: RunJournals) -> FlowFigures:
    """Compare the resets of the callers with the flows of the backend servers."""
    servers_by_flow = _servers_by_flow(journals, 'flows')
    callers = journals.callers
    allowed_flows = {flow for server in journals.servers for flow in server['failed']}
    allowed_flows.update(_flows_ended_with_zone(journals))
    allowed = sum(row['flow'] in allowed_flows for row in callers['resets'])
    return FlowFigures(
        flows_opened=callers['flows_opened'],
        flows_refused=len(callers['refused']),
        flows_unopened=len(callers['unopened']),
        flows_on_two_servers=sum(len(names) > 1 for names in servers_by_flow.values()),
        broken_flows_allowed=allowed,
        broken_flows_not_allowed=len(callers['resets']) - allowed,
    )


def _servers_by_flow(
    journals: RunJournals,
    field: Literal['flows', 'established'],
) -> dict[str, set[str]]:
    servers_by_flow: dict[str, set[str]] = {}
    for server in journals.servers:
        for flow in server[field]:
            servers_by_flow.setdefault(flow, set()).add(server['instance'])
    return servers_by_flow


def _flows_ended_with_zone(journals: RunJournals) -> list[str]:
    """Return the flow of each reset that is allowed, one entry for each reset."""
    # A flow counts for the backend servers that got its SYN if none has got the
    # acknowledgement of the SYN-ACK, which may be in flight when the zone is taken
    # out of service.
    servers_by_flow = _servers_by_flow(journals, 'flows') | _servers_by_flow(
        journals, 'established'
    )
    return [
        row['flow']
        for row in journals.callers['resets']
        if row['at'] >= journals.out_at
        and _are_only_in_removed_zone(journals, servers_by_flow.get(row['flow'], set()))
    ]


def _requests_ended_with_zone(journals: RunJournals) -> Counter[str]:
    """Count by second the requests that ended with a flow of the removed zone.

    These flows end with their zone, so their requests say nothing about the other
    zones.
    """
    ended_flows = set(_flows_ended_with_zone(journals))
    return Counter(
        str(int(row['sent_at']))
        for row in journals.callers['requests'].values()
        if row['outcome'] == RequestOutcome.RESET and row['flow'] in ended_flows
    )


def _are_only_in_removed_zone(journals: RunJournals, instances: set[str]) -> bool:
    zones = {journals.zones[instance] for instance in instances}
    return zones == {journals.removed_zone}


def _runs_by_request_id(servers: Sequence[BackendJournal]) -> Counter[str]:
    runs: Counter[str] = Counter()
    for server in servers:
        for request_id, row in server['runs'].items():
            runs[request_id] += row['count']
    return runs


def _count_run_twice(callers: CallerJournal, runs: Counter[str]) -> int:
    # Retries after "not run" have other ids and the same order, so they count as
    # one request.
    runs_by_order: Counter[str] = Counter()
    for request_id, row in callers['requests'].items():
        if not row['idempotent']:
            runs_by_order[row['order']] += runs[request_id]
    return sum(run_count > 1 for run_count in runs_by_order.values())


def _count_outcome(
    callers: CallerJournal, outcome: RequestOutcome, runs: Counter[str], *, has_run: bool
) -> int:
    rows: dict[str, RequestRow] = callers['requests']
    return sum(
        row['outcome'] == outcome and (runs[request_id] > 0) == has_run
        for request_id, row in rows.items()
    )


def _lowest_answered_share(callers: CallerJournal, cut: Counter[str]) -> float:
    shares = [
        row['answered'] / (row['sent'] - cut[second])
        for second, row in callers['seconds'].items()
        if row['sent'] - cut[second] >= MIN_REQUESTS_PER_S
    ]
    return min(shares, default=0)
