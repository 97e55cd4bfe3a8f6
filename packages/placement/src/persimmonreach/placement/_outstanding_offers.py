"""Offers of one flow that may still take effect."""

from math import inf

from persimmonreach.core import AgentId


class _AgentOffers:
    """Offers of one flow to one agent."""

    __slots__ = ('answer_due_at', 'is_denied', 'is_queued', 'may_wait', 'unanswered')

    def __init__(self) -> None:
        self.unanswered = 0
        self.answer_due_at = -inf
        self.may_wait = False
        self.is_queued = False
        self.is_denied = False

    @property
    def settles_at(self) -> float:
        """Time from which they have no effect; infinite if they may have one."""
        return self.answer_due_at if self.is_denied else inf


class OutstandingOffers:
    """Offers of one flow that may still take effect at an agent.

    A response does not name its offer. After a timeout and a further offer, a denial
    may be the late response to the first offer, with the response to the second one
    close behind it. So the offers have no effect once the agent has denied as many of
    them, or once it has denied one and the response to the latest one is overdue. The
    first denial of a queued flow is no response: it may cross a repeated offer.
    """

    __slots__ = ('_by_agent',)

    def __init__(self) -> None:
        self._by_agent: dict[AgentId, _AgentOffers] = {}

    @property
    def settles_at(self) -> float:
        """Time from which no agent can deliver the SYN; infinite if one may."""
        return max(
            (offers.settles_at for offers in self._by_agent.values()), default=-inf
        )

    @property
    def undenied_by(self) -> list[AgentId]:
        """Agents that may have delivered the SYN, or may deliver it later."""
        return [agent for agent, offers in self._by_agent.items() if not offers.is_denied]

    @property
    def waiting_at(self) -> frozenset[AgentId]:
        """Agents at which the flow may wait for admission."""
        return frozenset(
            agent for agent, offers in self._by_agent.items() if offers.may_wait
        )

    def record_offer(
        self, agent: AgentId, answer_due_at: float, *, may_wait: bool
    ) -> None:
        """Record that an offer was sent.

        Parameters
        ----------
        agent
            Receiver of the offer.
        answer_due_at
            Time until which the agent is expected to respond.
        may_wait
            Whether the flow may wait at the agent.

        """
        offers = self._by_agent.setdefault(agent, _AgentOffers())
        offers.unanswered += 1
        offers.answer_due_at = answer_due_at
        offers.may_wait |= may_wait
        offers.is_denied = False

    def record_queued(self, agent: AgentId) -> None:
        """Record the response that the flow waits at the agent."""
        self.record_delivered(agent)
        offers = self._by_agent[agent]
        offers.may_wait = True
        offers.is_queued = True

    def record_delivered(self, agent: AgentId) -> None:
        """Record a response of an agent that may have delivered the SYN before."""
        offers = self._by_agent.setdefault(agent, _AgentOffers())
        offers.unanswered = max(0, offers.unanswered - 1)
        offers.is_denied = False

    def record_denial(self, agent: AgentId) -> None:
        """Record the response that the flow was refused or deferred."""
        offers = self._by_agent.get(agent)
        if offers is None:
            return
        if offers.is_queued:
            offers.is_queued = False
        else:
            offers.unanswered -= 1
        offers.is_denied = True
        if offers.unanswered <= 0:
            self._by_agent.pop(agent)
