"""Admission queue of one backend server.

Load pattern: two classes that together exceed the capacity, and the surge after a
restart.
"""

from collections.abc import Iterable
from math import inf
from typing import Final

from persimmonreach.core import Deadlines, FlowKey
from persimmonreach.queueing._class_queue import ClassQueue
from persimmonreach.queueing._in_time_load import InTimeLoad
from persimmonreach.queueing._model import (
    MAX_OCCUPYING_PER_SLOT_STARVED,
    ClassRank,
    ExpectedWait,
    OfferDecision,
    OfferVerdict,
    ServerCapacity,
    WaitingFlow,
)
from persimmonreach.queueing._retry_share import RetryShare
from persimmonreach.queueing._shares import ClassShares
from persimmonreach.queueing.messages import OfferedClass
from persimmonreach.rules import LOWEST_PRIORITY

MAX_WAITING_FLOWS: Final = 256
# A caller whose SYN gets no response gives up this time after the first copy.
SYN_LIFETIME_S: Final = 1.4
# Service times without an admission after which the head of the queue is admitted.
_STARVED_SERVICE_TIMES: Final = 2
# Share of the time left within which a flow that misses its objective must be served. A
# refused caller has the rest of its time to try again.
_LATE_SHARE: Final = 0.5
# Covers the handshake of the backend server and its way to the caller between zones.
_OPENING_MARGIN_S: Final = 0.02
# Later deadlines of responses have no effect: a flow waits at most for the lifetime of
# its SYN, and responses after more than 4 s are not counted in service times.
_LATEST_DEADLINE_S: Final = 10
_MS_PER_S: Final = 1000


class AdmissionQueue:
    """New flows that wait for admission to one backend server, and their order.

    The owner offers flows, then alternates ``select`` and ``record_admission`` until
    none is selected, whenever the capacity may have changed.
    """

    def __init__(self) -> None:
        self._flows: dict[FlowKey, WaitingFlow] = {}
        self._classes: dict[ClassRank, ClassQueue] = {}
        self._shares = ClassShares()
        self._in_time_load = InTimeLoad()
        self._give_up_times: Deadlines[FlowKey] = Deadlines()
        self._response_times: Deadlines[FlowKey] = Deadlines()
        self._retry_share = RetryShare()
        self._offer_count = 0
        # Time of the last admission, or at which the first flow began to wait.
        self._idle_since = -inf

    def __len__(self) -> int:
        """Return the number of waiting flows."""
        return len(self._flows)

    @property
    def urgent_count(self) -> int:
        """Number of waiting flows of urgent classes."""
        return sum(
            len(waiting) for rank, waiting in self._classes.items() if rank.is_urgent
        )

    @property
    def flows(self) -> tuple[WaitingFlow, ...]:
        """All waiting flows, in the order in which they were offered."""
        return tuple(self._flows.values())

    def find(self, key: FlowKey) -> WaitingFlow | None:
        """Return a waiting flow; None if it does not wait."""
        return self._flows.get(key)

    def offer(
        self,
        key: FlowKey,
        offered_class: OfferedClass,
        capacity: ServerCapacity,
        now: float,
        *,
        may_wait: bool,
    ) -> OfferVerdict:
        """Decide on a flow that does not wait; record its admission or queue it.

        Parameters
        ----------
        key
            Key of the flow.
        offered_class
            Class of the flow, and the time it has left.
        capacity
            Capacity of the backend server.
        now
            Current time, in seconds.
        may_wait
            Whether the flow may be queued.

        """
        flow = self._make_flow(key, offered_class, now)
        is_forced = may_wait and self._is_forced(flow, capacity, now)
        if is_forced or self._is_admitted_at_once(flow, capacity):
            self._count_admission(flow, now)
            if flow.objective_at >= now + capacity.in_time_delay_s:
                self._in_time_load.record_flow(now)
            delay_s = capacity.expected_delay_s(capacity.occupying)
            return OfferVerdict(OfferDecision.ADMITTED, delay_s, capacity.occupying)
        wait = self._estimate_wait(flow, capacity, now)
        if not may_wait:
            return OfferVerdict(OfferDecision.DEFERRED, wait.delay_s, wait.ahead)
        if wait.is_worthwhile and len(self._flows) < MAX_WAITING_FLOWS:
            if wait.is_in_time:
                self._in_time_load.record_flow(now)
            self._add(flow, now)
            return OfferVerdict(OfferDecision.QUEUED, wait.delay_s, wait.ahead)
        return OfferVerdict(OfferDecision.OVERLOADED, wait.delay_s, wait.ahead)

    def expected_delay_s(
        self, flow: WaitingFlow, capacity: ServerCapacity, now: float
    ) -> float:
        """Return the time until the response to the request of a waiting flow."""
        # The flow itself is among those that wait.
        ahead = capacity.occupying + len(self._flows) - 1
        if flow.objective_at >= now + capacity.in_time_delay_s:
            ahead = min(ahead, self._count_ahead(flow, capacity, now))
        return capacity.expected_delay_s(ahead)

    def remove(self, key: FlowKey) -> WaitingFlow | None:
        """Remove a flow that is not to wait any longer, and return it."""
        flow = self._flows.pop(key, None)
        if flow is None:
            return None
        self._give_up_times.cancel(key)
        self._response_times.cancel(key)
        self._classes[flow.rank].remove(flow)
        self._retry_share.record_removal(flow)
        return flow

    def pop_unanswerable(
        self, capacity: ServerCapacity, now: float
    ) -> tuple[WaitingFlow, ...]:
        """Remove and return the flows whose callers need not wait any longer.

        These are the flows that could not be opened, or their requests not answered, in
        time even if the flow were the next to be admitted, and those that have missed
        their objective while the flows before them take more than half of the time that
        their caller has left.
        """
        keys = (
            *self._give_up_times.pop_due(now + _OPENING_MARGIN_S),
            *self._response_times.pop_due(now + capacity.next_delay_s),
        )
        removed_flows = [self.remove(key) for key in keys]
        for missed_flow in self._find_missed(capacity, now):
            ahead = capacity.occupying + len(self._flows) - 1
            delay_s = self._in_time_load.late_delay_s(capacity, ahead, now)
            if not missed_flow.is_servable(delay_s, capacity, now, _LATE_SHARE):
                removed_flows.append(self.remove(missed_flow.key))
        return tuple(flow for flow in removed_flows if flow is not None)

    def select(self, capacity: ServerCapacity, now: float) -> WaitingFlow | None:
        """Return the flow to admit now; None if all have to wait.

        Flows that can still meet their objective go first. Among these, and then among
        the others, the classes take turns by weight, and within a class the earliest
        objective goes first.
        """
        ranks = tuple(self._iter_admissible(capacity, now))
        if not ranks:
            return None
        in_time_from = now + capacity.in_time_delay_s
        flow = self._select_by_turn(
            self._classes[rank].select_in_time(
                in_time_from, may_retry=self._retry_share.may_admit_retry(rank)
            )
            for rank in ranks
        )
        if flow is not None:
            return flow
        return self._select_by_turn(
            self._classes[rank].select_late(
                in_time_from, may_retry=self._retry_share.may_admit_retry(rank)
            )
            for rank in ranks
        )

    def record_admission(self, flow: WaitingFlow, now: float) -> None:
        """Remove a selected flow and record its admission."""
        self.remove(flow.key)
        self._count_admission(flow, now)

    def next_change_at(self, capacity: ServerCapacity, now: float) -> float:
        """Return the next time at which a decision changes without other events.

        At that time a flow cannot be opened or answered any more, a flow misses its
        objective, or the head of the queue is admitted although the backend server is
        busy. Infinite if there is none.
        """
        if not self._flows:
            return inf
        starved_at = self._starved_at(capacity)
        objectives = [
            self._classes[rank].next_objective_at(now + capacity.service_s)
            for rank in self._iter_waiting()
        ]
        return min(
            self._give_up_times.next_at - _OPENING_MARGIN_S,
            self._response_times.next_at - capacity.next_delay_s,
            min(objectives) - capacity.service_s,
            starved_at if starved_at > now else inf,
        )

    def _make_flow(
        self, key: FlowKey, offered_class: OfferedClass, now: float
    ) -> WaitingFlow:
        self._offer_count += 1
        open_s = min(offered_class.open_ms / _MS_PER_S, SYN_LIFETIME_S)
        time_left_s = offered_class.time_left_ms / _MS_PER_S or inf
        return WaitingFlow(
            key,
            ClassRank(
                min(max(offered_class.priority, 0), LOWEST_PRIORITY),
                offered_class.is_urgent,
            ),
            offered_class.is_retry,
            now + offered_class.objective_ms / _MS_PER_S,
            now + open_s,
            now + time_left_s,
            now,
            self._offer_count,
        )

    def _is_admitted_at_once(self, flow: WaitingFlow, capacity: ServerCapacity) -> bool:
        is_below_limit = capacity.is_below(flow.rank.occupying_per_slot)
        may_go = not flow.is_retry or self._retry_share.may_admit_retry(flow.rank)
        return is_below_limit and may_go and self._is_first(flow)

    def _is_forced(self, flow: WaitingFlow, capacity: ServerCapacity, now: float) -> bool:
        """Return whether an urgent flow is admitted above the limit of its class."""
        is_in_time = now + capacity.present_delay_s <= flow.objective_at
        is_eligible = flow.rank.is_urgent and is_in_time and self._is_first(flow)
        return is_eligible and capacity.is_filled_by_streams

    def _is_first(self, flow: WaitingFlow) -> bool:
        """Return whether no flow of the same class or a better one waits."""
        return not any(
            rank.priority <= flow.rank.priority for rank in self._iter_waiting()
        )

    def _estimate_wait(
        self, flow: WaitingFlow, capacity: ServerCapacity, now: float
    ) -> ExpectedWait:
        ahead = self._count_ahead(flow, capacity, now)
        delay_s = capacity.expected_delay_s(ahead)
        is_answerable = flow.is_servable(delay_s, capacity, now)
        if now + delay_s + capacity.margin_s <= flow.objective_at:
            return ExpectedWait(delay_s, ahead, True, is_answerable)
        ahead = capacity.occupying + len(self._flows)
        delay_s = capacity.expected_delay_s(ahead)
        is_answerable = flow.is_servable(delay_s, capacity, now)
        if is_answerable and now + delay_s <= flow.objective_at:
            return ExpectedWait(delay_s, ahead, False, True)
        delay_s = self._in_time_load.late_delay_s(capacity, ahead, now)
        is_soon = flow.is_servable(delay_s, capacity, now, _LATE_SHARE)
        return ExpectedWait(delay_s, ahead, False, is_soon)

    def _add(self, flow: WaitingFlow, now: float) -> None:
        if not self._flows:
            self._idle_since = max(self._idle_since, now)
        waiting = self._classes.setdefault(flow.rank, ClassQueue())
        if not waiting:
            self._shares.join(flow.rank)
        waiting.add(flow)
        self._flows[flow.key] = flow
        self._give_up_times.schedule(flow.key, flow.gives_up_at)
        if flow.response_due_at <= now + _LATEST_DEADLINE_S:
            self._response_times.schedule(flow.key, flow.response_due_at)
        self._retry_share.record_waiting(flow)

    def _count_admission(self, flow: WaitingFlow, now: float) -> None:
        self._idle_since = now
        if not self._classes.get(flow.rank):
            self._shares.join(flow.rank)
        self._shares.record_admission(flow.rank)
        self._retry_share.record_admission(flow)

    def _count_ahead(
        self, flow: WaitingFlow, capacity: ServerCapacity, now: float
    ) -> int:
        """Return how many flows are served before one that can meet its objective."""
        in_time_from = now + capacity.in_time_delay_s
        own_class = self._classes.get(flow.rank)
        ahead = own_class.count_ahead(flow, in_time_from) if own_class else 0
        turns = ahead + 1
        for rank in self._iter_waiting():
            if rank != flow.rank:
                in_time_count = self._classes[rank].count_in_time(in_time_from)
                passing_count = int(turns * rank.weight / flow.rank.weight)
                ahead += min(in_time_count, passing_count)
        return capacity.occupying + ahead

    def _find_missed(self, capacity: ServerCapacity, now: float) -> list[WaitingFlow]:
        """Return the flows that would miss their objective in a free slot, last first."""
        missed_until = now + capacity.service_s
        return [
            flow
            for rank in sorted(self._iter_waiting(), reverse=True)
            for flow in reversed(self._classes[rank].flows_before(missed_until))
        ]

    def _iter_waiting(self) -> Iterable[ClassRank]:
        return (rank for rank, waiting in self._classes.items() if waiting)

    def _iter_admissible(
        self, capacity: ServerCapacity, now: float
    ) -> Iterable[ClassRank]:
        """Return the classes of which a flow may be admitted now.

        A class that was passed over for its whole share has the limit of urgent classes,
        because these can keep the backend server above the limit of the others.
        """
        is_starved = now >= self._starved_at(capacity)
        for rank in self._iter_waiting():
            limit = rank.occupying_per_slot
            if is_starved:
                limit = MAX_OCCUPYING_PER_SLOT_STARVED
            elif self._shares.is_overdue(rank):
                limit = ClassRank(rank.priority, is_urgent=True).occupying_per_slot
            if capacity.is_below(limit):
                yield rank

    def _select_by_turn(self, flows: Iterable[WaitingFlow | None]) -> WaitingFlow | None:
        candidates = [flow for flow in flows if flow is not None]
        return min(candidates, key=self._turn_order, default=None)

    def _turn_order(self, flow: WaitingFlow) -> tuple[float, int]:
        return self._shares.turn_of(flow.rank), flow.rank.priority

    def _starved_at(self, capacity: ServerCapacity) -> float:
        return self._idle_since + _STARVED_SERVICE_TIMES * capacity.service_s
