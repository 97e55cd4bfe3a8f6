"""Keepalive probes that detect unresponsive flows.

A middlebox that has lost its state leaves both ends of a flow waiting. Probes
detect such flows, and resets let the callers open new ones.
"""

from typing import Final, NamedTuple

from persimmonreach.core import Action, Count, Deliver, FlowKey, SendToCaller
from persimmonreach.flows._flow_record import FlowRecord, SenderState
from persimmonreach.flows._flow_table import FlowTable
from persimmonreach.packets import PacketFormat, Segment

# Interval between scans of the flow table for flows that are due for a probe.
SCAN_PERIOD_S: Final = 0.5
_SEQUENCE_MODULUS: Final = 0x100000000


class ProbeSettings(NamedTuple):
    """When an idle flow is probed and an unresponsive flow is ended.

    Attributes
    ----------
    idle_s
        Seconds without a packet from the caller or the backend server before
        that side is probed.
    interval_s
        Seconds between two probes of the same side.
    probes
        Probes without a response after which the flow is ended. With 29 s of idle time,
        3 probes 5 s apart and two scans a second, an unresponsive flow ends
        within 45 s.
    enabled
        False disables probing; for measurements only.

    """

    idle_s: float = 29
    interval_s: float = 5
    probes: int = 3
    enabled: bool = True


class UnresponsiveFlow(NamedTuple):
    """Action: end a flow of which one side did not respond to its probes."""

    key: FlowKey


class FlowProber:
    """Decides which flows are probed and which are unresponsive.

    Parameters
    ----------
    settings
        When flows are probed and ended.
    packet_format
        Builds the probes. If the format cannot build packets, no flow is
        probed.

    """

    def __init__(self, settings: ProbeSettings, packet_format: PacketFormat) -> None:
        self._settings = settings
        self._packet_format = packet_format
        self._next_scan_at: float = 0

    def probe(self, flows: FlowTable, now: float) -> tuple[Action, ...]:
        """Return the probes that are due, and the flows that are unresponsive.

        Calls before the next scan is due return nothing.
        """
        can_probe = self._settings.enabled and self._packet_format.can_build_segments
        if not can_probe or now < self._next_scan_at:
            return ()
        self._next_scan_at = now + SCAN_PERIOD_S
        return tuple(
            action
            for key, flow in flows.items()
            # A probe would complete the handshake of a flow that the caller has opened
            # at another backend server.
            if flow.is_open and not flow.is_closed
            for action in self._probe_flow(key, flow, now)
        )

    def _probe_flow(
        self, key: FlowKey, flow: FlowRecord, now: float
    ) -> tuple[Action, ...]:
        is_caller_due = self._is_due(flow.caller, now)
        is_backend_due = self._is_due(flow.backend, now)
        if not (is_caller_due or is_backend_due):
            return ()
        if (
            max(flow.caller.probe_count, flow.backend.probe_count)
            >= self._settings.probes
        ):
            return (UnresponsiveFlow(key),)
        actions: list[Action] = []
        if is_caller_due:
            flow.caller.probe_count += 1
            probe = _build_probe(flow.caller)
            actions.append(SendToCaller(self._packet_format.build_outbound(key, probe)))
        if is_backend_due:
            flow.backend.probe_count += 1
            probe = _build_probe(flow.backend)
            actions.append(Deliver(self._packet_format.build_inbound(key, probe)))
        return (*actions, Count('probes_sent', len(actions)))

    def _is_due(self, target: SenderState, now: float) -> bool:
        wait_s = self._settings.idle_s + target.probe_count * self._settings.interval_s
        return now - target.last_packet_at >= wait_s


def _build_probe(target: SenderState) -> Segment:
    """Return a keepalive probe to ``target`` (RFC 9293, 3.8.4).

    The sequence numbers of an adopted flow may still be unknown. The probe works
    without them, because a segment outside the window is acknowledged as well.
    """
    return Segment.pure_ack(
        (target.acknowledged - 1) % _SEQUENCE_MODULUS,
        target.next_sequence,
    )
