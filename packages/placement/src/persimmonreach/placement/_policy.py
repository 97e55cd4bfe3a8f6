"""Policies for the order in which a new flow is offered to agents."""

from abc import ABC, abstractmethod
from collections.abc import Iterable, Sequence
from typing import Final, NamedTuple, final

import xxhash

from persimmonreach.core import FlowKey, Zone
from persimmonreach.discovery import AgentRecord
from persimmonreach.rules import ClassOfService

# Number of highest ranking agents that are ordered by load. A search for the holder
# of a flow starts with the same agents, since they rank highest for its key.
DEFAULT_CHOICE_COUNT: Final = 2
# Number of flows that an agent in the preferred zone may have in excess of the choice
# among all agents. A flow with a request at work counts twice, so that a busy backend
# server is not preferred to an idle one of another zone.
MAX_EXCESS_FLOWS: Final = 1


def rank_agents(key: FlowKey, records: Iterable[AgentRecord]) -> list[AgentRecord]:
    """Return the agents by descending rendezvous hash for ``key``."""
    return sorted(
        records,
        key=lambda record: xxhash.xxh3_64_intdigest(key + record.agent.encode()),
        reverse=True,
    )


def rank_near_agents_first(
    key: FlowKey, records: Iterable[AgentRecord], zone: Zone
) -> list[AgentRecord]:
    """Return the agents of ``zone`` and then all others, each ranked for ``key``."""
    ranked = rank_agents(key, records)
    # The sort is stable, so each group keeps its ranking.
    return sorted(ranked, key=lambda record: record.status.zone != zone)


class PlacementRequest(NamedTuple):
    """New flow for which the agents are ordered.

    Attributes
    ----------
    key
        Key of the flow.
    refusal_count
        Number of agents that did not accept the flow in this round.
    class_of_service
        Class of the flow; None if its service declares no classes.
    now
        Current time, in seconds.

    """

    key: FlowKey
    refusal_count: int = 0
    class_of_service: ClassOfService | None = None
    now: float = 0


class PlacementPolicy(ABC):
    """Policy for the order in which a new flow is offered to agents."""

    @abstractmethod
    def order(
        self, request: PlacementRequest, records: Iterable[AgentRecord]
    ) -> Sequence[AgentRecord]:
        """Return ``records`` in the order in which the flow is offered to them.

        Parameters
        ----------
        request
            The flow.
        records
            Agents that may accept the flow.

        """

    def count_offer(self, record: AgentRecord) -> None:
        """Add a flow that was offered to an agent to the known load of the agent."""
        record.count_offer()


@final
class PowerOfChoicesPolicy(PlacementPolicy):
    """Power-of-choices load balancing among the highest ranking agents.

    The agents with the highest rendezvous hashes come first, ordered by load; the
    others follow by rank.

    Parameters
    ----------
    choice_count
        Number of highest ranking agents that are ordered by load.

    """

    def __init__(self, choice_count: int = DEFAULT_CHOICE_COUNT) -> None:
        self._choice_count = choice_count

    def order(
        self, request: PlacementRequest, records: Iterable[AgentRecord]
    ) -> Sequence[AgentRecord]:
        """Return ``records`` in the order in which the flow is offered to them."""
        ranked = rank_agents(request.key, records)
        by_load = sorted(ranked[: self._choice_count], key=_get_load)
        return by_load + ranked[self._choice_count :]


@final
class LocalityPolicy(PlacementPolicy):
    """Power-of-choices load balancing that prefers one availability zone.

    The least loaded of the highest ranking agents of the zone comes first, unless its
    load exceeds that of the choice among all agents by more than a margin. After a
    refusal the zone is no longer preferred: the known loads of its agents were too low.

    Traffic between zones is slower by a round trip and is charged. The margin bounds
    what this costs: the backend servers of a zone with too few of them take only one
    flow more than the others.

    Parameters
    ----------
    zone
        Availability zone of this entry instance, which receives its callers' packets.
    choice_count
        Number of highest ranking agents that are ordered by load.

    """

    def __init__(self, zone: Zone, choice_count: int = DEFAULT_CHOICE_COUNT) -> None:
        self._zone = zone
        self._choice_count = choice_count
        self._balancing_policy = PowerOfChoicesPolicy(choice_count)

    def order(
        self, request: PlacementRequest, records: Iterable[AgentRecord]
    ) -> Sequence[AgentRecord]:
        """Return ``records`` in the order in which the flow is offered to them."""
        ordered = list(self._balancing_policy.order(request, records))
        near = [record for record in ordered if record.status.zone == self._zone]
        if request.refusal_count or not near:
            return ordered
        preferred = min(
            rank_agents(request.key, near)[: self._choice_count], key=_get_load
        )
        excess_load = preferred.load - ordered[0].load
        if excess_load * max(1, preferred.status.slots) > MAX_EXCESS_FLOWS:
            return ordered
        ordered.remove(preferred)
        return [preferred, *ordered]


def _get_load(record: AgentRecord) -> float:
    return record.load
