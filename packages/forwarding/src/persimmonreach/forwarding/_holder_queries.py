"""Responses of an agent to entry instances that search for the holder of a flow."""

from typing import NamedTuple

from persimmonreach.core import Action, AgentId, Count, Endpoint, FlowKey, Send
from persimmonreach.flows import FlowTable
from persimmonreach.forwarding._incarnations import BackendIncarnations
from persimmonreach.forwarding._liveness import SYN_RESPONSE_TIMEOUT_S, BackendLiveness
from persimmonreach.forwarding._pending_queries import PendingQueries
from persimmonreach.forwarding._unconfirmed import UnconfirmedFlows
from persimmonreach.lookup import (
    FlowFound,
    FlowNotFound,
    FlowsQuery,
    FlowsResponse,
    FlowUnconfirmed,
    PacketReturned,
)
from persimmonreach.packets import PacketFormat, PacketHeader


class KnownFlows(NamedTuple):
    """Flows that an agent knows.

    Attributes
    ----------
    flows
        Flows of the backend server, as seen from their packets.
    unconfirmed_flows
        Flows that the backend server may not hold.

    """

    flows: FlowTable
    unconfirmed_flows: UnconfirmedFlows


class HolderQueryResponder:
    """Responds to queries for flows that the local backend server may hold.

    An agent that started after its backend server may have missed flows. It
    then delivers the queried packet: the backend server bounces or resets it if it
    does not hold the flow, and responds to the caller if it does. Nothing else shows
    that it holds the flow: a backend server that is not responding rejects no packet
    either, while the operating system accepts connections for it.

    Parameters
    ----------
    agent
        Id of this agent.
    packet_format
        Codec of the packets of the front end.
    known_flows
        Flows of the backend server, and which of them are unconfirmed.
    incarnations
        Incarnations of the backend server.
    liveness
        Liveness of the backend server.

    """

    def __init__(
        self,
        agent: AgentId,
        packet_format: PacketFormat,
        known_flows: KnownFlows,
        incarnations: BackendIncarnations,
        liveness: BackendLiveness,
    ) -> None:
        self._agent = agent
        self._packet_format = packet_format
        self._flows = known_flows.flows
        self._unconfirmed_flows = known_flows.unconfirmed_flows
        self._incarnations = incarnations
        self._liveness = liveness
        self._pending_queries = PendingQueries()

    @property
    def wake_at(self) -> float:
        """Time at which the next pending query may be resolved."""
        return self._pending_queries.next_at

    def on_packet_query(
        self,
        sender: Endpoint,
        header: PacketHeader,
        now: float,
    ) -> tuple[bool, tuple[Action, ...]]:
        """Respond to a query that carries a packet of the flow.

        Returns
        -------
        tuple
            Whether the packet is to be delivered to the backend server, and the
            actions.

        """
        key = header.key
        flow = self._flows.find(key)
        if flow is not None and flow.matches(header):
            flow.entry_endpoint = sender
            self._flows.observe_caller_packet(flow, header, now)
            if flow.is_held:
                return True, (Send(sender, FlowFound(key, self._agent)),)
        elif key not in self._unconfirmed_flows:
            if flow is not None or self._is_absence_proved(now):
                return False, (Send(sender, FlowNotFound(key, self._agent)),)
        # Only the backend server can decide whether it holds the flow. It
        # bounces or resets the packet if it does not.
        self._pending_queries.add(key, sender, now)
        self._liveness.expect_response(SYN_RESPONSE_TIMEOUT_S, now)
        return True, (Count('packets_offered'),)

    def on_key_query(
        self,
        sender: Endpoint,
        query: FlowsQuery,
        now: float,
    ) -> tuple[Action, ...]:
        """Respond to a query by keys: which flows are held, which indeterminate."""
        held: list[FlowKey] = []
        indeterminate: list[FlowKey] = []
        is_absence_certain = self._is_absence_proved(
            now
        ) or self._incarnations.are_all_flows_known(now)
        for key in query.keys:
            flow = self._flows.find(key)
            is_unconfirmed = key in self._unconfirmed_flows
            if flow is not None and flow.is_held:
                held.append(key)
            elif flow is not None or is_unconfirmed or not is_absence_certain:
                indeterminate.append(key)
        response = FlowsResponse(
            query.query_id, self._agent, tuple(held), tuple(indeterminate)
        )
        return (Send(sender, response),)

    def resolve_held(self, key: FlowKey) -> tuple[Action, ...]:
        """Resolve the query of a flow after the backend server sent a packet of it."""
        return tuple(
            Send(sender, FlowFound(key, self._agent))
            for sender in self._pending_queries.pop(key)
        )

    def is_pending(self, key: FlowKey) -> bool:
        """Return whether a query waits for a sign that the flow is held or not."""
        return key in self._pending_queries

    def resolve_denied(
        self, key: FlowKey, packet: bytes, sender: Endpoint | None = None
    ) -> tuple[Send, ...]:
        """Return the negative responses to the queries whose packet was rejected.

        The packet itself is returned after ``FlowUnconfirmed``, because the entry
        instance may have ended its search with this agent as the holder.

        Parameters
        ----------
        key
            Key of the flow.
        packet
            Rejected packet.
        sender
            Entry instance that sent the packet; None if it is not known, so that all
            senders of queries get the response.

        """
        not_found = FlowNotFound(key, self._agent)
        returned = PacketReturned(self._agent, packet)
        senders = self._pending_queries.pop(key, sender)
        return tuple(
            Send(recipient, returned if is_told else not_found)
            for recipient, is_told in senders.items()
        )

    def resolve_all_missing(self) -> tuple[Send, ...]:
        """Resolve all pending queries after the backend server lost its flows."""
        return tuple(
            Send(sender, FlowNotFound(key, self._agent))
            for key, sender in self._pending_queries.pop_all()
        )

    def resolve_pending(self, now: float) -> tuple[Action, ...]:
        """Tell the senders of the queries that are due that the flow is unconfirmed."""
        return tuple(
            Send(sender, FlowUnconfirmed(key, self._agent))
            for key, sender in self._pending_queries.report_unconfirmed(now)
        )

    def _is_absence_proved(self, now: float) -> bool:
        return self._liveness.is_down or self._incarnations.is_start_seen(now)
