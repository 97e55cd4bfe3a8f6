"""Interface of the delay estimates that placement uses."""

from abc import ABC, abstractmethod

from persimmonreach.core import AgentId


class DelayEstimates(ABC):
    """Expected delays of requests at the backend servers of one service."""

    @abstractmethod
    def expected_delay_s(self, agent: AgentId, slots: int, now: float) -> float:
        """Return the expected time until the response to a new request, in seconds.

        Parameters
        ----------
        agent
            Agent beside the backend server.
        slots
            Number of requests that the backend server processes concurrently.
        now
            Current time, in seconds.

        """

    @abstractmethod
    def count_offer(self, agent: AgentId) -> None:
        """Add an offer to the load of an agent until its next message."""
