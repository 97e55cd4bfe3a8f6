"""Attempts that one agent runs on behalf of another."""

from typing import final

from persimmonreach.core import Count, Received
from persimmonreach.packets import Outcome
from persimmonreach.requests._callers import CallerSide
from persimmonreach.requests._lifecycle import REASON_SATURATED, Lifecycle
from persimmonreach.requests._records import (
    Record,
    RecordId,
    RequestState,
    Verdict,
    open_record,
)
from persimmonreach.requests._replies import replies
from persimmonreach.requests.messages import (
    CancelElsewhere,
    Ending,
    RunElsewhere,
    RunOutcome,
)


@final
class PeerSide:
    """Handles what comes from the other agents of the service.

    Parameters
    ----------
    lifecycle
        Requests of the agent.
    callers
        Cancellation of requests.

    """

    def __init__(self, lifecycle: Lifecycle, callers: CallerSide) -> None:
        self._requests = lifecycle
        self._callers = callers

    def run(self, event: Received, refusal: Verdict | None, now: float) -> None:
        """Run the attempt once; a copy of the message gets the stored outcome.

        Parameters
        ----------
        event
            The message of the origin.
        refusal
            Outcome of attempts that must not run at present.
        now
            Monotonic time in seconds.

        """
        message: RunElsewhere = event.message
        if message.service != self._requests.settings.service:
            self._requests.emit(Count('attempts_of_other_service'))
            return
        name = RecordId(
            message.key,
            message.frame.request_id,
            message.origin,
            message.frame.attempt,
        )
        known = self._requests.table.find(name)
        if known is not None:
            if known.verdict is not None:
                self._requests.emit(*replies(self._requests.agent, known))
            return
        if message.target_incarnation != self._requests.targets.incarnation:
            # An earlier incarnation may have run it and is not on record.
            self._requests.emit(Count('attempts_of_other_incarnation'))
            return
        record = open_record(name, message.frame, now, self._requests.ends)
        self._accept(record._replace(origin=event.sender), refusal, now)

    def outcome(self, message: RunOutcome, now: float) -> None:
        """Take the outcome of an attempt elsewhere, or a part of its answer."""
        record = self._requests.table.find(RecordId(message.key, message.request_id))
        if record is None or not _is_outcome_of(message, record):
            self._requests.emit(Count('outcomes_dropped'))
            return
        if message.ending is Ending.ANSWERED:
            self._answered(record, message)
            return
        if message.reason == REASON_SATURATED:
            self._requests.targets.saturated(message.agent, now)
        is_proved = message.ending is Ending.NOT_RUN and record.answer.is_empty
        outcome = Outcome.NOT_RUN if is_proved else Outcome.UNKNOWN
        verdict = Verdict(outcome, message.reason, record.attempt)
        self._requests.fail(record, verdict, now)

    def cancel(self, message: CancelElsewhere, now: float) -> None:
        """Cancel an attempt that runs for another agent."""
        name = RecordId(
            message.key,
            message.request_id,
            message.origin,
            message.attempt,
        )
        record = self._requests.table.find(name)
        if record is not None and record.verdict is None:
            self._callers.cancel_record(record, now)

    def change_targets(self, now: float) -> None:
        """End the wait for agents that can no longer answer."""
        for record in self._requests.table.open_records():
            if record.state is not RequestState.ELSEWHERE:
                continue
            if self._requests.targets.is_lost(record.target):
                verdict = Verdict(Outcome.UNKNOWN, 'agent_lost', record.attempt)
                self._requests.fail(record, verdict, now)

    def _accept(self, record: Record, refusal: Verdict | None, now: float) -> None:
        if not self._requests.table.add(record):
            # Without a record a copy could run; the origin gets no outcome.
            self._requests.emit(Count('requests_table_full'))
        elif refusal is not None:
            self._requests.settle(record, refusal)
        elif now >= record.deadline:
            self._requests.expire(record, now)
        elif self._requests.has_queue or not self._requests.try_start(record, now):
            # Waiting is for the agent's own flows; the origin may try another.
            verdict = Verdict(Outcome.NOT_RUN, REASON_SATURATED, record.name.attempt)
            self._requests.settle(record, verdict)

    def _answered(self, record: Record, message: RunOutcome) -> None:
        if not record.answer.add(message.part, message.parts, message.body):
            self._requests.emit(Count('answers_inconsistent'))
            return
        if record.answer.is_whole:
            body = record.answer.body
            self._requests.settle(record, Verdict(None, '', record.attempt, body))


def _is_outcome_of(message: RunOutcome, record: Record) -> bool:
    is_elsewhere = record.state is RequestState.ELSEWHERE
    return (
        is_elsewhere
        and record.attempt == message.attempt
        and record.target.agent == message.agent
    )
