"""Choice of the backend server that a new flow lives on."""

from random import Random
from typing import Final, final

from persimmonreach.admission._accepting import FlowAcceptor
from persimmonreach.admission._events import (
    AdmitLocal,
    FlowsAdopted,
    LocalFlowCount,
    PlacedFlowEnded,
    PlacementSettled,
    PlaceNew,
)
from persimmonreach.admission._members import MemberId, ServiceMembers
from persimmonreach.admission._peers import PeerLoads
from persimmonreach.admission._pending import Pending, PlacementSettings
from persimmonreach.admission._policy import PlacementPolicy
from persimmonreach.admission._standing import Standing
from persimmonreach.admission.messages import (
    LoadReport,
    PlaceAnswer,
    PlaceFlow,
    Verdict,
)
from persimmonreach.configuration import ConfigurationChanged
from persimmonreach.core import (
    Action,
    AgentId,
    Count,
    Event,
    FlowKey,
    Incarnation,
    Received,
    Send,
    ServiceId,
    StateMachine,
    Tick,
    Zone,
)
from persimmonreach.membership import (
    LeaseLapsed,
    LeaseRenewed,
    Member,
    ReportLoad,
    View,
    ViewChanged,
)

# The first choice and one more after a refusal.
_MAX_CHOICES: Final = 2
_NUMBER_BITS: Final = 48


@final
class Placement(StateMachine):
    """Places new flows of the agent's buckets, and takes flows of other owners.

    Handles PlaceNew, LocalFlowCount, ViewChanged, ConfigurationChanged,
    PlacedFlowEnded, LeaseRenewed, LeaseLapsed, ReportLoad, Received and Tick.

    Parameters
    ----------
    agent, zone, service
        Identity of the local agent.
    settings
        Times and the default flow limit.
    policy
        Choice among the members that may take a flow.
    rng
        Random numbers of the choice and the first message number.

    """

    def __init__(
        self,
        agent: AgentId,
        zone: Zone,
        service: ServiceId,
        settings: PlacementSettings,
        policy: PlacementPolicy,
        rng: Random,
    ) -> None:
        self._agent = agent
        self._settings = settings
        self._policy = policy
        self._rng = rng
        self._peers = PeerLoads(settings.connections)
        self._standing = Standing()
        self._acceptor = FlowAcceptor(settings.connections, settings.verdict_lifetime_s)
        self._members = ServiceMembers(
            MemberId(agent, zone, service), self._acceptor, self._peers
        )
        self._pending: dict[FlowKey, Pending] = {}
        # Random, so that a restarted agent does not repeat earlier numbers.
        self._number = rng.getrandbits(_NUMBER_BITS)
        self._reports = 0

    def handle(self, event: Event, now: float) -> tuple[Action, ...]:
        """Return the actions that ``event`` causes."""
        match event:
            case PlaceNew():
                return self._place_new(event, now)
            case Received():
                return self._receive(event, now)
            case ReportLoad():
                return self._report(event)
            case ViewChanged():
                return self._change_view(event.view)
            case Tick():
                return self._repeat(now)
        self._note(event, now)
        return ()

    def _note(self, event: Event, now: float) -> None:
        match event:
            case LocalFlowCount():
                self._acceptor.count(event)
            case PlacedFlowEnded():
                self._acceptor.release(event.key)
            case FlowsAdopted():
                self._acceptor.adopt(event.keys, now)
            case LeaseRenewed() | LeaseLapsed():
                self._standing.note(event)
            case ConfigurationChanged():
                self._members.change_zones(event.configuration.zones_out)
                self._acceptor.close(self._members.is_zone_out)

    def _receive(self, event: Received, now: float) -> tuple[Action, ...]:
        match event.message:
            case PlaceFlow():
                return self._asked(event, now)
            case PlaceAnswer():
                return self._answered(event.message, now)
            case LoadReport():
                if not self._peers.report(event.message):
                    return (Count('load_reports_late'),)
        return ()

    def _place_new(self, event: PlaceNew, now: float) -> tuple[Action, ...]:
        if event.key in self._pending:
            return (Count('placements_repeated'),)
        if self._members.is_zone_out:
            return (PlacementSettled(event.key, None), Count('placements_failed'))
        return self._choose(event, frozenset(), now)

    def _choose(
        self,
        flow: PlaceNew,
        refused: frozenset[AgentId],
        now: float,
    ) -> tuple[Action, ...]:
        candidates = self._members.candidates(refused)
        if not candidates or len(refused) >= _MAX_CHOICES:
            return (PlacementSettled(flow.key, None), Count('placements_failed'))
        chosen = self._policy.choose(candidates, self._rng)
        if chosen.agent == self._agent:
            self._acceptor.admit()
            return (
                AdmitLocal(flow.key, flow.packet),
                PlacementSettled(flow.key, self._agent),
            )
        member = self._members.find(chosen.agent)
        message = self._question(flow, member)
        self._pending[flow.key] = Pending(member, message, now, refused)
        self._peers.placed(chosen.agent)
        return (Send(member.endpoint, message),)

    def _question(self, flow: PlaceNew, member: Member) -> PlaceFlow:
        self._number += 1
        return PlaceFlow(
            self._members.service,
            flow.key,
            flow.packet,
            self._agent,
            self._standing.incarnation,
            self._number,
            member.incarnation,
        )

    def _asked(self, event: Received, now: float) -> tuple[Action, ...]:
        message: PlaceFlow = event.message
        if message.service != self._members.service:
            return (Count('placements_of_other_service'),)
        is_new = self._acceptor.is_new(message)
        is_known = not is_new or self._acceptor.holds(message.key)
        if is_known or self._standing.may_take(message.target_incarnation, now):
            verdict = self._acceptor.decide(message, now)
        elif self._standing.is_past(message.target_incarnation, now):
            verdict = self._acceptor.refuse(message, now)
        else:
            return (Count('placements_without_standing'),)
        answer = PlaceAnswer(
            message.key,
            self._agent,
            message.number,
            verdict,
            self._acceptor.flows,
            self._acceptor.flow_limit,
        )
        if is_new and verdict is Verdict.ACCEPTED:
            return (
                AdmitLocal(message.key, message.packet),
                Send(event.sender, answer),
            )
        return (Send(event.sender, answer), Count(f'placements_{verdict}'))

    def _answered(self, answer: PlaceAnswer, now: float) -> tuple[Action, ...]:
        pending = self._pending.get(answer.key)
        if pending is None or pending.message.number != answer.number:
            return (Count('placement_answers_late'),)
        self._pending.pop(answer.key)
        self._peers.answer(answer)
        if answer.verdict is Verdict.ACCEPTED:
            return (PlacementSettled(answer.key, answer.agent),)
        flow = PlaceNew(answer.key, pending.message.packet)
        return self._choose(flow, pending.refused | {pending.member.agent}, now)

    def _change_view(self, view: View) -> tuple[Action, ...]:
        self._members.change_view(view)
        own = self._members.own_row
        if own is not None:
            self._standing.learn(own.incarnation)
        lost = [
            row for row in self._pending.values() if self._members.is_lost(row.member)
        ]
        for pending in lost:
            self._pending.pop(pending.message.key)
        return tuple(PlacementSettled(row.message.key, None) for row in lost)

    def _repeat(self, now: float) -> tuple[Action, ...]:
        self._acceptor.forget(now)
        due = now - self._settings.repeat_s
        late = {
            key: pending
            for key, pending in self._pending.items()
            if pending.sent_at <= due
        }
        for key, pending in late.items():
            self._pending[key] = pending._replace(sent_at=now)
        return tuple(Send(row.member.endpoint, row.message) for row in late.values())

    def _report(self, event: ReportLoad) -> tuple[Action, ...]:
        self._reports += 1
        own = self._members.own_row
        report = LoadReport(
            self._agent,
            own.incarnation if own else Incarnation(0),
            self._acceptor.flows,
            self._acceptor.flow_limit,
            self._reports,
        )
        return tuple(Send(endpoint, report) for endpoint in event.endpoints)
