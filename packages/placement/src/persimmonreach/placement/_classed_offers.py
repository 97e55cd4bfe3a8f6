"""Offers of new flows with a class of service.

Load pattern: classes that together exceed the capacity of a service. A flow waits in
the queue of one agent, or is rejected at once.
"""

from math import floor
from typing import Final

from persimmonreach.core import Action, AgentId, Count, Send
from persimmonreach.placement._classed_selection import (
    ClassedSelection,
    NextOffer,
)
from persimmonreach.placement._endings import PlacementEndings
from persimmonreach.placement._offer_procedure import (
    OFFER_TIMEOUT_S,
    RETRY_DELAY_S,
    TEMPORARY_REASONS,
    OfferProcedure,
)
from persimmonreach.placement._offerable_agents import OfferableAgents
from persimmonreach.placement._pending import PendingFlow, PendingFlows
from persimmonreach.placement._returning_callers import ReturningCallers
from persimmonreach.placement.messages import FlowRefused, RefusalReason
from persimmonreach.queueing import (
    ClassedOffer,
    FlowDeferred,
    FlowQueued,
)

# Interval of the repeated offers that show whether the agent still has a queued flow.
QUEUE_CHECK_INTERVAL_S: Final = 0.15
# Delay before the next round if the agents are overloaded and the flow cannot be
# rejected, for example because one of them has not responded. Longer than
# RETRY_DELAY_S, since each round adds up to six offers to the load.
OVERLOADED_RETRY_DELAY_S: Final = 0.15
# Delay before an agent whose backend server was down is asked again. It reports at once
# to be ready, but that message may be lost.
UNREADY_RETRY_DELAY_S: Final = 0.3
# Reasons that an agent reports in its status, too.
_UNREADY_REASONS: Final = frozenset((RefusalReason.DOWN, RefusalReason.STOPPING))
# Rounds start at multiples of RETRY_DELAY_S, so that flows that wait for the same
# agents are offered together, ordered by class. The next round starts after at least
# this share of the delay.
_MIN_DELAY_SHARE: Final = 0.5


class ClassedOffers(OfferProcedure):
    """Asks agents to admit a flow at once, then to queue it, and else rejects it.

    Parameters
    ----------
    agents
        Agents to which flows are offered.
    pending_flows
        Flows that are being placed.
    endings
        Ends of placements.
    selection
        Selects the next offer of a flow.

    """

    def __init__(
        self,
        agents: OfferableAgents,
        pending_flows: PendingFlows,
        endings: PlacementEndings,
        selection: ClassedSelection,
    ) -> None:
        self._agents = agents
        self._pending_flows = pending_flows
        self._endings = endings
        self._selection = selection
        self._returning_callers = ReturningCallers()

    def start(self, pending: PendingFlow, now: float) -> tuple[Action, ...]:
        """Offer a new flow to the first agent."""
        event = pending.event
        callers = self._returning_callers
        pending.progress.may_be_open = event.age_s > 0 and not callers.has_rejected(
            event.source, event.key, now
        )
        if not callers.is_retry(event.source, event.key, now):
            return self._offer_next(pending, now)
        pending.progress.is_retry = True
        return (Count('retries_seen'), *self._offer_next(pending, now))

    def on_syn_copy(self, pending: PendingFlow, now: float) -> tuple[Action, ...]:
        """Repeat the offer to the agent at which the flow waits."""
        progress = pending.progress
        if progress.is_queued and not progress.is_checking:
            return self._check_queue(pending, now)
        return ()

    def on_refused(
        self, pending: PendingFlow, refusal: FlowRefused, now: float
    ) -> tuple[Action, ...]:
        """Offer the flow elsewhere if the current agent refused it."""
        progress = pending.progress
        reason = RefusalReason(refusal.reason)
        if reason is RefusalReason.BUSY and self._selection.is_capable(refusal.agent):
            # Such an agent refuses only flows as busy whose SYN it has delivered.
            progress.offers.record_delivered(refusal.agent)
        else:
            progress.record_denial(refusal.agent)
        is_overloaded = reason is RefusalReason.OVERLOADED
        is_current = pending.current_agent == refusal.agent
        if is_current and progress.is_queued and not is_overloaded:
            # The waits that others have reported are outdated.
            _restart_round(pending)
        pending.may_accept_later |= reason in TEMPORARY_REASONS
        if reason is RefusalReason.BUSY:
            pending.busy_loads[refusal.agent] = refusal.load
        if reason in _UNREADY_REASONS:
            progress.unready_agents[refusal.agent] = now + UNREADY_RETRY_DELAY_S
        if is_overloaded or reason is RefusalReason.BUSY:
            progress.round.record_load_refusal(is_overloaded=is_overloaded)
        if not is_current:
            return self._settle_round(pending, now)
        progress.leave_queue(now)
        return self._offer_next(pending, now)

    def on_deferred(
        self, pending: PendingFlow, deferral: FlowDeferred, now: float
    ) -> tuple[Action, ...]:
        """Offer the flow to the next agent if the current one deferred it."""
        progress = pending.progress
        progress.record_denial(deferral.agent)
        is_current = pending.current_agent == deferral.agent
        if is_current and progress.is_asked_to_wait:
            # The response to an earlier offer.
            return ()
        progress.record_deferral(deferral.agent, deferral.wait_ms)
        if is_current:
            return self._offer_next(pending, now)
        return self._settle_round(pending, now)

    def on_queued(
        self, pending: PendingFlow, queued: FlowQueued, now: float
    ) -> tuple[Action, ...]:
        """Leave the flow in the queue of an agent, unless it waits at another one."""
        progress = pending.progress
        progress.offers.record_queued(queued.agent)
        if pending.current_agent in {None, queued.agent}:
            return self._wait_at(pending, queued.agent, now)
        if progress.is_queued:
            return self._endings.withdraw(pending, pending.current_agent)
        progress.queued_elsewhere = queued.agent
        return ()

    def on_due(self, pending: PendingFlow, now: float) -> tuple[Action, ...]:
        """Check a queued flow, offer a flow elsewhere, or start the next round."""
        progress = pending.progress
        if pending.current_agent is None:
            return self._start_round(pending, now)
        if now >= pending.gives_up_at:
            return self._endings.drop(pending, now)
        if progress.is_queued and not progress.is_checking:
            return self._check_queue(pending, now)
        self._agents.mark_suspected(pending.current_agent, now)
        if progress.is_queued:
            return (
                Count('queue_checks_unanswered'),
                *self._leave_queue(pending, now),
            )
        pending.may_accept_later = True
        return (Count('offers_unanswered'), *self._offer_next(pending, now))

    def _start_round(self, pending: PendingFlow, now: float) -> tuple[Action, ...]:
        progress = pending.progress
        if self._is_certainly_overloaded(pending, now):
            return self._reject_overloaded(pending, now)
        progress.start_round()
        return self._offer_next(pending, now)

    def _offer_next(self, pending: PendingFlow, now: float) -> tuple[Action, ...]:
        progress = pending.progress
        if now >= pending.gives_up_at:
            return self._endings.drop(pending, now)
        if progress.queued_elsewhere is not None:
            return self._wait_at(pending, progress.queued_elsewhere, now)
        next_offer = self._selection.select(pending, now)
        return self._send_or_end_round(pending, next_offer, now)

    def _send_or_end_round(
        self, pending: PendingFlow, next_offer: NextOffer | None, now: float
    ) -> tuple[Action, ...]:
        if next_offer is None:
            return self._end_round(pending, now)
        record, offer = next_offer
        may_wait = isinstance(offer, ClassedOffer) and offer.may_wait
        answer_due_at = now + OFFER_TIMEOUT_S
        pending.progress.record_offer(record.agent, answer_due_at, may_wait=may_wait)
        self._pending_flows.record_offer(pending, record.agent, answer_due_at)
        return (Send(record.endpoint, offer),)

    def _wait_at(
        self, pending: PendingFlow, agent: AgentId, now: float
    ) -> tuple[Action, ...]:
        """Leave the flow in the queue of an agent until the next check."""
        progress = pending.progress
        is_new = not progress.is_queued
        progress.enter_queue(now)
        pending.current_agent = agent
        check_at = min(now + QUEUE_CHECK_INTERVAL_S, pending.gives_up_at)
        self._pending_flows.schedule(pending, check_at)
        if not is_new:
            return ()
        return (Count('offers_queued'), *self._endings.withdraw(pending, agent))

    def _check_queue(self, pending: PendingFlow, now: float) -> tuple[Action, ...]:
        """Repeat the offer to the agent at which the flow waits."""
        next_offer = self._selection.repeat(pending, now)
        if next_offer is None:
            # The agent has restarted, without its queue.
            return self._leave_queue(pending, now)
        record, offer = next_offer
        answer_due_at = now + OFFER_TIMEOUT_S
        pending.progress.record_check(record.agent, answer_due_at)
        self._pending_flows.schedule(pending, answer_due_at)
        return (Send(record.endpoint, offer),)

    def _leave_queue(self, pending: PendingFlow, now: float) -> tuple[Action, ...]:
        """Offer the flow to other agents than the one that no longer responds."""
        _restart_round(pending)
        pending.may_accept_later = True
        pending.progress.leave_queue(now)
        return self._offer_next(pending, now)

    def _settle_round(self, pending: PendingFlow, now: float) -> tuple[Action, ...]:
        """Use a late response if the round has ended for want of it."""
        if pending.current_agent is None and pending.progress.round.is_overloaded:
            next_offer = self._selection.select_to_wait(pending, now)
            return self._send_or_end_round(pending, next_offer, now)
        return ()

    def _end_round(self, pending: PendingFlow, now: float) -> tuple[Action, ...]:
        """Reject the flow if that is certain to be true, or schedule the next round."""
        if self._is_certainly_overloaded(pending, now):
            return self._reject_overloaded(pending, now)
        settles_at = pending.progress.offers.settles_at
        if pending.progress.round.is_overloaded:
            retry_at = now + OVERLOADED_RETRY_DELAY_S
            if settles_at > now:
                retry_at = min(retry_at, settles_at)
        elif settles_at <= now and self._agents.have_refused_for_good(pending, now):
            return self._reject(pending, now)
        else:
            retry_at = _next_round_at(now)
        if retry_at >= pending.gives_up_at:
            return self._endings.drop(pending, now)
        self._pending_flows.schedule_retry(pending, retry_at)
        return ()

    def _is_certainly_overloaded(self, pending: PendingFlow, now: float) -> bool:
        """Return whether the flow can be rejected because of the load of its agents.

        No agent may have its SYN: neither from this entry instance nor from another one.
        All agents must be known: those that a new entry instance learns of first may be
        the only overloaded ones.
        """
        progress = pending.progress
        if progress.may_be_open:
            return False
        is_settled = progress.offers.settles_at <= now
        return progress.round.is_overloaded and is_settled and self._agents.are_known(now)

    def _reject_overloaded(self, pending: PendingFlow, now: float) -> tuple[Action, ...]:
        return (Count('flows_rejected_overloaded'), *self._reject(pending, now))

    def _reject(self, pending: PendingFlow, now: float) -> tuple[Action, ...]:
        event = pending.event
        self._returning_callers.record_rejection(event.source, event.key, now)
        return self._endings.reject(pending, now)


def _restart_round(pending: PendingFlow) -> None:
    """Start a round of offers to all agents except those where the flow has waited."""
    pending.progress.restart_round(pending.current_agent)
    pending.start_round()
    pending.offered_agents.extend(pending.progress.left_agents)


def _next_round_at(now: float) -> float:
    return floor(now / RETRY_DELAY_S + 1 + _MIN_DELAY_SHARE) * RETRY_DELAY_S
