"""Requests of one agent."""

from random import Random
from typing import Final, final

from persimmonreach.admission import (
    BackendReported,
    BackendState,
    ConcurrencyLimit,
    FlowsAdopted,
)
from persimmonreach.configuration import ConfigurationChanged
from persimmonreach.core import (
    Action,
    AgentId,
    Event,
    Received,
    StateMachine,
    Tick,
)
from persimmonreach.membership import ViewChanged, ViewConfirmed
from persimmonreach.packets import Outcome
from persimmonreach.requests._backend import BackendSide
from persimmonreach.requests._callers import CallerSide
from persimmonreach.requests._delegation import PeerSide
from persimmonreach.requests._events import (
    BackendAnswered,
    BackendLost,
    BackendRefused,
    CancelArrived,
    DrainStarted,
    FlowEnded,
    RequestArrived,
    StopRequested,
)
from persimmonreach.requests._lifecycle import Lifecycle
from persimmonreach.requests._records import RecordId, RequestState, Verdict
from persimmonreach.requests._settings import RequestSettings
from persimmonreach.requests._succession import Succession
from persimmonreach.requests.messages import (
    CancelElsewhere,
    RunElsewhere,
    RunOutcome,
)

# A backend server that comes back is cold, whatever it reports first.
_DOWN: Final = BackendReported(BackendState.DOWN, 0)
_LOST: Final = Verdict(Outcome.NOT_RUN, 'backend_lost', 0)
_DRAINING: Final = Verdict(Outcome.NOT_RUN, 'draining', 0)
_MS_PER_S: Final = 1000
# Ticks come several times a second; a longer gap is a pause of the process.
_MAX_GAP_S: Final = 1


@final
class Requests(StateMachine):
    """Runs each request at most once and gives it exactly one outcome.

    Handles RequestArrived, CancelArrived, BackendAnswered, BackendRefused,
    BackendLost, BackendReported, FlowEnded, DrainStarted, StopRequested,
    FlowsAdopted, ViewChanged, ViewConfirmed, ConfigurationChanged, Received and
    Tick. Ticks must come several times a second.

    Parameters
    ----------
    agent
        The local agent.
    settings
        Bounds and times.
    limit
        Limit on the attempts that run at once at the local backend server.
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
        self._settings = settings
        self._limit = limit
        self._requests = Lifecycle(agent, settings, limit, rng)
        self._callers = CallerSide(self._requests)
        self._backend = BackendSide(self._requests)
        self._peers = PeerSide(self._requests, self._callers)
        self._succession = Succession(agent, self._requests)
        self._is_lost = False
        self._is_draining = False
        self._is_zone_out = False
        self._started_at: float | None = None
        self._last_event_at: float = 0

    @property
    def has_work(self) -> bool:
        """Whether a request has no outcome yet."""
        return self._requests.table.has_open

    @property
    def is_sealed(self) -> bool:
        """Whether nothing runs any more and another agent keeps the records."""
        return self._succession.is_done

    @property
    def records(self) -> int:
        """Number of records kept."""
        return len(self._requests.table)

    def handle(self, event: Event, now: float) -> tuple[Action, ...]:
        """Return the actions that ``event`` causes."""
        if self._started_at is None:
            self._started_at = now
            self._last_event_at = now
        self._note_pause(now)
        self._handle_one(event, now)
        self._requests.start_queued(now)
        return self._requests.take_actions()

    def _note_pause(self, now: float) -> None:
        """Keep records for copies that waited in the socket during a pause."""
        gap = now - self._last_event_at
        self._last_event_at = now
        if gap > _MAX_GAP_S:
            self._requests.table.postpone(gap)

    def _handle_one(self, event: Event, now: float) -> None:
        match event:
            case RequestArrived():
                self._request(event, now)
            case CancelArrived():
                self._callers.cancel(event, now)
            case FlowEnded():
                self._succession.end_flow(event.key)
                self._callers.end_flow(event, now)
            case Received():
                self._receive(event, now)
            case Tick():
                self._tick(now)
            case _:
                self._handle_backend(event, now)

    def _handle_backend(self, event: Event, now: float) -> None:
        match event:
            case BackendAnswered():
                self._backend.answered(event, now)
            case BackendRefused():
                self._backend.refused(event, now)
            case BackendLost():
                self._is_lost = True
                self._backend.lost(now)
                self._limit.observe(_DOWN, now)
            case BackendReported():
                self._limit.observe(event, now)
                self._is_lost = self._is_lost and event.state is BackendState.DOWN
            case _:
                self._change(event, now)

    def _change(self, event: Event, now: float) -> None:
        match event:
            case DrainStarted():
                self._is_draining = True
            case FlowsAdopted():
                self._succession.note_adopted(len(event.keys))
            case StopRequested():
                self._is_draining = True
                self._succession.stop()
            case ViewChanged():
                self._requests.targets.change_view(event.view)
                self._succession.change_view(event.view)
                self._peers.change_targets(now)
            case ViewConfirmed():
                self._succession.confirm_view(event.digest)
            case ConfigurationChanged():
                zones_out = event.configuration.zones_out
                self._is_zone_out = self._settings.zone in zones_out
                self._requests.configure(event.configuration)

    def _receive(self, event: Received, now: float) -> None:
        match event.message:
            case RunElsewhere():
                self._peers.run(event, self._peer_refusal, now)
            case RunOutcome():
                self._peers.outcome(event.message, now)
            case CancelElsewhere():
                self._peers.cancel(event.message, now)
            case _:
                self._succession.receive(event, now)

    def _tick(self, now: float) -> None:
        for record in self._requests.table.open_records():
            if now >= record.gives_up_at:
                self._requests.expire(record, now)
            elif record.state is RequestState.ELSEWHERE:
                if now >= record.sent_at + self._settings.repeat_s:
                    self._requests.ask_elsewhere(record, now)
        self._succession.tick(now, is_recent=self._is_recent(now))
        for event in self._succession.take_deferred(now):
            self._callers.request(event, self._request_refusal(event, now), now)
        self._requests.slots.expire(now)
        self._requests.table.expire(now)

    @property
    def _peer_refusal(self) -> Verdict | None:
        if self._is_lost:
            return _LOST
        return _DRAINING if self._is_draining or self._is_zone_out else None

    def _request(self, event: RequestArrived, now: float) -> None:
        name = RecordId(event.key, event.frame.request_id)
        is_known = self._requests.table.find(name) is not None
        if not is_known and self._succession.defers(event, now):
            return
        self._callers.request(event, self._request_refusal(event, now), now)

    def _request_refusal(self, event: RequestArrived, now: float) -> Verdict | None:
        """Return the outcome of a request that must not run at present.

        After a restart of the agent, an earlier copy of a request on an adopted
        flow may have run; copies arrive for the largest deadline and the
        lifetime of a copy. The records of a predecessor that stopped gracefully
        tell which requests these are.
        """
        refusal = _LOST if self._is_lost else None
        if self._succession.is_stopping:
            return self._succession.refusal(event)
        is_recent = self._is_recent(now)
        if event.adopted and is_recent and not event.frame.idempotent:
            refusal = self._succession.refusal(event) or refusal
        return refusal

    def _is_recent(self, now: float) -> bool:
        """Return whether copies of a predecessor's requests may still arrive."""
        ends = self._requests.ends
        window_s = ends.largest_deadline_ms / _MS_PER_S + ends.copy_lifetime_s
        return now < self._started_at + window_s
