"""Policies that choose a backend server for a new flow."""

from abc import ABC, abstractmethod
from collections.abc import Sequence
from random import Random
from typing import Final, NamedTuple, final

from persimmonreach.core import AgentId

# A flow that stays in its availability zone saves a costly link; the lead of
# the near member is bounded so that the imbalance stays within 1.05.
_NEAR_LEAD_SHARE: Final = 0.02
_NEAR_LEAD_FLOWS: Final = 2


class Candidate(NamedTuple):
    """An agent that may take a new flow.

    Attributes
    ----------
    agent
        Id of the agent.
    is_near
        Whether it is in the availability zone of the choosing agent.
    flows
        Estimated flows on its backend server.
    flow_limit
        Flows that it takes at present; lower while it is warming.

    """

    agent: AgentId
    is_near: bool
    flows: int
    flow_limit: int


class PlacementPolicy(ABC):
    """Way to choose among the agents that may take a new flow."""

    @abstractmethod
    def choose(self, candidates: Sequence[Candidate], rng: Random) -> Candidate:
        """Return one of ``candidates``, which are not empty."""


@final
class RandomChoice(PlacementPolicy):
    """Random choice, weighted by limit; a baseline for comparison."""

    def choose(self, candidates: Sequence[Candidate], rng: Random) -> Candidate:
        """Return one of ``candidates``, which are not empty."""
        return _draw(candidates, rng)


@final
class TwoChoices(PlacementPolicy):
    """The less loaded of two members drawn at random, weighted by limit."""

    def choose(self, candidates: Sequence[Candidate], rng: Random) -> Candidate:
        """Return one of ``candidates``, which are not empty."""
        first = _draw(candidates, rng)
        others = [row for row in candidates if row.agent != first.agent]
        if not others:
            return first
        return _better(first, _draw(others, rng))


def _draw(candidates: Sequence[Candidate], rng: Random) -> Candidate:
    weights = [max(1, row.flow_limit) for row in candidates]
    return rng.choices(candidates, weights)[0]


def _better(first: Candidate, second: Candidate) -> Candidate:
    if first.is_near == second.is_near:
        return min(first, second, key=lambda row: row.flows)
    near, far = (first, second) if first.is_near else (second, first)
    bound = far.flows * (1 + _NEAR_LEAD_SHARE) + _NEAR_LEAD_FLOWS
    return near if near.flows <= bound else far
