"""Succession of agent processes beside one backend server."""

from typing import Final, final

from persimmonreach.core import AgentId, Count, FlowKey, Received
from persimmonreach.membership import View
from persimmonreach.packets import Outcome
from persimmonreach.requests._events import RequestArrived
from persimmonreach.requests._held import HeldRequests
from persimmonreach.requests._inheriting import Inheritance, Inheritor
from persimmonreach.requests._keeping import Keeper
from persimmonreach.requests._lifecycle import Lifecycle
from persimmonreach.requests._records import Verdict
from persimmonreach.requests._sealing import Sealer, digest_of
from persimmonreach.requests.messages import (
    HeldRecords,
    KeepRecords,
    RecordsKept,
    WantRecords,
)

_RESTARTED: Final = Verdict(Outcome.UNKNOWN, 'agent_restarted', 0)
# A request with less time left is answered by the stopping agent: its caller
# may not send it again before the deadline.
_LAST_REPLY_MS: Final = 600


@final
class Succession:
    """Records that outlive an agent process that stops gracefully.

    Parameters
    ----------
    agent
        The local agent.
    lifecycle
        Requests of the agent.

    """

    def __init__(self, agent: AgentId, lifecycle: Lifecycle) -> None:
        self._agent = agent
        self._requests = lifecycle
        self._sealer = Sealer(agent)
        self._keeper = Keeper(agent)
        self._inheritor = Inheritor(agent)
        self._held = HeldRequests()
        self._view: View | None = None
        self._is_stopping = False
        self._has_predecessor = True

    @property
    def is_stopping(self) -> bool:
        """Whether new requests get no reply any more."""
        return self._is_stopping

    @property
    def is_done(self) -> bool:
        """Whether the records are sealed and kept elsewhere."""
        return self._sealer.is_done

    def stop(self) -> None:
        """Take no new requests and seal the records after the last one."""
        self._is_stopping = True

    def note_adopted(self, flows: int) -> None:
        """Note how many flows were open when the agent started."""
        self._has_predecessor = flows > 0

    def change_view(self, view: View) -> None:
        """Use the members of a new view."""
        self._view = view
        self._inheritor.change_view(view)

    def confirm_view(self, digest: int) -> None:
        """Note that a majority of registrars has the view with this digest."""
        self._inheritor.confirm_view(digest)

    def receive(self, event: Received, now: float) -> None:
        """Handle one message about records."""
        message = event.message
        match message:
            case KeepRecords():
                actions = self._keeper.keep(event.sender, message, now)
                self._requests.emit(*actions)
            case RecordsKept():
                self._confirm(event)
            case WantRecords():
                actions = self._keeper.answer(event.sender, message, now)
                self._requests.emit(*actions)
            case HeldRecords():
                self._inheritor.answered(message)

    def tick(self, now: float, *, is_recent: bool) -> None:
        """Seal after the last request, and repeat messages.

        Parameters
        ----------
        now
            Monotonic time in seconds.
        is_recent
            Whether copies of requests of the predecessor may still arrive.

        """
        self._keeper.expire(now)
        if self._is_stopping and not self._sealer.is_started:
            self._seal(is_recent)
        self._requests.emit(*self._sealer.tick(now), *self._inheritor.tick(now))

    def defers(self, event: RequestArrived, now: float) -> bool:
        """Return whether the request gets its reply later or elsewhere."""
        if self._is_stopping:
            self._requests.emit(Count('requests_left_to_successor'))
            return event.frame.deadline_ms > _LAST_REPLY_MS
        waits = self._inheritor.state is Inheritance.WAITING
        if not waits or not event.adopted or event.frame.idempotent:
            return False
        return self._held.hold(event, now)

    def end_flow(self, key: FlowKey) -> None:
        """Forget the requests of a flow that has ended."""
        self._held.release(key)

    def take_deferred(self, now: float) -> list[RequestArrived]:
        """Return the requests that have to be decided now."""
        is_known = self._inheritor.state is not Inheritance.WAITING
        return self._held.take(now, is_known=is_known)

    def refusal(self, event: RequestArrived) -> Verdict | None:
        """Return the outcome of a request that another process may run or has run."""
        if self._inheritor.state is Inheritance.KNOWN:
            frame = event.frame
            if not self._inheritor.has_seen(event.key, frame.request_id):
                return None
        return _RESTARTED

    @property
    def _knows_all(self) -> bool:
        """Whether the records include those of all predecessors."""
        is_known = self._inheritor.state is Inheritance.KNOWN
        return is_known or not self._has_predecessor

    def _seal(self, is_recent: bool) -> None:
        if self._requests.table.has_open or self._view is None:
            return
        if is_recent and not self._knows_all:
            self._sealer.skip()
            return
        digests = {
            digest_of(record.name.key, record.name.request_id)
            for record in self._requests.table.all_records()
            if record.origin is None
        }
        digests |= self._inheritor.digests
        incarnation = self._requests.targets.incarnation
        others = [
            row
            for row in self._view.members
            if row.is_eligible and row.agent != self._agent
        ]
        self._sealer.start(sorted(digests), incarnation, others)
        self._requests.emit(Count('records_sealed'))

    def _confirm(self, event: Received) -> None:
        rows = self._view.members if self._view else ()
        for row in rows:
            if row.endpoint == event.sender:
                self._sealer.kept(row.agent, event.message)
