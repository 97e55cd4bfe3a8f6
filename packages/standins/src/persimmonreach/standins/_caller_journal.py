"""Journal of the callers, for comparison with those of the backend servers."""

from enum import StrEnum
from typing import TypedDict


class RequestOutcome(StrEnum):
    """Outcome of a request, as recorded by its caller."""

    ANSWERED = 'answered'
    NOT_RUN = 'not_run'
    UNKNOWN = 'unknown'
    # The flow was reset while the request was open.
    RESET = 'reset'
    NO_REPLY = 'no_reply'
    WRONG = 'wrong'
    OPEN = 'open'


class RequestRow(TypedDict):
    """A request id; retries after "not run" have other ids and the same ``order``."""

    order: str
    flow: str
    idempotent: bool
    sent_at: float
    ended_at: float
    outcome: RequestOutcome


class EndedFlowRow(TypedDict):
    """A flow that ended without being closed by its caller."""

    flow: str
    at: float
    reason: str


class SecondRow(TypedDict):
    """Requests sent in one second, and how many of them got a correct response."""

    sent: int
    answered: int


class CallerJournal(TypedDict):
    """Journal of all callers; times are in seconds since boot.

    ``requests`` is keyed by request id, and ``seconds`` by second since boot.
    ``resets`` lists established flows that their caller did not close, ``refused``
    flows whose SYN was reset, and ``unopened`` flows whose SYN got no response.
    """

    requests: dict[str, RequestRow]
    resets: list[EndedFlowRow]
    refused: list[EndedFlowRow]
    unopened: list[EndedFlowRow]
    flows_opened: int
    open_flows: int
    pushes: int
    seconds: dict[str, SecondRow]


def new_journal() -> CallerJournal:
    """Return an empty journal."""
    return CallerJournal(
        requests={},
        resets=[],
        refused=[],
        unopened=[],
        flows_opened=0,
        open_flows=0,
        pushes=0,
        seconds={},
    )


def count_outcomes(journal: CallerJournal) -> dict[str, int]:
    """Return the number of requests by outcome, including zeros."""
    counts = {outcome.value: 0 for outcome in RequestOutcome}
    for row in journal['requests'].values():
        counts[row['outcome']] += 1
    return counts


def count_by_second(journal: CallerJournal) -> dict[str, SecondRow]:
    """Count sent and answered requests by the second of their transmission.

    A refused or unopened flow counts as a request without a response. Open
    requests are not counted.
    """
    seconds: dict[str, SecondRow] = {}
    for row in journal['requests'].values():
        if row['outcome'] != RequestOutcome.OPEN:
            is_answered = row['outcome'] == RequestOutcome.ANSWERED
            _count_request(seconds, row['sent_at'], int(is_answered))
    for ended in (*journal['refused'], *journal['unopened']):
        _count_request(seconds, ended['at'], 0)
    return dict(sorted(seconds.items()))


def _count_request(seconds: dict[str, SecondRow], at: float, answered: int) -> None:
    row = seconds.setdefault(str(int(at)), SecondRow(sent=0, answered=0))
    row['sent'] += 1
    row['answered'] += answered
