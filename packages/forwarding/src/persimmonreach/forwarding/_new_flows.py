"""Offers of new flows to an agent, and the delivery of their SYNs."""

from persimmonreach.core import Action, Count, Endpoint, FlowKey, Send
from persimmonreach.flows import FlowRecord
from persimmonreach.forwarding._admission import FlowAdmission
from persimmonreach.forwarding._caller_packets import CallerPackets
from persimmonreach.forwarding._delivered_syns import DeliveredSyns
from persimmonreach.forwarding._flow_tracking import FlowTracking
from persimmonreach.forwarding._liveness import SYN_RESPONSE_TIMEOUT_S, BackendLiveness
from persimmonreach.forwarding._waiting_flows import SynOffer, WaitingFlows
from persimmonreach.packets import PacketHeader
from persimmonreach.placement import FlowAccepted, FlowOffer, RefusalReason
from persimmonreach.queueing import ClassedOffer


class NewFlows:
    """Admits, queues or refuses offered flows and delivers the SYNs of admitted ones.

    Parameters
    ----------
    tracking
        Flows of the backend server.
    caller_packets
        Parses and labels the packets of callers.
    admission
        Limits of the backend server.
    waiting_flows
        Flows that wait for admission.
    liveness
        Liveness of the backend server, which is to respond to each SYN.

    """

    def __init__(
        self,
        tracking: FlowTracking,
        caller_packets: CallerPackets,
        admission: FlowAdmission,
        waiting_flows: WaitingFlows,
        liveness: BackendLiveness,
    ) -> None:
        self._flows = tracking.flows
        self._caller_packets = caller_packets
        self._admission = admission
        self._waiting_flows = waiting_flows
        self._liveness = liveness
        self._delivered_syns = DeliveredSyns()

    def on_offer(
        self, sender: Endpoint, offer: FlowOffer | ClassedOffer, now: float
    ) -> tuple[Action, ...]:
        """Deliver a SYN if its flow is admitted; queue or refuse the flow otherwise.

        A retransmission is delivered too, unless the flow is already open.
        """
        header = self._caller_packets.parse(offer.packet)
        if header is None:
            return (Count('packets_malformed'),)
        flow = self._find_unreplaced(header)
        if flow is not None and flow.is_open:
            return self._answer_late(sender, offer, header.key, flow)
        if flow is not None:
            return self._deliver(sender, header, offer.packet, now)
        if isinstance(offer, ClassedOffer):
            return self._on_classed_offer(SynOffer(sender, offer, header), now)
        reason = self._admission.admit(offer, now)
        if reason is not None:
            return self._admission.refuse(sender, header.key, reason, now)
        return self._deliver(sender, header, offer.packet, now)

    def on_bounced(
        self, sender: Endpoint, key: FlowKey, now: float
    ) -> tuple[Action, ...]:
        """Refuse a flow whose SYN the backend server returned, unless it is open."""
        flow = self._flows.find(key)
        if flow is not None and flow.is_open:
            return ()
        self._flows.remove(key)
        self._delivered_syns.discard(key)
        return self._admission.refuse(sender, key, RefusalReason.FULL, now)

    def release_waiting(self, now: float) -> tuple[Action, ...]:
        """Deliver the SYNs of waiting flows that are admitted now; refuse ended ones."""
        actions = list(self._waiting_flows.refuse_ended(now))
        release = self._waiting_flows.admit_next(now)
        while release is not None:
            actions.extend(release.actions)
            if release.admitted is not None:
                sender, offer, header = release.admitted
                actions.extend(self._deliver(sender, header, offer.packet, now))
            release = self._waiting_flows.admit_next(now)
        return tuple(actions)

    def _on_classed_offer(self, syn: SynOffer, now: float) -> tuple[Action, ...]:
        was_delivered = self._delivered_syns.may_contain(
            syn.header,
            now,
            are_all_flows_known=self._admission.are_all_flows_known(now),
        )
        is_admitted, actions = self._waiting_flows.offer(
            syn, now, was_delivered=was_delivered
        )
        if not is_admitted:
            return actions
        return self._deliver(syn.sender, syn.header, syn.offer.packet, now)

    def _answer_late(
        self,
        sender: Endpoint,
        offer: FlowOffer | ClassedOffer,
        key: FlowKey,
        flow: FlowRecord,
    ) -> tuple[Action, ...]:
        """Drop a delayed copy of the SYN of an open flow.

        An entry instance that offers the flow with a class is still placing it: the
        acceptance was lost, or was sent to another entry instance. Without a response it
        would offer the open flow to other agents.
        """
        count_action = Count('first_packets_late')
        sequence = flow.initial_sequence
        if sequence is None or isinstance(offer, FlowOffer):
            return (count_action,)
        acceptance = FlowAccepted(key, self._admission.agent, sequence)
        return (count_action, Send(sender, acceptance))

    def _find_unreplaced(self, header: PacketHeader) -> FlowRecord | None:
        """Return a known flow, unless the SYN opens a new one in its place."""
        flow = self._flows.find(header.key)
        if flow is not None and flow.is_replaced_by(header):
            self._flows.remove(header.key)
            return None
        return flow

    def _deliver(
        self, sender: Endpoint, header: PacketHeader, packet: bytes, now: float
    ) -> tuple[Action, ...]:
        self._waiting_flows.discard(header.key)
        self._delivered_syns.add(header, now)
        flow = self._flows.find(header.key)
        if flow is None:
            flow = self._flows.add(header.key, sender, now, header.sequence)
        flow.entry_endpoint = sender
        self._liveness.expect_response(SYN_RESPONSE_TIMEOUT_S, now)
        return (self._caller_packets.build_delivery(sender, packet),)
