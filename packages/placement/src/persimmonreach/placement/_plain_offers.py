"""Offers of new flows without a class of service."""

from typing import Final

from persimmonreach.core import Action, Count, Send
from persimmonreach.placement._endings import PlacementEndings
from persimmonreach.placement._offer_procedure import (
    OFFER_TIMEOUT_S,
    RETRY_DELAY_S,
    TEMPORARY_REASONS,
    OfferProcedure,
)
from persimmonreach.placement._offerable_agents import OfferableAgents
from persimmonreach.placement._pending import PendingFlow, PendingFlows
from persimmonreach.placement._policy import PlacementPolicy, PlacementRequest
from persimmonreach.placement.messages import FlowOffer, FlowRefused, RefusalReason

# Number of agents that may refuse a flow because they are busy, before the least
# loaded of them has to accept it.
MAX_BUSY_REFUSALS: Final = 3


class PlainOffers(OfferProcedure):
    """Offers a flow to one agent at a time, in rounds, until one accepts it.

    Parameters
    ----------
    agents
        Agents to which flows are offered.
    pending_flows
        Flows that are being placed.
    endings
        Ends of placements.
    policy
        Order in which a flow is offered to agents.

    """

    def __init__(
        self,
        agents: OfferableAgents,
        pending_flows: PendingFlows,
        endings: PlacementEndings,
        policy: PlacementPolicy,
    ) -> None:
        self._agents = agents
        self._pending_flows = pending_flows
        self._endings = endings
        self._policy = policy

    def start(self, pending: PendingFlow, now: float) -> tuple[Action, ...]:
        """Offer a new flow to the first agent."""
        return self._offer_next(pending, now)

    def on_syn_copy(self, pending: PendingFlow, now: float) -> tuple[Action, ...]:
        """Ignore the copy: the flow is offered already."""
        return ()

    def on_refused(
        self, pending: PendingFlow, refusal: FlowRefused, now: float
    ) -> tuple[Action, ...]:
        """Offer the flow to the next agent if the current one refused it."""
        if pending.current_agent != refusal.agent:
            return ()
        reason = RefusalReason(refusal.reason)
        pending.may_accept_later |= reason in TEMPORARY_REASONS
        if reason is RefusalReason.BUSY:
            pending.busy_loads[refusal.agent] = refusal.load
        return self._offer_next(pending, now)

    def on_due(self, pending: PendingFlow, now: float) -> tuple[Action, ...]:
        """Offer the flow to the next agent, or start the next round."""
        if pending.current_agent is None:
            return self._offer_next(pending, now)
        self._agents.mark_suspected(pending.current_agent, now)
        pending.may_accept_later = True
        return (Count('offers_unanswered'), *self._offer_next(pending, now))

    def _offer_next(self, pending: PendingFlow, now: float) -> tuple[Action, ...]:
        event = pending.event
        request = PlacementRequest(event.key, len(pending.offered_agents), now=now)
        record = self._agents.select(
            event.limits.service, request, self._policy, pending.offered_agents
        )
        admit_if_busy = record is None or len(pending.busy_loads) >= MAX_BUSY_REFUSALS
        if admit_if_busy:
            record = self._agents.pop_least_busy(pending)
        if record is None:
            return self._retry_or_end(pending, now)
        self._policy.count_offer(record)
        self._pending_flows.record_offer(pending, record.agent, now + OFFER_TIMEOUT_S)
        offer = FlowOffer(event.limits, event.packet, admit_if_busy)
        return (Send(record.endpoint, offer),)

    def _retry_or_end(self, pending: PendingFlow, now: float) -> tuple[Action, ...]:
        """Schedule another round of offers, or end the placement.

        The flow is dropped at the end of the lifetime of its SYN. It is rejected
        earlier if the agent table has converged and no agent may accept it later.
        """
        retry_at = now + RETRY_DELAY_S
        if retry_at >= pending.gives_up_at:
            return self._endings.drop(pending, now)
        if self._agents.have_refused_for_good(pending, now):
            return self._endings.reject(pending, now)
        self._pending_flows.schedule_retry(pending, retry_at)
        return ()
