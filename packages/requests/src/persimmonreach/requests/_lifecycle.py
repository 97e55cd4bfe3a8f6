"""Progress of requests from arrival to their single outcome."""

from random import Random
from typing import Final

from persimmonreach.admission import AttemptResult, ConcurrencyLimit
from persimmonreach.configuration import Configuration
from persimmonreach.core import Action, AgentId, Count
from persimmonreach.membership import Member
from persimmonreach.packets import Outcome
from persimmonreach.requests._answers import AnswerParts
from persimmonreach.requests._events import RunAttempt
from persimmonreach.requests._records import (
    Ends,
    Record,
    RecordId,
    RequestState,
    Verdict,
)
from persimmonreach.requests._replies import ask_target, attempt_frame, cancel, replies
from persimmonreach.requests._retry import RetryBudget, RetryTargets
from persimmonreach.requests._settings import PACKET_COPY_LIFETIME_S, RequestSettings
from persimmonreach.requests._slots import AttemptId, AttemptSlots
from persimmonreach.requests._table import RecordTable

REASON_SATURATED: Final = 'saturated'


class Lifecycle:
    """Queue, records and slots of an agent, and the actions they cause.

    Parameters
    ----------
    agent
        The local agent.
    settings
        Bounds and times.
    limit
        Limit on the attempts that run at once.
    rng
        Random numbers of the choice of another agent.

    """

    def __init__(
        self,
        agent: AgentId,
        settings: RequestSettings,
        limit: ConcurrencyLimit,
        rng: Random,
    ) -> None:
        self.table = RecordTable(
            settings.max_records,
            settings.max_tombstones,
            settings.max_answer_bytes,
        )
        self.slots = AttemptSlots(limit)
        self.budget = RetryBudget(settings.retry_budget)
        self.targets = RetryTargets(agent, settings.saturated_s, rng)
        self._agent = agent
        self._settings = settings
        self._ends = Ends(settings.largest_deadline_ms, PACKET_COPY_LIFETIME_S)
        self._queue: dict[RecordId, None] = {}
        self._actions: list[Action] = []

    @property
    def agent(self) -> AgentId:
        """The local agent."""
        return self._agent

    @property
    def settings(self) -> RequestSettings:
        """Bounds and times."""
        return self._settings

    @property
    def ends(self) -> Ends:
        """Longest deadline and lifetime of copies in force."""
        return self._ends

    @property
    def has_queue(self) -> bool:
        """Whether a request waits for a slot."""
        return bool(self._queue)

    def configure(self, configuration: Configuration) -> None:
        """Use the figures that a newer configuration declares."""
        self.targets.change_zones(configuration.zones_out)
        for row in configuration.services:
            if row.service == self._settings.service:
                self.budget.configure(row.retry_budget)
                self._ends = self._ends._replace(
                    largest_deadline_ms=row.largest_deadline_ms,
                )

    def emit(self, *actions: Action) -> None:
        """Add actions to the result of the present event."""
        self._actions.extend(actions)

    def take_actions(self) -> tuple[Action, ...]:
        """Return the actions of the present event."""
        actions = tuple(self._actions)
        self._actions.clear()
        return actions

    def enqueue(self, record: Record, now: float) -> None:
        """Let a request wait for a slot if the queue has room."""
        if len(self._queue) >= self._settings.queue_size:
            self.fail(record, Verdict(Outcome.NOT_RUN, REASON_SATURATED, 0), now)
            return
        self._queue[record.name] = None
        self.start_queued(now)

    def start_queued(self, now: float) -> None:
        """Start waiting requests while slots are free."""
        while self._queue:
            record = self.table.find(next(iter(self._queue)))
            if now >= record.deadline:
                self.expire(record, now)
            elif not self.try_start(record, now):
                return

    def try_start(self, record: Record, now: float) -> bool:
        """Start the next local attempt and return whether a slot was free."""
        attempt = record.name.attempt or record.attempt + 1
        key, request_id = record.name.key, record.name.request_id
        if not self.slots.start(AttemptId(key, request_id, attempt), record.name, now):
            return False
        self._queue.pop(record.name, None)
        record = record._replace(
            state=RequestState.RUNNING,
            attempt=attempt,
            answer=AnswerParts(),
        )
        self.table.update(record)
        self.emit(RunAttempt(key, attempt_frame(record, now)))
        return True

    def ask_elsewhere(self, record: Record, now: float) -> None:
        """Send the present attempt to its target, or send it again."""
        self.table.update(record._replace(sent_at=now))
        self.emit(ask_target(self._agent, self._settings.service, record, now))

    def fail(self, record: Record, verdict: Verdict, now: float) -> None:
        """Retry at another agent after a failed attempt, or end the request.

        Parameters
        ----------
        record
            The request.
        verdict
            Outcome of the attempt; UNKNOWN unless it is proved not to have run.
        now
            Monotonic time in seconds.

        """
        if verdict.outcome is Outcome.UNKNOWN:
            record = record._replace(may_have_run=True)
        target = self._retry_target(record, now)
        if target is None:
            self.settle(record, verdict)
            return
        self._queue.pop(record.name, None)
        record = record._replace(
            state=RequestState.ELSEWHERE,
            attempt=record.attempt + 1,
            answer=AnswerParts(),
            target=target,
            tried=record.tried | {target.agent},
        )
        self.emit(Count('requests_retried'))
        self.ask_elsewhere(record, now)

    def expire(self, record: Record, now: float) -> None:
        """End a request whose time is over."""
        reason = 'cancelled' if record.is_cancelled else 'deadline'
        self.abandon(record, now)
        outcome = Outcome.UNKNOWN
        if record.state is RequestState.QUEUED:
            outcome = Outcome.NOT_RUN
        self.settle(record, Verdict(outcome, reason, record.attempt))

    def abandon(self, record: Record, now: float) -> None:
        """Cancel the present attempt; its slot stays taken for the grace time."""
        cancelled_at = record.cancelled_at
        result = AttemptResult.CANCELLED
        if cancelled_at is None:
            cancelled_at = now
            result = AttemptResult.TIMED_OUT
            self.emit(*cancel(self._agent, record))
        release_at = cancelled_at + self._settings.cancel_grace_s
        if record.state is RequestState.RUNNING:
            name = record.name
            attempt = AttemptId(name.key, name.request_id, record.attempt)
            self.slots.abandon(attempt, result, release_at)

    def settle(
        self, record: Record, verdict: Verdict, *, is_silent: bool = False
    ) -> None:
        """Give the request its single outcome."""
        if verdict.outcome is Outcome.NOT_RUN and record.may_have_run:
            verdict = verdict._replace(outcome=Outcome.UNKNOWN)
        self._queue.pop(record.name, None)
        record = record._replace(state=RequestState.DONE, verdict=verdict)
        self.table.finish(record)
        ending = verdict.outcome or 'answered'
        self.emit(Count(f'requests_{ending}'))
        if not is_silent:
            self.emit(*replies(self._agent, record))

    def _retry_target(self, record: Record, now: float) -> Member | None:
        is_safe = not record.may_have_run or record.frame.idempotent
        if self._settings.strict_retries and not is_safe:
            return None
        if record.origin or record.is_cancelled or now >= record.deadline:
            return None
        target = self.targets.choose(record, now)
        if target is None or self.budget.try_spend(now):
            return target
        self.emit(Count('retries_over_budget'))
        return None
