"""Ends of the placement of new flows."""

from typing import Final

from persimmonreach.core import Action, AgentId, Count, LogDecision, Send
from persimmonreach.placement._events import FlowPlaced, FlowRejected
from persimmonreach.placement._offerable_agents import OfferableAgents
from persimmonreach.placement._pending import PendingFlow, PendingFlows
from persimmonreach.placement.messages import FlowAccepted
from persimmonreach.queueing import OfferWithdrawn

_MS_PER_S: Final = 1000


class PlacementEndings:
    """Ends the placement of a flow, and withdraws it from agents where it may wait.

    Parameters
    ----------
    agents
        Agents to which flows are offered.
    pending_flows
        Flows that are being placed.

    """

    def __init__(self, agents: OfferableAgents, pending_flows: PendingFlows) -> None:
        self._agents = agents
        self._pending_flows = pending_flows

    def accept(
        self, pending: PendingFlow, acceptance: FlowAccepted, now: float
    ) -> tuple[Action, ...]:
        """Return the actions for a flow that an agent has accepted."""
        record = self._agents.find(acceptance.agent)
        inputs = {
            'agent': acceptance.agent,
            'offers': len(pending.offered_agents),
            'waited_ms': _waited_ms(pending, now),
            'load': round(record.load, 2) if record else None,
            **_describe_class(pending, now),
        }
        return (
            FlowPlaced(acceptance.key, acceptance.agent),
            *self.withdraw(pending, acceptance.agent),
            Count('flows_placed'),
            LogDecision('flow_placed', acceptance.key, 'accepted', inputs),
        )

    def reject(self, pending: PendingFlow, now: float) -> tuple[Action, ...]:
        """Reject a flow that no agent accepts."""
        event = pending.event
        self._pending_flows.remove(event.key)
        inputs = self._describe(pending, now)
        return (
            FlowRejected(event.key, event.packet),
            *self.withdraw(pending),
            Count('flows_rejected'),
            LogDecision('flow_rejected', event.key, 'reset', inputs),
        )

    def drop(self, pending: PendingFlow, now: float) -> tuple[Action, ...]:
        """Drop a flow whose caller has given up."""
        key = pending.event.key
        self._pending_flows.remove(key)
        inputs = self._describe(pending, now)
        return (
            *self.withdraw(pending),
            Count('flows_not_placed'),
            LogDecision('flow_not_placed', key, 'dropped', inputs),
        )

    def withdraw(
        self, pending: PendingFlow, except_from: AgentId | None = None
    ) -> tuple[Action, ...]:
        """Withdraw a flow from the agents at which it may wait, except one."""
        if pending.progress is None:
            return ()
        agents = sorted(pending.progress.offers.waiting_at - {except_from})
        records = [self._agents.find(agent) for agent in agents]
        withdrawal = OfferWithdrawn(pending.event.key)
        return tuple(
            Send(record.endpoint, withdrawal) for record in records if record is not None
        )

    def _describe(self, pending: PendingFlow, now: float) -> dict[str, object]:
        service = pending.event.limits.service
        return {
            'service': service,
            'agents': self._agents.count(service),
            'offered': list(pending.offered_agents),
            'zones_out': sorted(self._agents.zones_out),
            'waited_ms': _waited_ms(pending, now),
            **_describe_class(pending, now),
        }


def _waited_ms(pending: PendingFlow, now: float) -> float:
    return round((now - pending.syn_sent_at) * _MS_PER_S, 1)


def _describe_class(pending: PendingFlow, now: float) -> dict[str, object]:
    return pending.progress.describe(now) if pending.progress else {}
