"""Packet path between entry instances, a backend server and its callers."""

from collections.abc import Iterable, Iterator
from typing import Final

from persimmonreach.core import (
    Action,
    Count,
    Endpoint,
    FlowKey,
    Send,
    SendToCaller,
)
from persimmonreach.forwarding._admission import FlowAdmission
from persimmonreach.forwarding._caller_packets import CallerPackets
from persimmonreach.forwarding._flow_tracking import FlowTracking
from persimmonreach.forwarding._holder_queries import HolderQueryResponder, KnownFlows
from persimmonreach.forwarding._identity import AgentIdentity
from persimmonreach.forwarding._incarnations import BackendIncarnations
from persimmonreach.forwarding._labels import EntryLabels
from persimmonreach.forwarding._liveness import (
    REQUEST_RESPONSE_TIMEOUT_S,
    BackendLiveness,
)
from persimmonreach.forwarding._new_flows import NewFlows
from persimmonreach.forwarding._resets import FlowResets
from persimmonreach.forwarding._unconfirmed import UnconfirmedFlows
from persimmonreach.forwarding._waiting_flows import WaitingFlows
from persimmonreach.lookup import FlowsQuery, PacketReturned
from persimmonreach.packets import (
    RST,
    SYN,
    PacketError,
    PacketFormat,
    PacketHeader,
)
from persimmonreach.placement import (
    AdmissionController,
    FlowAccepted,
    FlowOffer,
)
from persimmonreach.queueing import ClassedOffer

_SWEEP_INTERVAL_S: Final = 1


class BackendPath:
    """Delivers packets of held flows and responds to packets of all others.

    Parameters
    ----------
    identity
        Identity of this agent.
    packet_format
        Codec of the packets of the front end.
    admission_controller
        Admission controller of the backend server.
    incarnations
        Incarnations of the backend server.
    liveness
        Liveness of the backend server.
    tracking
        Flows of the backend server, and the prober of idle ones.

    """

    def __init__(
        self,
        identity: AgentIdentity,
        packet_format: PacketFormat,
        admission_controller: AdmissionController,
        incarnations: BackendIncarnations,
        liveness: BackendLiveness,
        tracking: FlowTracking,
    ) -> None:
        agent = identity.agent
        self._agent = agent
        self._packet_format = packet_format
        self._incarnations = incarnations
        self._liveness = liveness
        self._flows = tracking.flows
        self._prober = tracking.prober
        self._evidence = tracking.evidence
        self._next_sweep_at: float = 0
        self._labels = EntryLabels(identity.incarnation)
        self._caller_packets = CallerPackets(packet_format, self._labels)
        meter = tracking.meter
        admission = FlowAdmission(
            agent, admission_controller, self._flows, incarnations, meter.stream_rate
        )
        self._waiting_flows = WaitingFlows(admission, meter.estimator.service_s)
        self._new_flows = NewFlows(
            tracking, self._caller_packets, admission, self._waiting_flows, liveness
        )
        self._resets = FlowResets(packet_format, self._flows, admission)
        self._unconfirmed_flows = UnconfirmedFlows()
        self._query_responder = HolderQueryResponder(
            agent,
            packet_format,
            KnownFlows(self._flows, self._unconfirmed_flows),
            incarnations,
            liveness,
        )

    @property
    def wake_at(self) -> float:
        """Time at which the next ``Tick`` is due."""
        return min(self._query_responder.wake_at, self._waiting_flows.wake_at)

    @property
    def gauges(self) -> dict[str, float]:
        """Current values of the gauges, by metric name."""
        return {
            'flows': self.flow_count,
            'flows_busy': self.busy_flow_count,
            **self._waiting_flows.gauges,
        }

    @property
    def flow_count(self) -> int:
        """Number of flows that are not closed."""
        return len(self._flows)

    @property
    def busy_flow_count(self) -> int:
        """Number of flows with a request that waits for its response."""
        return self._flows.busy_count

    @property
    def open_flows(self) -> Iterator[FlowKey]:
        """Flows whose handshake is complete and that are not closed."""
        return (
            key
            for key, flow in self._flows.items()
            if flow.is_held and not flow.is_closed
        )

    def on_routed_packet(
        self, sender: Endpoint, packet: bytes, now: float
    ) -> tuple[Action, ...]:
        """Deliver a packet that an entry instance routed to this agent.

        A packet of a flow that is not held here is returned to the sender. If
        the agent may have missed flows, the packet of an unknown flow is
        delivered: the backend server bounces or resets it if it does not hold the
        flow.
        """
        header = self._caller_packets.parse(packet)
        if header is None:
            return (Count('packets_malformed'),)
        flow = self._flows.find(header.key)
        if flow is None:
            if self._incarnations.is_start_seen(now):
                return (Send(sender, PacketReturned(self._agent, packet)),)
            flow = self._flows.add(header.key, sender, now)
            if not self._packet_format.can_bounce:
                self._unconfirmed_flows.add(header.key, packet, now)
        elif not flow.matches(header):
            self._flows.remove(header.key)
            return (Send(sender, PacketReturned(self._agent, packet)),)
        elif header.key in self._unconfirmed_flows:
            self._unconfirmed_flows.add(header.key, packet, now)
        flow.entry_endpoint = sender
        self._flows.observe_caller_packet(flow, header, now)
        if header.payload_size:
            self._liveness.expect_response(REQUEST_RESPONSE_TIMEOUT_S, now)
        return (self._caller_packets.build_delivery(sender, packet),)

    def on_offer(
        self, sender: Endpoint, message: FlowOffer | ClassedOffer, now: float
    ) -> tuple[Action, ...]:
        """Admit, queue or refuse a new flow."""
        return self._new_flows.on_offer(sender, message, now)

    def on_withdrawn(self, key: FlowKey) -> tuple[Action, ...]:
        """Remove a waiting flow that was placed elsewhere or has ended."""
        self._waiting_flows.discard(key)
        return (Count('offers_withdrawn'),)

    def count_waiting(self) -> int:
        """Return the number of flows that wait for admission."""
        return len(self._waiting_flows)

    def release_waiting(self, now: float) -> tuple[Action, ...]:
        """Admit or refuse waiting flows as far as possible."""
        if self._waiting_flows.is_due(now):
            return self._new_flows.release_waiting(now)
        return ()

    def on_packet_query(
        self, sender: Endpoint, packet: bytes, now: float
    ) -> tuple[Action, ...]:
        """Respond to a packet query, and deliver the packet if that is needed."""
        header = self._caller_packets.parse(packet)
        if header is None:
            return (Count('packets_malformed'),)
        must_deliver, actions = self._query_responder.on_packet_query(sender, header, now)
        if not must_deliver:
            return actions
        if self._query_responder.is_pending(header.key):
            if not self._packet_format.can_bounce:
                self._unconfirmed_flows.add(header.key, packet, now)
        return (self._caller_packets.build_delivery(sender, packet), *actions)

    def on_key_query(
        self, sender: Endpoint, query: FlowsQuery, now: float
    ) -> tuple[Action, ...]:
        """Respond to a query by keys."""
        return self._query_responder.on_key_query(sender, query, now)

    def on_backend_packet(self, packet: bytes, now: float) -> tuple[Action, ...]:
        """Send a packet of the backend server to its caller; handle bounced ones."""
        if self._packet_format.is_bounced(packet):
            return self._on_bounced_packet(packet, now)
        try:
            header = self._packet_format.read_outbound(packet)
        except PacketError:
            return (Count('packets_malformed'),)
        if header.flags & RST and not self._packet_format.can_bounce:
            rejected_packet = self._unconfirmed_flows.reject(header.key, now)
            if rejected_packet is not None:
                return self._on_rejected_packet(header.key, rejected_packet)
            if self._unconfirmed_flows.was_rejected(header.key, now):
                return (Count('resets_repeated'),)
        if header.flags & SYN:
            actions = self._on_syn_ack(header, now)
        else:
            self._unconfirmed_flows.confirm(header.key)
            if self._flows.find(header.key) is None:
                self._flows.add(header.key, None, now)
            actions = self._query_responder.resolve_held(header.key)
        self._flows.observe_backend_packet(header.key, header, now)
        return (SendToCaller(packet), *actions)

    def on_tick(self, now: float) -> tuple[Action, ...]:
        """Resolve pending queries that are due."""
        return self._query_responder.resolve_pending(now)

    def sweep(self, now: float) -> tuple[Action, ...]:
        """Remove expired flows; probe idle flows and reset unresponsive ones."""
        self._evidence.check(self._flows, now, is_up=not self._liveness.is_down)
        if now >= self._next_sweep_at:
            self._next_sweep_at = now + _SWEEP_INTERVAL_S
            self._flows.remove_expired(now)
            self._unconfirmed_flows.remove_expired(now)
        return tuple(
            replacement
            for action in self._prober.probe(self._flows, now)
            for replacement in self._resets.reset_unresponsive(action)
        )

    def adopt(self, keys: Iterable[FlowKey], now: float) -> tuple[Action, ...]:
        """Add the open flows that the backend server listed."""
        adopted_count = 0
        for key in keys:
            self._flows.adopt(key, now)
            adopted_count += 1
        self._incarnations.record_flows_listed(now)
        return (Count('flows_adopted', adopted_count),)

    def reset_both_ends(self, now: float) -> tuple[Action, ...]:
        """Reset all flows toward callers and backend server, and remove them.

        All pending queries get a negative response, and no further packet of a flow
        that the agent does not know is delivered.
        """
        responses = self._query_responder.resolve_all_missing()
        self._incarnations.record_flows_ended(now)
        self._unconfirmed_flows.clear()
        return (*responses, *self._resets.reset_both_ends(now))

    def reset_callers(self, now: float) -> tuple[Action, ...]:
        """Reset all flows toward callers, and remove them.

        All pending queries get a negative response.
        """
        responses = self._query_responder.resolve_all_missing()
        return (*responses, *self._resets.reset_callers(now))

    def reset_lost_callers(self, lost_before: float, now: float) -> tuple[Action, ...]:
        """Reset the flows that ended with a former incarnation of the backend server.

        The backend server decides on flows that it may have opened since.

        Parameters
        ----------
        lost_before
            Flows that the backend server opened before this time are lost.
        now
            Current time, in seconds.

        """
        return self._resets.reset_callers(now, lost_before)

    def _on_rejected_packet(self, key: FlowKey, packet: bytes) -> tuple[Action, ...]:
        """Process the reset of a flow that the backend server does not hold.

        The reset is not sent to the caller, whose flow may be open elsewhere.
        """
        rejection_count = Count('packets_rejected')
        negative_responses = self._query_responder.resolve_denied(key, packet)
        flow = self._flows.remove(key)
        if negative_responses:
            return (rejection_count, *negative_responses)
        if flow is None or flow.entry_endpoint is None:
            return (rejection_count,)
        returned = PacketReturned(self._agent, packet)
        return (rejection_count, Send(flow.entry_endpoint, returned))

    def _on_bounced_packet(self, packet: bytes, now: float) -> tuple[Action, ...]:
        sender = self._labels.endpoint_of(self._packet_format.read_label(packet))
        packet = self._packet_format.restore_bounced(packet)
        header = self._caller_packets.parse(packet)
        bounce_count = Count('packets_bounced')
        if header is None or sender is None:
            return (bounce_count,)
        if header.is_syn:
            return (bounce_count, *self._new_flows.on_bounced(sender, header.key, now))
        self._flows.remove(header.key)
        responses = self._query_responder.resolve_denied(header.key, packet, sender)
        if not responses:
            responses = (Send(sender, PacketReturned(self._agent, packet)),)
        return (bounce_count, *responses)

    def _on_syn_ack(self, header: PacketHeader, now: float) -> tuple[Action, ...]:
        """Report the SYN-ACK of the backend server to the entry instance.

        The caller may have completed the handshake with another backend
        server, so the flow counts as open here only after the caller
        acknowledges this sequence number.
        """
        flow = self._flows.find(header.key) or self._flows.add(header.key, None, now)
        if flow.initial_sequence != header.sequence:
            # The flow is half open here, whatever packets were delivered before: the
            # backend server has restarted, or the caller has opened the flow elsewhere.
            flow.initial_sequence = header.sequence
            flow.is_open = False
            flow.confirmed_at = now
        if flow.entry_endpoint is None:
            return ()
        message = FlowAccepted(header.key, self._agent, header.sequence)
        return (Send(flow.entry_endpoint, message),)
