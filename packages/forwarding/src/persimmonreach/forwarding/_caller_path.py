"""Packet path from callers through an entry instance to agents."""

from typing import Final, NamedTuple

from persimmonreach.core import (
    Action,
    AgentId,
    Count,
    EntryId,
    Event,
    FlowKey,
    LogDecision,
    Send,
    SendToCaller,
    ServiceName,
    Zone,
)
from persimmonreach.discovery import AgentState, AgentTable
from persimmonreach.flows import HolderCache
from persimmonreach.forwarding._outlier_ejection import OutlierEjection
from persimmonreach.forwarding._routes import RouteTable
from persimmonreach.forwarding.messages import RoutedPacket
from persimmonreach.load import AgentLoad, AgentProcess, LoadTable
from persimmonreach.lookup import (
    FindHolder,
    HolderFound,
    HolderNotFound,
    HolderSearch,
    PacketReturned,
)
from persimmonreach.packets import RST, PacketError, PacketFormat, PacketHeader
from persimmonreach.placement import (
    ExpectedDelayPolicy,
    FlowOffer,
    FlowPlaced,
    FlowRejected,
    LocalityPolicy,
    PlaceFlow,
    Placement,
    ZonesChanged,
)
from persimmonreach.rules import ClassOfService, TrafficRules

# The holder of a flow is evicted after one to two generations without a packet. A
# later packet starts a search for it.
_HOLDER_GENERATION_S: Final = 30


class RouteExplanation(NamedTuple):
    """Routing decision for a flow.

    Attributes
    ----------
    service
        Service that the flow is routed to; None if no route has its destination.
    agent
        Agent that receives the packets; None if there is none.
    zone
        Availability zone of that agent.
    is_holder
        Whether the agent holds the flow; otherwise it would be the first to be
        offered the flow.
    class_of_service
        Class of the flow; None if its service declares no classes.

    """

    service: ServiceName | None
    agent: AgentId | None = None
    zone: Zone | None = None
    is_holder: bool = False
    class_of_service: ClassOfService | None = None


class CallerPath:
    """Finds or selects the agent for each packet of a caller.

    Parameters
    ----------
    packet_format
        Codec of the packets of the front end.
    agent_table
        Known agents.
    own_entry
        Id of this entry instance.

    """

    def __init__(
        self,
        packet_format: PacketFormat,
        agent_table: AgentTable,
        own_entry: EntryId,
    ) -> None:
        self._packet_format = packet_format
        self._agent_table = agent_table
        self._load_table = LoadTable(self._find_process)
        self._outliers = OutlierEjection(agent_table, self._load_table)
        self._placement = Placement(
            agent_table,
            LocalityPolicy(agent_table.zone),
            classed_policy=ExpectedDelayPolicy(
                agent_table.zone,
                self._load_table,
                self._load_table.understands_classes,
                self._outliers.ejections,
            ),
            understands_classes=self._load_table.understands_classes,
            ejections=self._outliers.ejections,
        )
        self._search = HolderSearch(agent_table, own_entry)
        self._routes = RouteTable(packet_format)
        self._holders = HolderCache(_HOLDER_GENERATION_S)

    @property
    def wake_at(self) -> float:
        """Time at which the next ``Tick`` is due."""
        return min(self._placement.wake_at, self._search.wake_at)

    @property
    def rules(self) -> TrafficRules:
        """Rules in force."""
        return self._routes.rules

    @property
    def is_loaded(self) -> bool:
        """Whether rules have been loaded."""
        return self._routes.is_loaded

    @property
    def load_table(self) -> LoadTable:
        """Loads of the agents, as far as they have reported them."""
        return self._load_table

    @property
    def outliers(self) -> OutlierEjection:
        """Detection and ejection of backend servers that fail or are slow."""
        return self._outliers

    @property
    def flows_known(self) -> int:
        """Number of flows whose holder is cached."""
        return len(self._holders)

    @property
    def flows_published(self) -> int:
        """Number of flows that agents have published to this entry instance."""
        return self._search.flows_published

    def explain(self, key: FlowKey, now: float) -> RouteExplanation:
        """Return the routing decision for a flow."""
        limits = self._routes.resolve(key)
        if limits is None:
            return RouteExplanation(None)
        class_of_service = self._routes.resolve_class(key)
        explanation = RouteExplanation(limits.service, class_of_service=class_of_service)
        holder = self._holders.find(key)
        holder_record = None if holder is None else self._agent_table.find(holder)
        record = holder_record or self._placement.select_agent(
            key, limits.service, now, class_of_service
        )
        if record is None:
            return explanation
        return explanation._replace(
            agent=record.agent,
            zone=record.status.zone,
            is_holder=holder_record is not None,
        )

    def load(self, rules: TrafficRules, now: float) -> None:
        """Replace the rules in force."""
        self._routes.load(rules)
        self._outliers.load(rules)
        self._placement.handle(ZonesChanged(rules.zones_out), now)

    def evict(self, now: float) -> None:
        """Evict holders of flows without recent packets, and loads of removed agents."""
        self._holders.rotate(now)
        self._load_table.retain(self._agent_table.agents, now)

    def on_agent_load(self, load: AgentLoad, now: float) -> tuple[Action, ...]:
        """Store the load of an agent."""
        if self._load_table.handle_load(load, now):
            self._outliers.on_report(load, now)
            return (Count('load_messages_received'),)
        return (Count('load_messages_ignored'),)

    def on_packet(self, packet: bytes, now: float) -> tuple[Action, ...]:
        """Place the flow of a SYN; forward any other packet to its holder."""
        try:
            header = self._packet_format.read_inbound(packet)
        except PacketError:
            return (Count('packets_malformed'),)
        if header.is_syn:
            return self._on_syn(header, packet, now)
        holder = self._resolve_holder(header)
        if holder is None:
            return self._on_unknown_flow(header, packet, now)
        return self._forward(header.key, holder, packet, now)

    def on_placement_event(self, event: Event, now: float) -> tuple[Action, ...]:
        """Process an event of the placement of new flows."""
        return self._apply_internal(self._placement.handle(event, now), now)

    def on_flow_refused(self, key: FlowKey, agent: AgentId) -> None:
        """Evict the holder of a flow if it refused a retransmitted SYN.

        An agent where the flow waited before it was placed may refuse it later.
        """
        if self._holders.find(key) == agent:
            self._holders.remove(key)

    def on_search_event(self, event: Event, now: float) -> tuple[Action, ...]:
        """Process an event of the search for holders."""
        return self._apply_internal(self._search.handle(event, now), now)

    def on_packet_returned(
        self, message: PacketReturned, now: float
    ) -> tuple[Action, ...]:
        """Forward a packet that an agent returned because it does not hold the flow."""
        try:
            header = self._packet_format.read_inbound(message.packet)
        except PacketError:
            return (Count('packets_malformed'),)
        if self._holders.find(header.key) == message.agent:
            self._holders.remove(header.key)
        holder = self._holders.find(header.key)
        if holder is not None:
            return self._forward(header.key, holder, message.packet, now)
        return_count = Count('packets_returned')
        search_actions = self._on_unknown_flow(header, message.packet, now, message.agent)
        return (return_count, *search_actions)

    def _find_process(self, agent: AgentId) -> AgentProcess | None:
        record = self._agent_table.find(agent)
        if record is None:
            return None
        return AgentProcess(record.status.service, record.status.incarnation)

    def _resolve_holder(self, header: PacketHeader) -> AgentId | None:
        accepted_by = self._placement.resolve_holder(header.key, header.acknowledgement)
        if accepted_by is not None:
            self._holders.put(header.key, accepted_by)
            return accepted_by
        holder = self._holders.find(header.key)
        return holder or self._placement.offered_to(header.key)

    def _on_syn(
        self,
        header: PacketHeader,
        packet: bytes,
        now: float,
    ) -> tuple[Action, ...]:
        limits = self._routes.resolve(header.key)
        if limits is None:
            return self._reject_unroutable(header)
        holder = self._holders.find(header.key)
        record = None if holder is None else self._agent_table.find(holder)
        if record is not None:
            # A retransmitted SYN: the SYN-ACK was lost or is in flight.
            message = FlowOffer(limits, packet)
            return (Send(record.endpoint, message), Count('first_packets_repeated'))
        event = PlaceFlow(
            header.key,
            limits,
            packet,
            age_s=self._packet_format.syn_age_s(header),
            class_of_service=self._routes.resolve_class(header.key),
            source=self._packet_format.source_host(header.key),
        )
        return self.on_placement_event(event, now)

    def _reject_unroutable(self, header: PacketHeader) -> tuple[Action, ...]:
        if not self._routes.is_loaded:
            return (Count('packets_before_rules'),)
        inputs = {'version': self._routes.rules.version}
        return (
            self._build_reset(header),
            Count('packets_without_route'),
            LogDecision('flow_without_route', header.key, 'reset', inputs),
        )

    def _on_unknown_flow(
        self,
        header: PacketHeader,
        packet: bytes,
        now: float,
        not_held_by: AgentId | None = None,
    ) -> tuple[Action, ...]:
        if header.flags & RST:
            return (Count('resets_of_unknown_flows'),)
        limits = self._routes.resolve(header.key)
        if limits is None:
            return self._reject_unroutable(header)
        event = FindHolder(header.key, limits.service, packet, not_held_by)
        return self.on_search_event(event, now)

    def _forward(
        self,
        key: FlowKey,
        holder: AgentId,
        packet: bytes,
        now: float,
    ) -> tuple[Action, ...]:
        record = self._agent_table.find(holder)
        if record is None or record.status.state is AgentState.LEFT:
            self._holders.remove(key)
            header = self._packet_format.read_inbound(packet)
            return self._on_unknown_flow(header, packet, now, holder)
        return (Send(record.endpoint, RoutedPacket(packet)),)

    def _apply_internal(
        self,
        actions: tuple[Action, ...],
        now: float,
    ) -> tuple[Action, ...]:
        """Apply the actions addressed to another slice; return all others."""
        external: list[Action] = []
        for action in actions:
            match action:
                case FlowPlaced(key, agent):
                    self._holders.put(key, agent)
                case HolderFound():
                    external.extend(self._on_holder_found(action, now))
                case HolderNotFound(_, packet) | FlowRejected(_, packet):
                    header = self._packet_format.read_inbound(packet)
                    external.append(self._build_reset(header))
                case _:
                    external.append(action)
        return tuple(external)

    def _on_holder_found(self, found: HolderFound, now: float) -> tuple[Action, ...]:
        self._holders.put(found.key, found.agent)
        return tuple(
            action
            for packet in found.packets
            for action in self._forward(found.key, found.agent, packet, now)
        )

    def _build_reset(self, header: PacketHeader) -> SendToCaller:
        return SendToCaller(self._packet_format.build_reset_response(header))
