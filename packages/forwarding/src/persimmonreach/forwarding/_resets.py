"""Resets of the flows of a backend server toward both ends."""

from collections.abc import Iterable
from math import inf

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

    def reset_callers(self, now: float, lost_before: float = inf) -> tuple[Action, ...]:
        """Reset the flows that are lost toward callers, and remove them.

        Flows without a completed handshake are refused, so that their entry
        instances can place them elsewhere. Flows that the backend server has not
        been seen to hold may be open elsewhere, so their callers are not reset.

        Parameters
        ----------
        now
            Current time, in seconds.
        lost_before
            Flows that the backend server opened before this time are lost; infinite if
            it holds no flows any more.

        """
        lost_keys = [
            key for key, flow in self._flows.items() if _is_lost(flow, lost_before)
        ]
        removed = {key: self._flows.remove(key) for key in lost_keys}
        lost = {
            key: flow
            for key, flow in removed.items()
            if flow is not None and (flow.is_confirmed or not flow.is_open)
        }
        return (
            *(
                action
                for key, flow in lost.items()
                for action in self._reset_caller(key, flow, now)
            ),
            Count('flows_lost_with_backend', len(lost)),
        )

    def reset_unresponsive(self, action: Action) -> tuple[Action, ...]:
        """Replace an ``UnresponsiveFlow`` by the resets of that flow.

        A flow that the backend server has not been seen to hold is only forgotten.
        """
        if not isinstance(action, UnresponsiveFlow):
            return (action,)
        flow = self._flows.remove(action.key)
        if flow is not None and not flow.is_confirmed:
            return (Count('flows_ended_unconfirmed'),)
        acknowledged = flow.acknowledged if flow else 0
        reset = self._packet_format.build_reset(action.key, acknowledged)
        return (
            *self._build_backend_resets((action.key,), flow),
            SendToCaller(reset),
            Count('flows_ended_silent'),
            LogDecision('flow_ended', action.key, 'silent', {}),
        )

    def _reset_caller(
        self, key: FlowKey, flow: FlowRecord, now: float
    ) -> tuple[Action, ...]:
        if flow.is_open:
            reset = self._packet_format.build_reset(key, flow.acknowledged)
            return (SendToCaller(reset),)
        if flow.entry_endpoint is None:
            return ()
        return self._admission.refuse(flow.entry_endpoint, key, RefusalReason.DOWN, now)

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


def _is_lost(flow: FlowRecord, lost_before: float) -> bool:
    return lost_before == inf or flow.confirmed_at < lost_before
