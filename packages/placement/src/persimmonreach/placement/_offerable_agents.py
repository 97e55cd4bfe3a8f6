"""Agents to which a new flow may be offered."""

from collections.abc import Collection
from typing import Final

from persimmonreach.core import AgentId, ServiceName, Zone
from persimmonreach.discovery import AgentRecord, AgentState, AgentTable
from persimmonreach.outliers import Ejections
from persimmonreach.placement._pending import PendingFlow
from persimmonreach.placement._policy import PlacementPolicy, PlacementRequest

# An agent that did not respond to an offer is avoided until its next message, but at
# most for this time.
SUSPECT_DURATION_S: Final = 2


class OfferableAgents:
    """Selects the agents to which a new flow may be offered.

    Parameters
    ----------
    agent_table
        Agents that this entry instance has discovered.
    ejections
        Backend servers that get a new flow only if no other one is left; None if
        none is ever ejected.

    """

    def __init__(self, agent_table: AgentTable, ejections: Ejections | None) -> None:
        self._agent_table = agent_table
        self._ejections = ejections
        self._zones_out: frozenset[Zone] = frozenset()

    @property
    def zones_out(self) -> frozenset[Zone]:
        """Availability zones that are out of service."""
        return self._zones_out

    def set_zones_out(self, zones_out: frozenset[Zone]) -> None:
        """Set the availability zones that are out of service."""
        self._zones_out = zones_out

    def count(self, service: ServiceName) -> int:
        """Return the number of known agents of a service."""
        return len(self._agent_table.of_service(service))

    def are_known(self, now: float) -> bool:
        """Return whether an agent without a record can be assumed not to run."""
        return self._agent_table.has_converged(now)

    def find(self, agent: AgentId) -> AgentRecord | None:
        """Return the record of an agent; None if it is unknown."""
        return self._agent_table.find(agent)

    def find_preferred(self, agent: AgentId, now: float) -> AgentRecord | None:
        """Return the record of an agent if it is eligible, ready and responsive."""
        record = self._agent_table.find(agent)
        if record is None or not self.is_eligible(record):
            return None
        return record if _is_preferred(record, now) else None

    def mark_responsive(self, agent: AgentId, now: float) -> AgentRecord | None:
        """Record the arrival of a message of an agent, and return its record."""
        record = self._agent_table.find(agent)
        if record is not None:
            record.mark_responsive(now)
        return record

    def mark_suspected(self, agent: AgentId, now: float) -> None:
        """Record that an agent did not respond to an offer in time."""
        record = self._agent_table.find(agent)
        if record is not None:
            record.suspect(now + SUSPECT_DURATION_S)

    def select(
        self,
        service: ServiceName,
        request: PlacementRequest,
        policy: PlacementPolicy,
        offered_agents: Collection[AgentId],
        *,
        only_preferred: bool = False,
    ) -> AgentRecord | None:
        """Return the agent to which a new flow is offered next.

        Agents whose backend server is not ejected come first; among these, agents
        that are ready and responsive.

        Parameters
        ----------
        service
            Requested service.
        request
            The flow.
        policy
            Order among agents that are equally suitable.
        offered_agents
            Agents that already received an offer in this round.
        only_preferred
            Whether to select only an agent that is ready and responsive and whose
            backend server is not ejected.

        Returns
        -------
        AgentRecord or None
            The agent; None if no other agent is eligible.

        """
        now = request.now
        records = [
            record
            for record in self._agent_table.of_service(service).values()
            if self.is_eligible(record) and record.agent not in offered_agents
        ]
        preferred = self._exclude_ejected(
            [record for record in records if _is_preferred(record, now)], now
        )
        if not (preferred or only_preferred):
            available = self._exclude_ejected(records, now) or records
            preferred = [record for record in available if _is_preferred(record, now)]
            preferred = preferred or available
        ordered = policy.order(request, preferred)
        return ordered[0] if ordered else None

    def pop_least_busy(self, pending: PendingFlow) -> AgentRecord | None:
        """Remove and return the least loaded busy agent that still has a record."""
        agent = pending.pop_least_busy()
        while agent is not None:
            record = self._agent_table.find(agent)
            if record is not None:
                return record
            agent = pending.pop_least_busy()
        return None

    def have_refused_for_good(self, pending: PendingFlow, now: float) -> bool:
        """Return whether all agents are known and none may accept the flow later."""
        if pending.may_accept_later or not self.are_known(now):
            return False
        service = pending.event.limits.service
        return not any(
            self.is_eligible(record) and record.status.state is not AgentState.READY
            for record in self._agent_table.of_service(service).values()
        )

    def is_eligible(self, record: AgentRecord) -> bool:
        """Return whether an agent may be offered a flow at all."""
        is_available = not (record.is_leaving or record.is_unreachable)
        return is_available and record.status.zone not in self._zones_out

    def _exclude_ejected(
        self, records: list[AgentRecord], now: float
    ) -> list[AgentRecord]:
        ejections = self._ejections
        if ejections is None:
            return records
        return [
            record for record in records if not ejections.is_ejected(record.agent, now)
        ]


def _is_preferred(record: AgentRecord, now: float) -> bool:
    is_ready = record.status.state is AgentState.READY
    return is_ready and not (record.is_suspected(now) or record.is_unresponsive(now))
