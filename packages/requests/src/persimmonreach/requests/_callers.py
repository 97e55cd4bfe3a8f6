"""Requests, cancellations and ended flows of callers."""

from typing import final

from persimmonreach.core import Count
from persimmonreach.packets import Outcome
from persimmonreach.requests._events import CancelArrived, FlowEnded, RequestArrived
from persimmonreach.requests._lifecycle import Lifecycle
from persimmonreach.requests._records import (
    Record,
    RecordId,
    RequestState,
    Verdict,
    open_record,
)
from persimmonreach.requests._replies import cancel, replies


@final
class CallerSide:
    """Handles what comes from callers.

    Parameters
    ----------
    lifecycle
        Requests of the agent.

    """

    def __init__(self, lifecycle: Lifecycle) -> None:
        self._requests = lifecycle

    def request(
        self,
        event: RequestArrived,
        refusal: Verdict | None,
        now: float,
    ) -> None:
        """Queue a new request; a copy of a known one waits or is answered again.

        Parameters
        ----------
        event
            The request.
        refusal
            Outcome of requests that must not run at present.
        now
            Monotonic time in seconds.

        """
        name = RecordId(event.key, event.frame.request_id)
        known = self._requests.table.find(name)
        if known is not None and self._is_copy(known):
            self._requests.emit(Count('requests_repeated'))
            if known.verdict is not None:
                self._requests.emit(*replies(self._requests.agent, known))
            return
        self._requests.budget.note_request(now)
        record = open_record(name, event.frame, now, self._requests.ends)
        if self._requests.table.add(record):
            self._begin(record, refusal, now)
        else:
            self._refuse(record)

    def cancel(self, event: CancelArrived, now: float) -> None:
        """End a queued request; cancel a running one and wait for its outcome."""
        record = self._requests.table.find(RecordId(event.key, event.frame.request_id))
        if record is None or record.verdict is not None:
            self._requests.emit(Count('cancellations_late'))
            return
        self.cancel_record(record, now)

    def cancel_record(self, record: Record, now: float) -> None:
        """Cancel an open request."""
        if record.is_cancelled:
            return
        if record.state is RequestState.QUEUED:
            self._requests.expire(record._replace(cancelled_at=now), now)
            return
        self._requests.emit(*cancel(self._requests.agent, record))
        grace_ends = now + self._requests.settings.cancel_grace_s
        self._requests.table.update(
            record._replace(
                cancelled_at=now,
                gives_up_at=min(record.deadline, grace_ends),
            ),
        )

    def end_flow(self, event: FlowEnded, now: float) -> None:
        """Cancel the requests of the flow without a reply."""
        for record in self._requests.table.open_records():
            if record.name.key == event.key and record.origin is None:
                self._end_silently(record, now)

    def _end_silently(self, record: Record, now: float) -> None:
        if not record.is_cancelled:
            self._requests.emit(*cancel(self._requests.agent, record))
            record = record._replace(cancelled_at=now)
        self._requests.abandon(record, now)
        verdict = Verdict(Outcome.UNKNOWN, 'flow_ended', record.attempt)
        self._requests.settle(record, verdict, is_silent=True)

    def _begin(self, record: Record, refusal: Verdict | None, now: float) -> None:
        if refusal:
            self._requests.settle(record, refusal)
        elif now >= record.deadline:
            self._requests.expire(record, now)
        else:
            self._requests.enqueue(record, now)

    def _is_copy(self, known: Record) -> bool:
        return self._requests.settings.deduplicate or known.verdict is None

    def _refuse(self, record: Record) -> None:
        """Refuse a request for which the table has no room.

        The refusal is only called "not run" if it can be remembered: a copy
        that arrives later must not run.
        """
        refused = record._replace(verdict=Verdict(Outcome.NOT_RUN, 'table_full', 0))
        if not self._requests.table.add_tombstone(refused):
            verdict = Verdict(Outcome.UNKNOWN, 'table_full', 0)
            refused = refused._replace(verdict=verdict)
        self._requests.emit(Count('requests_table_full'))
        self._requests.emit(*replies(self._requests.agent, refused))
