"""Hands the actions that one slice addresses to another to that slice."""

from collections import deque
from types import MappingProxyType

from persimmonreach.admission import (
    AdmitLocal,
    PlacedFlowEnded,
    PlacementSettled,
    PlaceNew,
)
from persimmonreach.core import Action, Count, FlowKey, Reply
from persimmonreach.flows import EndFlow, EndReason, FlowClosed
from persimmonreach.ownership import (
    Admit,
    DeliverLocal,
    EndLocalFlow,
    FlowPlaced,
    LocalFlowEnded,
    ResetCaller,
    ResetFlow,
)
from persimmonreach.packets import ACK, PacketHeader
from persimmonreach.packets.builder import Segment, build_outbound, build_reset
from persimmonreach.requests import CancelAttempt, FlowEnded, ReplyFrame, RunAttempt
from persimmonreach.routing._packet_path import PacketPath
from persimmonreach.routing._parts import AgentParts, report_flows


class ActionTranslator:
    """Turns actions between slices into actions for the outside.

    Parameters
    ----------
    parts
        State machines of the agent.
    path
        Path of the packets of local flows.

    """

    def __init__(self, parts: AgentParts, path: PacketPath) -> None:
        self._parts = parts
        self._path = path
        self._pending_headers: dict[FlowKey, PacketHeader] = {}
        self._translations = MappingProxyType(
            {
                Admit: self._admit,
                AdmitLocal: self._admit_local,
                PlacementSettled: self._placement_settled,
                DeliverLocal: self._deliver_local,
                ResetCaller: self._reset_caller,
                EndLocalFlow: self._end_local_flow,
                ResetFlow: self._reset_flow,
                FlowClosed: self._flow_closed,
                RunAttempt: path.run_attempt,
                CancelAttempt: path.cancel_attempt,
                ReplyFrame: path.reply_frame,
            },
        )

    def translate(
        self,
        actions: tuple[Action, ...],
        now: float,
    ) -> tuple[Action, ...]:
        """Return the actions for the outside that ``actions`` lead to."""
        # Packets of local flows lead to actions for the outside only.
        if self._translations.keys().isdisjoint(map(type, actions)):
            return actions
        pending = deque(actions)
        outside: list[Action] = []
        while pending:
            action = pending.popleft()
            translation = self._translations.get(type(action))
            if translation is None:
                outside.append(action)
            else:
                pending.extend(translation(action, now))
        return tuple(outside)

    def _admit(self, action: Admit, now: float) -> tuple[Action, ...]:
        self._pending_headers[action.header.key] = action.header
        placed = PlaceNew(action.header.key, action.packet)
        return self._parts.placement.handle(placed, now)

    def _admit_local(self, action: AdmitLocal, now: float) -> tuple[Action, ...]:
        opened = self._path.open_flow(action.key, action.packet, now)
        return opened + report_flows(self._parts, now)

    def _placement_settled(
        self,
        action: PlacementSettled,
        now: float,
    ) -> tuple[Action, ...]:
        header = self._pending_headers.pop(action.key, None)
        placed = FlowPlaced(action.key, action.holder)
        actions = self._parts.ownership.handle(placed, now)
        if action.holder is None and header is not None:
            return (*actions, Reply(build_reset(header)), Count('flows_refused'))
        return actions

    def _deliver_local(self, action: DeliverLocal, now: float) -> tuple[Action, ...]:
        return self._path.from_caller(action.header, action.packet, now)

    def _reset_caller(self, action: ResetCaller, now: float) -> tuple[Action, ...]:
        return (Reply(build_reset(action.header)),)

    def _reset_flow(self, action: ResetFlow, now: float) -> tuple[Action, ...]:
        # A reset without the right sequence number is ignored by the caller's
        # stack (RFC 5961). An acknowledgement outside the window makes it
        # answer with its numbers, and that packet is then answered with a reset.
        return (Reply(build_outbound(action.key, Segment(ACK))),)

    def _end_local_flow(
        self,
        action: EndLocalFlow,
        now: float,
    ) -> tuple[Action, ...]:
        return self._parts.flows.handle(EndFlow(action.key, EndReason.CONFLICT), now)

    def _flow_closed(self, action: FlowClosed, now: float) -> tuple[Action, ...]:
        ended = self._parts.requests.handle(FlowEnded(action.key), now)
        ended += self._parts.placement.handle(PlacedFlowEnded(action.key), now)
        return ended + self._parts.ownership.handle(LocalFlowEnded(action.key), now)
