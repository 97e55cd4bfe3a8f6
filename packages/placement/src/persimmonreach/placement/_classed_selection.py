"""Selection of the next offer of a flow with a class of service."""

from collections.abc import Callable
from typing import NamedTuple, TypeAlias

from persimmonreach.core import AgentId, Incarnation
from persimmonreach.discovery import AgentRecord
from persimmonreach.placement._offerable_agents import OfferableAgents
from persimmonreach.placement._pending import PendingFlow
from persimmonreach.placement._policy import PlacementPolicy, PlacementRequest
from persimmonreach.placement.messages import FlowOffer
from persimmonreach.queueing import ClassedOffer

UnderstandsClasses: TypeAlias = Callable[[AgentId, Incarnation], bool]


class NextOffer(NamedTuple):
    """Agent to which a flow is offered next, and the message."""

    record: AgentRecord
    message: ClassedOffer | FlowOffer


class ClassedSelection:
    """Selects the agent that gets the next offer of a flow, and the kind of offer.

    Parameters
    ----------
    agents
        Agents to which flows are offered.
    policy
        Order in which a flow is offered to agents.
    understands_classes
        Whether an agent process understands classes of service. Others get offers
        without a class.

    """

    def __init__(
        self,
        agents: OfferableAgents,
        policy: PlacementPolicy,
        understands_classes: UnderstandsClasses,
    ) -> None:
        self._agents = agents
        self._policy = policy
        self._understands_classes = understands_classes

    def select(self, pending: PendingFlow, now: float) -> NextOffer | None:
        """Return the next offer of a flow; None if the round has ended."""
        record = self._select_to_ask(pending, now)
        if record is None:
            return self.select_to_wait(pending, now)
        self._policy.count_offer(record)
        if self.is_capable(record.agent):
            return NextOffer(record, _build_offer(pending, now, may_wait=False))
        return NextOffer(record, FlowOffer(pending.event.limits, pending.event.packet))

    def select_to_wait(self, pending: PendingFlow, now: float) -> NextOffer | None:
        """Return the next offer to an agent that did not admit the flow at once.

        Agents that deferred the flow may queue it, the one with the shortest wait first.
        After them, an agent that refused the flow as busy has to accept it.
        """
        agent = pending.progress.pop_shortest_wait(now)
        while agent is not None:
            if self.is_capable(agent):
                record = self._agents.find(agent)
                pending.progress.round.waiting_offers += 1
                return NextOffer(record, _build_offer(pending, now, may_wait=True))
            agent = pending.progress.pop_shortest_wait(now)
        record = self._agents.pop_least_busy(pending)
        if record is None:
            return None
        offer = FlowOffer(pending.event.limits, pending.event.packet, admit_if_busy=True)
        return NextOffer(record, offer)

    def repeat(self, pending: PendingFlow, now: float) -> NextOffer | None:
        """Return the offer to the agent at which a flow waits.

        Returns None if the present process of the agent has not announced that it
        understands classes.
        """
        agent = pending.current_agent
        if not self.is_capable(agent):
            return None
        offer = _build_offer(pending, now, may_wait=True)
        return NextOffer(self._agents.find(agent), offer)

    def is_capable(self, agent: AgentId) -> bool:
        """Return whether the process of an agent understands classes of service."""
        record = self._agents.find(agent)
        if record is None:
            return False
        return self._understands_classes(agent, record.status.incarnation)

    def _select_to_ask(self, pending: PendingFlow, now: float) -> AgentRecord | None:
        """Return the agent that is asked next to admit the flow at once.

        An agent that has not responded in a former round comes first, since the flow
        cannot be rejected without its response. After a deferral, agents that are
        avoided are not asked: the flow can wait at the agent that deferred it.
        """
        progress = pending.progress
        if not progress.round.is_asking:
            return None
        for agent in progress.offers.undenied_by:
            if agent not in pending.offered_agents:
                record = self._agents.find_preferred(agent, now)
                if record is not None:
                    return record
        unready_agents = self._find_unready(pending, now)
        pending.may_accept_later |= bool(unready_agents)
        event = pending.event
        request = PlacementRequest(
            event.key, len(pending.offered_agents), progress.class_of_service, now
        )
        return self._agents.select(
            event.limits.service,
            request,
            self._policy,
            unready_agents.union(pending.offered_agents),
            only_preferred=progress.round.is_overloaded,
        )

    def _find_unready(self, pending: PendingFlow, now: float) -> set[AgentId]:
        """Return the agents that are not asked unless they report to be ready."""
        return {
            agent
            for agent, retry_at in pending.progress.unready_agents.items()
            if now < retry_at and self._agents.find_preferred(agent, now) is None
        }


def _build_offer(pending: PendingFlow, now: float, *, may_wait: bool) -> ClassedOffer:
    event = pending.event
    offered_class = pending.progress.offered_class(pending.gives_up_at, now)
    return ClassedOffer(event.limits, event.packet, offered_class, may_wait)
