"""Admission of new flows to the backend server beside an agent."""

from persimmonreach.core import (
    Action,
    AgentId,
    Count,
    Endpoint,
    FlowKey,
    LogDecision,
    Send,
)
from persimmonreach.flows import FlowTable
from persimmonreach.forwarding._incarnations import BackendIncarnations
from persimmonreach.placement import (
    AdmissionController,
    FlowOffer,
    FlowRefused,
    Occupancy,
    RefusalReason,
)


class FlowAdmission:
    """Applies admission control to new flows and reports refusals.

    Parameters
    ----------
    agent
        Id of this agent.
    admission_controller
        Admission controller of the backend server.
    flows
        Flows of the backend server, which determine its occupancy.
    incarnations
        Incarnations of the backend server.

    """

    def __init__(
        self,
        agent: AgentId,
        admission_controller: AdmissionController,
        flows: FlowTable,
        incarnations: BackendIncarnations,
    ) -> None:
        self._agent = agent
        self._admission_controller = admission_controller
        self._flows = flows
        self._incarnations = incarnations

    def admit(self, message: FlowOffer, now: float) -> RefusalReason | None:
        """Admit and count a new flow, or return the reason for its refusal."""
        self._admission_controller.set_admission_start(self._incarnations.admits_from)
        return self._admission_controller.decide(
            message.limits,
            self._occupancy_at(now),
            now,
            admit_if_busy=message.admit_if_busy,
        )

    def refuse(
        self,
        sender: Endpoint,
        key: FlowKey,
        reason: RefusalReason,
        now: float,
    ) -> tuple[Action, ...]:
        """Refuse a new flow: send the reason to the entry instance and log it."""
        reason_name = reason.name.lower()
        occupancy = self._occupancy_at(now)
        inputs = {
            'reason': reason_name,
            'state': self._admission_controller.state.name.lower(),
            'flows': occupancy.flows,
            'requests': occupancy.requests,
            'occupying': occupancy.occupying,
            'run': self._incarnations.backend,
        }
        occupying_per_slot = self._admission_controller.occupying_per_slot(occupancy)
        return (
            Send(sender, FlowRefused(key, self._agent, reason, occupying_per_slot)),
            Count(f'flows_refused_{reason_name}'),
            LogDecision('flow_refused', key, 'refused', inputs),
        )

    def _occupancy_at(self, now: float) -> Occupancy:
        flows = self._flows
        return Occupancy(len(flows), flows.busy_count, flows.count_occupying(now))
