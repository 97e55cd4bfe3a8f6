"""Resets of the flows of a backend server toward both ends."""

from collections.abc import Iterable

from persimmonreach.core import (
    Action,
    Count,
    Deliver,
    FlowKey,
    LogDecision,
    SendToCaller,
)
from persimmonreach.flows import FlowRecord, FlowTable, UnresponsiveFlow
from persimmonreach.forwarding._admission import FlowAdmission
from persimmonreach.packets import RST, PacketFormat, Segment
from persimmonreach.placement import RefusalReason


class FlowResets:
    """Ends flows of the backend server and tells their ends.

    Parameters
    ----------
    packet_format
        Codec of the packets of the front end.
    flows
        Flows of the backend server.
    admission
        Refuses the flows that are not open yet.

    """

    def __init__(
        self, packet_format: PacketFormat, flows: FlowTable, admission: FlowAdmission
    ) -> None:
        self._packet_format = packet_format
        self._flows = flows
        self._admission = admission

    def reset_both_ends(self, now: float) -> tuple[Action, ...]:
        """Reset all flows toward callers and backend server, and remove them."""
        resets = self._build_backend_resets(self._flows.keys)
        return (*resets, *self.reset_callers(now))

    def reset_callers(self, now: float) -> tuple[Action, ...]:
        """Reset all flows toward callers, and remove them.

        Flows without a completed handshake are refused, so that their entry
        instances can place them elsewhere.
        """
        actions: list[Action] = []
        lost_count = 0
        for key in self._flows.keys:
            flow = self._flows.remove(key)
            if flow is None:
                continue
            lost_count += 1
            if flow.is_open:
                reset = self._packet_format.build_reset(key, flow.acknowledged)
                actions.append(SendToCaller(reset))
            elif flow.entry_endpoint is not None:
                actions.extend(
                    self._admission.refuse(
                        flow.entry_endpoint, key, RefusalReason.DOWN, now
                    )
                )
        actions.append(Count('flows_lost_with_backend', lost_count))
        return tuple(actions)

    def reset_unresponsive(self, action: Action) -> tuple[Action, ...]:
        """Replace an ``UnresponsiveFlow`` by the resets of that flow."""
        if not isinstance(action, UnresponsiveFlow):
            return (action,)
        flow = self._flows.remove(action.key)
        acknowledged = flow.acknowledged if flow else 0
        reset = self._packet_format.build_reset(action.key, acknowledged)
        return (
            *self._build_backend_resets((action.key,), flow),
            SendToCaller(reset),
            Count('flows_ended_silent'),
            LogDecision('flow_ended', action.key, 'silent', {}),
        )

    def _build_backend_resets(
        self,
        keys: Iterable[FlowKey],
        removed_flow: FlowRecord | None = None,
    ) -> tuple[Action, ...]:
        if not self._packet_format.can_build_segments:
            return ()
        return tuple(
            Deliver(
                self._packet_format.build_inbound(
                    key, Segment(RST, flow.backend.acknowledged)
                )
            )
            for key in keys
            if (flow := removed_flow or self._flows.find(key)) is not None
        )
