"""Interface of the ejections that placement uses."""

from abc import ABC, abstractmethod

from persimmonreach.core import AgentId


class Ejections(ABC):
    """Backend servers that get no new flows because they fail or are slow."""

    @abstractmethod
    def is_ejected(self, agent: AgentId, now: float) -> bool:
        """Return whether the backend server of an agent is ejected at ``now``."""

    @abstractmethod
    def choice_share(self, agent: AgentId, now: float) -> float:
        """Return the share of its choices that an agent gets, from 0 to 1.

        An agent that has returned from an ejection starts with a small share.
        """
