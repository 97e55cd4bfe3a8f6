"""New flows that wait at an agent for admission to its backend server."""

from collections.abc import Callable
from math import ceil, inf
from typing import Any, Final, NamedTuple, TypeAlias

from persimmonreach.core import (
    Action,
    Count,
    Endpoint,
    FlowKey,
    LogDecision,
    Send,
)
from persimmonreach.forwarding._admission import FlowAdmission
from persimmonreach.packets import PacketHeader
from persimmonreach.placement import RefusalReason
from persimmonreach.queueing import (
    AdmissionQueue,
    ClassedOffer,
    FlowDeferred,
    FlowQueued,
    OfferDecision,
    OfferedClass,
    ServerCapacity,
    WaitingFlow,
)

# Returns the expected service time in seconds, given the latency objective in seconds.
ServiceTime: TypeAlias = Callable[[float], float]

# Objective that is assumed until a flow with an objective is offered.
_DEFAULT_OBJECTIVE_S: Final = 1.0
# A wake-up that is due at once would not make progress if it changed nothing.
_MIN_WAKE_DELAY_S: Final = 0.001
# Flows that are late wait only while their callers have enough time left.
_EVALUATION_INTERVAL_S: Final = 0.1
_WAIT_LIMITS_MS: Final = (20, 50, 100, 200, 500)
_MS_PER_S: Final = 1000


class SynOffer(NamedTuple):
    """Offer of a flow whose SYN may be delivered later.

    Attributes
    ----------
    sender
        Entry instance that offered the flow last.
    offer
        Its offer.
    header
        Header of the SYN.

    """

    sender: Endpoint
    offer: ClassedOffer
    header: PacketHeader


class Release(NamedTuple):
    """Outcome of an attempt to admit the next waiting flow.

    Attributes
    ----------
    admitted
        Flow to deliver; None if the flow was refused.
    actions
        Actions that report the outcome.

    """

    admitted: SynOffer | None
    actions: tuple[Action, ...]


class WaitingFlows:
    """Answers offers of flows with a class, and keeps the flows that wait.

    Parameters
    ----------
    admission
        All other limits of the backend server, and its capacity.
    service_s
        Expected service time of one request.

    """

    def __init__(self, admission: FlowAdmission, service_s: ServiceTime) -> None:
        self._admission = admission
        self._service_s = service_s
        # Longest time to the objective of a first attempt; 0 before the first one.
        self._objective_s: float = 0
        self._queue = AdmissionQueue()
        self._offers: dict[FlowKey, SynOffer] = {}
        self._wake_at = inf
        # Capacity for which all flows have to wait; None if that is not known.
        self._evaluated_capacity: ServerCapacity | None = None
        self._evaluated_at = -inf

    def __len__(self) -> int:
        """Return the number of waiting flows."""
        return len(self._queue)

    @property
    def wake_at(self) -> float:
        """Time at which ``refuse_ended`` and ``admit_next`` are due."""
        return self._wake_at if self._offers else inf

    @property
    def gauges(self) -> dict[str, float]:
        """Current values of the gauges, by metric name."""
        return {
            'flows_waiting': len(self._queue),
            'flows_waiting_urgent': self._queue.urgent_count,
        }

    def is_due(self, now: float) -> bool:
        """Return whether waiting flows may have to be refused or admitted.

        Most packets change nothing that the decisions depend on.
        """
        if not self._offers:
            return False
        return (
            now >= min(self._wake_at, self._evaluated_at + _EVALUATION_INTERVAL_S)
            or self._admission.unavailability is not None
            or self._capacity_at(now) != self._evaluated_capacity
        )

    def offer(
        self, syn: SynOffer, now: float, *, was_delivered: bool
    ) -> tuple[bool, tuple[Action, ...]]:
        """Decide on a flow that is not known; return whether it is admitted.

        Parameters
        ----------
        syn
            Offer of the flow.
        now
            Current time, in seconds.
        was_delivered
            Whether its SYN may have been delivered before. Such a flow neither waits nor
            is it refused as overloaded, because it may have been opened.

        Returns
        -------
        tuple
            Whether the flow is admitted, and the actions that answer the offer.

        """
        key = syn.header.key
        self._evaluated_capacity = None
        self._discard_replaced(syn)
        waiting_flow = self._queue.find(key)
        if waiting_flow is not None:
            return False, self._answer_repeated(syn, waiting_flow, now)
        reason = self._admission.check(syn.offer.limits, now)
        if reason is not None:
            return False, self._admission.refuse(syn.sender, key, reason, now)
        offered_class = syn.offer.offered_class
        self._record_objective(offered_class)
        verdict = self._queue.offer(
            key,
            offered_class,
            self._capacity_at(now),
            now,
            may_wait=syn.offer.may_wait and not was_delivered,
        )
        if verdict.decision is OfferDecision.ADMITTED:
            self._admission.record_admission(now)
            return True, ()
        if was_delivered:
            return False, self._admission.refuse(syn.sender, key, RefusalReason.BUSY, now)
        wait_ms = _to_ms(verdict.delay_s)
        inputs = {
            'class': offered_class.priority,
            'wait_ms': wait_ms,
            'ahead': verdict.ahead,
        }
        if verdict.decision is OfferDecision.OVERLOADED:
            return False, self._admission.refuse(
                syn.sender, key, RefusalReason.OVERLOADED, now, inputs
            )
        if verdict.decision is OfferDecision.DEFERRED:
            deferral = FlowDeferred(key, self._admission.agent, wait_ms)
            return False, (Send(syn.sender, deferral), Count('flows_deferred'))
        self._offers[key] = syn
        return False, (
            Send(syn.sender, FlowQueued(key, self._admission.agent, wait_ms)),
            Count('flows_queued'),
            LogDecision('flow_queued', key, 'queued', inputs),
        )

    def discard(self, key: FlowKey) -> None:
        """Remove a flow that was withdrawn or admitted otherwise, if it waits."""
        if self._offers.pop(key, None) is not None:
            self._evaluated_capacity = None
            self._queue.remove(key)

    def refuse_ended(self, now: float) -> tuple[Action, ...]:
        """Refuse the flows that can no longer be admitted or answered in time."""
        reason = self._admission.unavailability
        if reason is not None:
            return self._refuse_all(reason, now)
        actions: list[Action] = []
        for flow in self._queue.pop_unanswerable(self._capacity_at(now), now):
            syn = self._offers.pop(flow.key)
            if now >= flow.gives_up_at:
                actions.append(Count('flows_given_up'))
            elif not self._admission.holds(flow.key):
                actions.extend(self._refuse(syn, flow, RefusalReason.OVERLOADED, now))
        return tuple(actions)

    def admit_next(self, now: float) -> Release | None:
        """Admit or refuse the next flow; return None if all have to wait."""
        capacity = self._capacity_at(now)
        flow = self._queue.select(capacity, now)
        reason = self._admission.check_again(now) if flow else None
        if flow is None or reason is RefusalReason.COLD:
            self._schedule_wake(capacity, now)
            self._evaluated_capacity = None if flow else capacity
            self._evaluated_at = now
            return None
        syn = self._offers.pop(flow.key)
        if reason is not None:
            self._queue.remove(flow.key)
            return Release(None, self._refuse(syn, flow, reason, now))
        self._queue.record_admission(flow, now)
        self._admission.record_admission(now)
        waited_ms = _to_ms(now - flow.offered_at)
        inputs = {
            'waited_ms': waited_ms,
            'class': flow.rank.priority,
            'ahead': capacity.occupying,
        }
        actions = (
            Count(_wait_counter(waited_ms)),
            LogDecision('flow_admitted_late', flow.key, 'admitted', inputs),
        )
        return Release(syn, actions)

    def _discard_replaced(self, syn: SynOffer) -> None:
        """Remove a waiting flow whose caller has opened another one from its port."""
        waiting = self._offers.get(syn.header.key)
        if waiting is not None and waiting.header.sequence != syn.header.sequence:
            self.discard(syn.header.key)

    def _answer_repeated(
        self, syn: SynOffer, flow: WaitingFlow, now: float
    ) -> tuple[Action, ...]:
        self._offers[flow.key] = syn
        delay_s = self._queue.expected_delay_s(flow, self._capacity_at(now), now)
        message = FlowQueued(flow.key, self._admission.agent, _to_ms(delay_s))
        return (Send(syn.sender, message),)

    def _record_objective(self, offered_class: OfferedClass) -> None:
        """Keep the objective of first attempts, for the prior service time.

        An offer states only what is left of it, so the longest time is the best guess.
        """
        if not offered_class.is_retry:
            objective_s = offered_class.objective_ms / _MS_PER_S
            self._objective_s = max(self._objective_s, objective_s)

    def _capacity_at(self, now: float) -> ServerCapacity:
        return self._admission.capacity(
            self._service_s(self._objective_s or _DEFAULT_OBJECTIVE_S), now
        )

    def _schedule_wake(self, capacity: ServerCapacity, now: float) -> None:
        next_change_at = min(
            self._queue.next_change_at(capacity, now),
            self._admission.next_change_at(now),
        )
        self._wake_at = max(next_change_at, now + _MIN_WAKE_DELAY_S)

    def _refuse_all(self, reason: RefusalReason, now: float) -> tuple[Action, ...]:
        actions: list[Action] = []
        for flow in self._queue.flows:
            self._queue.remove(flow.key)
            actions.extend(self._refuse(self._offers.pop(flow.key), flow, reason, now))
        return tuple(actions)

    def _refuse(
        self, syn: SynOffer, flow: WaitingFlow, reason: RefusalReason, now: float
    ) -> tuple[Action, ...]:
        inputs: dict[str, Any] = {
            'class': flow.rank.priority,
            'waited_ms': _to_ms(now - flow.offered_at),
        }
        return self._admission.refuse(syn.sender, flow.key, reason, now, inputs)


def _to_ms(duration_s: float) -> int:
    return ceil(duration_s * _MS_PER_S)


def _wait_counter(waited_ms: int) -> str:
    for limit_ms in _WAIT_LIMITS_MS:
        if waited_ms <= limit_ms:
            return f'waits_up_to_{limit_ms}_ms'
    return 'waits_longer'
