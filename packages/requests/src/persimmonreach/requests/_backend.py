"""Answers and refusals of the local backend server."""

from typing import final

from persimmonreach.admission import AttemptResult
from persimmonreach.core import Count
from persimmonreach.packets import Outcome
from persimmonreach.requests._events import BackendAnswered, BackendRefused
from persimmonreach.requests._lifecycle import Lifecycle
from persimmonreach.requests._records import RequestState, Verdict
from persimmonreach.requests._slots import AttemptId


@final
class BackendSide:
    """Handles what comes from the local backend server.

    Parameters
    ----------
    lifecycle
        Requests of the agent.

    """

    def __init__(self, lifecycle: Lifecycle) -> None:
        self._requests = lifecycle

    def answered(self, event: BackendAnswered, now: float) -> None:
        """Store a part; the request ends with the last missing one."""
        frame = event.frame
        attempt = AttemptId(event.key, frame.request_id, frame.attempt)
        owner = self._requests.slots.owner(attempt)
        if owner is None:
            self._requests.emit(Count('answers_dropped'))
            if frame.part + 1 == frame.parts:
                self._requests.slots.end(attempt, AttemptResult.TIMED_OUT, now)
            return
        record = self._requests.table.find(owner)
        if not record.answer.add(frame.part, frame.parts, frame.body):
            self._requests.emit(Count('answers_inconsistent'))
            return
        if record.answer.is_whole:
            self._requests.slots.end(attempt, AttemptResult.COMPLETED, now)
            body = record.answer.body
            self._requests.settle(record, Verdict(None, '', record.attempt, body))

    def refused(self, event: BackendRefused, now: float) -> None:
        """End an attempt; it is proved not to have run only if it was shed whole."""
        frame = event.frame
        attempt = AttemptId(event.key, frame.request_id, frame.attempt)
        owner = self._requests.slots.owner(attempt)
        if owner is None:
            self._requests.emit(Count('refusals_dropped'))
            self._requests.slots.end(attempt, AttemptResult.TIMED_OUT, now)
            return
        record = self._requests.table.find(owner)
        is_shed = frame.outcome is Outcome.NOT_RUN and record.answer.is_empty
        outcome = Outcome.NOT_RUN if is_shed else Outcome.UNKNOWN
        result = AttemptResult.SHED if is_shed else AttemptResult.TIMED_OUT
        self._requests.slots.end(attempt, result, now)
        verdict = Verdict(outcome, frame.reason, record.attempt)
        self._requests.fail(record, verdict, now)

    def lost(self, now: float) -> None:
        """End all local requests; those that were running have no known outcome."""
        self._requests.slots.end_all(now)
        for record in self._requests.table.open_records():
            if record.state is RequestState.ELSEWHERE:
                continue
            outcome = Outcome.UNKNOWN
            if record.state is RequestState.QUEUED:
                outcome = Outcome.NOT_RUN
            verdict = Verdict(outcome, 'backend_lost', record.attempt)
            self._requests.settle(record, verdict)
