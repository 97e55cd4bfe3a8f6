"""Placement of new flows by an entry instance."""

from collections.abc import Callable
from types import MappingProxyType
from typing import Final

from persimmonreach.core import (
    Action,
    AgentId,
    Count,
    Endpoint,
    Event,
    FlowKey,
    Incarnation,
    Received,
    Send,
    ServiceName,
    StateMachine,
    Tick,
)
from persimmonreach.discovery import AgentRecord, AgentState, AgentTable
from persimmonreach.outliers import Ejections
from persimmonreach.placement._classed_offers import ClassedOffers
from persimmonreach.placement._classed_selection import ClassedSelection
from persimmonreach.placement._endings import PlacementEndings
from persimmonreach.placement._events import PlaceFlow, ZonesChanged
from persimmonreach.placement._offer_procedure import OfferProcedure
from persimmonreach.placement._offerable_agents import OfferableAgents
from persimmonreach.placement._pending import PendingFlow, PendingFlows
from persimmonreach.placement._plain_offers import PlainOffers
from persimmonreach.placement._policy import PlacementPolicy, PlacementRequest
from persimmonreach.placement.messages import (
    FlowAccepted,
    FlowRefused,
    RefusalReason,
)
from persimmonreach.queueing import FlowDeferred, FlowQueued, OfferWithdrawn
from persimmonreach.rules import ClassOfService

_STATE_BY_REASON: Final = MappingProxyType(
    {
        RefusalReason.DRAINING: AgentState.DRAINING,
        RefusalReason.DOWN: AgentState.DOWN,
        RefusalReason.STOPPING: AgentState.STOPPING,
    },
)


class Placement(StateMachine):
    """State machine that offers each new flow to agents until one accepts it.

    Events: ``PlaceFlow``, ``ZonesChanged``, ``Received`` with a ``FlowAccepted``,
    ``FlowRefused``, ``FlowDeferred`` or ``FlowQueued``, ``Tick``. Actions: ``Send``,
    ``FlowPlaced``, ``FlowRejected``, ``Count``, ``LogDecision``.

    Parameters
    ----------
    agent_table
        Agents that this entry instance has discovered.
    policy
        Order in which a flow without a class is offered to agents.
    classed_policy
        Order in which a flow with a class is offered to agents; by default as for
        all other flows.
    understands_classes
        Whether an agent process has announced that it understands classes of
        service. By default none has.
    ejections
        Backend servers that get a new flow only if no other one is left; None if
        none is ever ejected.

    """

    def __init__(
        self,
        agent_table: AgentTable,
        policy: PlacementPolicy,
        *,
        classed_policy: PlacementPolicy | None = None,
        understands_classes: Callable[[AgentId, Incarnation], bool] | None = None,
        ejections: Ejections | None = None,
    ) -> None:
        self._policy = policy
        self._classed_policy = classed_policy or policy
        self._pending_flows = PendingFlows()
        self._agents = OfferableAgents(agent_table, ejections)
        self._endings = PlacementEndings(self._agents, self._pending_flows)
        self._plain_offers = PlainOffers(
            self._agents, self._pending_flows, self._endings, policy
        )
        self._classed_offers = ClassedOffers(
            self._agents,
            self._pending_flows,
            self._endings,
            ClassedSelection(
                self._agents,
                self._classed_policy,
                understands_classes or _understands_no_classes,
            ),
        )

    @property
    def wake_at(self) -> float:
        """Time of the next offer timeout or retry."""
        return self._pending_flows.next_deadline

    def offered_to(self, key: FlowKey) -> AgentId | None:
        """Return the agent that has a pending offer of a flow, if any."""
        pending = self._pending_flows.find(key)
        return pending.current_agent if pending else None

    def resolve_holder(self, key: FlowKey, acknowledgement: int) -> AgentId | None:
        """Return the agent whose backend server sent the acknowledged SYN-ACK.

        After an offer timeout several agents may accept the same flow. Their
        acceptances are kept until the caller acknowledges one SYN-ACK, or until
        they expire.

        Parameters
        ----------
        key
            Key of the flow.
        acknowledgement
            Acknowledgement number of the caller's second packet.

        Returns
        -------
        AgentId or None
            The holder; None if no acceptance of the flow matches.

        """
        return self._pending_flows.pop_acknowledged(key, acknowledgement)

    def handle(self, event: Event, now: float) -> tuple[Action, ...]:
        """Return the actions that ``event`` causes."""
        match event:
            case PlaceFlow():
                return self._on_place(event, now)
            case Received():
                return self._on_message(event, now)
            case ZonesChanged(zones_out):
                self._agents.set_zones_out(zones_out)
                return ()
            case Tick():
                return self._on_tick(now)
            case _:
                return (Count('placement_unknown_events'),)

    def select_agent(
        self,
        key: FlowKey,
        service: ServiceName,
        now: float,
        class_of_service: ClassOfService | None = None,
    ) -> AgentRecord | None:
        """Return the agent to which a new flow is offered first.

        Parameters
        ----------
        key
            Key of the flow.
        service
            Requested service.
        now
            Current time, in seconds.
        class_of_service
            Class of the flow; None if its service declares no classes.

        Returns
        -------
        AgentRecord or None
            The agent; None if no agent is eligible.

        """
        request = PlacementRequest(key, 0, class_of_service, now)
        policy = self._classed_policy if class_of_service else self._policy
        return self._agents.select(service, request, policy, ())

    def _on_message(self, received: Received, now: float) -> tuple[Action, ...]:
        match received.message:
            case FlowAccepted() as acceptance:
                return self._on_accepted(acceptance, now)
            case FlowRefused() as refusal:
                return self._on_refused(refusal, now)
            case FlowDeferred() as deferral:
                return self._on_deferred(deferral, now)
            case FlowQueued() as queued:
                return self._on_queued(received.sender, queued, now)
            case _:
                return (Count('placement_unknown_events'),)

    def _on_place(self, event: PlaceFlow, now: float) -> tuple[Action, ...]:
        pending = self._pending_flows.find(event.key)
        if pending is not None:
            repeat_count = Count('first_packets_repeated')
            return (
                repeat_count,
                *self._procedure_of(pending).on_syn_copy(pending, now),
            )
        pending = PendingFlow(event, now)
        self._pending_flows.add(pending)
        return self._procedure_of(pending).start(pending, now)

    def _on_accepted(self, acceptance: FlowAccepted, now: float) -> tuple[Action, ...]:
        self._agents.mark_responsive(acceptance.agent, now)
        pending = self._pending_flows.record_acceptance(acceptance, now)
        if pending is None:
            return (Count('acceptances_late'),)
        return self._endings.accept(pending, acceptance, now)

    def _on_refused(self, refusal: FlowRefused, now: float) -> tuple[Action, ...]:
        record = self._agents.mark_responsive(refusal.agent, now)
        reason = RefusalReason(refusal.reason)
        if record is not None and reason in _STATE_BY_REASON:
            record.apply_refusal(_STATE_BY_REASON[reason])
        reason_name = reason.name.lower()
        count_action = Count(f'offers_refused_{reason_name}')
        pending = self._pending_flows.find(refusal.key)
        if pending is None:
            return (count_action,)
        procedure = self._procedure_of(pending)
        return (count_action, *procedure.on_refused(pending, refusal, now))

    def _on_deferred(self, deferral: FlowDeferred, now: float) -> tuple[Action, ...]:
        self._agents.mark_responsive(deferral.agent, now)
        count_action = Count('offers_deferred')
        pending = self._find_classed(deferral.key)
        if pending is None:
            return (count_action,)
        return (count_action, *self._classed_offers.on_deferred(pending, deferral, now))

    def _on_queued(
        self, sender: Endpoint, queued: FlowQueued, now: float
    ) -> tuple[Action, ...]:
        self._agents.mark_responsive(queued.agent, now)
        pending = self._find_classed(queued.key)
        if pending is None:
            # The placement has ended while the message was in flight.
            return (Send(sender, OfferWithdrawn(queued.key)),)
        return self._classed_offers.on_queued(pending, queued, now)

    def _on_tick(self, now: float) -> tuple[Action, ...]:
        return tuple(
            action
            for pending in self._pending_flows.expire(now)
            for action in self._procedure_of(pending).on_due(pending, now)
        )

    def _find_classed(self, key: FlowKey) -> PendingFlow | None:
        pending = self._pending_flows.find(key)
        return pending if pending and pending.progress else None

    def _procedure_of(self, pending: PendingFlow) -> OfferProcedure:
        return self._classed_offers if pending.progress else self._plain_offers


def _understands_no_classes(agent: AgentId, incarnation: Incarnation) -> bool:
    return False
