"""One round of offers of a flow with a class of service."""

from typing import Final

from persimmonreach.core import AgentId

# Number of agents that may defer a flow, or refuse it as busy, before it is offered to
# one of them with permission to wait.
MAX_LOAD_RESPONSES: Final = 3
# Number of agents to which a flow is offered in one round with permission to wait.
MAX_WAITING_OFFERS: Final = 3


class ClassedRound:
    """Responses to the offers of one round.

    Attributes
    ----------
    load_responses
        Number of agents that did not take the flow because of their load.
    waiting_offers
        Number of offers with which the flow may wait.
    is_overloaded
        Whether an agent has deferred the flow or refused it as overloaded.

    """

    __slots__ = ('_waits_ms', 'is_overloaded', 'load_responses', 'waiting_offers')

    def __init__(self) -> None:
        self._waits_ms: dict[AgentId, int] = {}
        self.load_responses = 0
        self.waiting_offers = 0
        self.is_overloaded = False

    @property
    def is_asking(self) -> bool:
        """Whether another agent may be asked to admit the flow at once."""
        return self.waiting_offers == 0 and self.load_responses < MAX_LOAD_RESPONSES

    def record_deferral(self, agent: AgentId, wait_ms: int) -> None:
        """Record that an agent deferred the flow."""
        self._waits_ms[agent] = wait_ms
        self.load_responses += 1
        self.is_overloaded = True

    def record_load_refusal(self, *, is_overloaded: bool) -> None:
        """Record that an agent refused the flow as overloaded, or as busy."""
        self.load_responses += 1
        self.is_overloaded |= is_overloaded

    def pop_shortest_wait(self, limit_ms: float) -> AgentId | None:
        """Remove and return the deferring agent with the shortest expected wait.

        Returns None if no agent is left, if enough of them were asked, or if the wait
        exceeds ``limit_ms`` milliseconds.
        """
        if not self._waits_ms or self.waiting_offers == MAX_WAITING_OFFERS:
            return None
        agent = min(self._waits_ms, key=self._waits_ms.__getitem__)
        if self._waits_ms[agent] > limit_ms:
            return None
        self._waits_ms.pop(agent)
        return agent
