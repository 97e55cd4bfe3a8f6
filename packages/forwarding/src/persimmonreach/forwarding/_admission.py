"""Admission of new flows to the backend server beside an agent."""

from collections.abc import Callable, Mapping
from types import MappingProxyType
from typing import Any, Final

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
from persimmonreach.queueing import ServerCapacity
from persimmonreach.rules import ServiceLimits

# Smaller changes of the share of streams do not change a decision.
_SHARE_DECIMALS: Final = 2
_NO_INPUTS: Final = MappingProxyType[str, Any]({})


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
    stream_rate
        Returns the requests per second on open flows, given the current time in seconds.

    """

    def __init__(
        self,
        agent: AgentId,
        admission_controller: AdmissionController,
        flows: FlowTable,
        incarnations: BackendIncarnations,
        stream_rate: Callable[[float], float],
    ) -> None:
        self._agent = agent
        self._admission_controller = admission_controller
        self._flows = flows
        self._incarnations = incarnations
        self._stream_rate = stream_rate

    @property
    def agent(self) -> AgentId:
        """Id of this agent."""
        return self._agent

    @property
    def unavailability(self) -> RefusalReason | None:
        """Why the backend server takes no new flows at all; None if it takes some."""
        return self._admission_controller.unavailability

    def admit(self, message: FlowOffer, now: float) -> RefusalReason | None:
        """Admit and count a new flow, or return the reason for its refusal."""
        self._admission_controller.set_admission_start(self._incarnations.admits_from)
        return self._admission_controller.decide(
            message.limits,
            self._occupancy_at(now),
            now,
            admit_if_busy=message.admit_if_busy,
        )

    def check(self, limits: ServiceLimits, now: float) -> RefusalReason | None:
        """Return why an offered flow is refused even if the server is not busy."""
        self._admission_controller.set_admission_start(self._incarnations.admits_from)
        return self._admission_controller.check(limits, self._occupancy_at(now), now)

    def check_again(self, now: float) -> RefusalReason | None:
        """Return why a flow that was offered before is refused now."""
        self._admission_controller.set_admission_start(self._incarnations.admits_from)
        return self._admission_controller.check_again(self._occupancy_at(now), now)

    def record_admission(self, now: float) -> None:
        """Count a flow that was admitted by the queue."""
        self._admission_controller.record_admission(now)

    def holds(self, key: FlowKey) -> bool:
        """Whether the flow is known, so that its packets were delivered."""
        return self._flows.find(key) is not None

    def are_all_flows_known(self, now: float) -> bool:
        """Whether this process has passed all packets of the backend server."""
        return self._incarnations.are_all_flows_known(now)

    def capacity(self, service_s: float, now: float) -> ServerCapacity:
        """Return the capacity of the backend server.

        Parameters
        ----------
        service_s
            Expected service time of one request, in seconds.
        now
            Current time, in seconds.

        """
        slots = self._admission_controller.slots
        stream_share = self._stream_rate(now) * service_s / max(1, slots)
        return ServerCapacity(
            slots,
            self._flows.count_occupying(now),
            service_s,
            self._flows.opening_s,
            round(stream_share, _SHARE_DECIMALS),
        )

    def next_change_at(self, now: float) -> float:
        """Return when the capacity or a limit next changes without another event."""
        return min(
            self._flows.next_expiry_at,
            self._admission_controller.cold_limit_changes_at(now),
        )

    def refuse(
        self,
        sender: Endpoint,
        key: FlowKey,
        reason: RefusalReason,
        now: float,
        additional_inputs: Mapping[str, Any] = _NO_INPUTS,
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
            **additional_inputs,
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
