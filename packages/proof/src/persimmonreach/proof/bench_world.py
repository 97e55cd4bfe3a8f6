"""Agents of one service in virtual time, with the decisions of the product."""

import heapq
from collections import Counter
from collections.abc import Callable, Iterable
from itertools import count
from typing import Any, Final

from persimmonreach.admission import PlacementPolicy
from persimmonreach.configuration import Configuration, ConfigurationChanged
from persimmonreach.core import (
    Action,
    Deliver,
    Endpoint,
    FlowKey,
    Received,
    Reply,
    Send,
    Tick,
)
from persimmonreach.membership import (
    LeaseRenewed,
    MemberState,
    ReportLoad,
    View,
    ViewChanged,
    ViewConfirmed,
)
from persimmonreach.membership._table import digest_members
from persimmonreach.packets import Ipv4TcpCodec
from persimmonreach.proof.bench_inputs import ZONES, make_services
from persimmonreach.proof.bench_node import CONNECTIONS, Node
from persimmonreach.routing import ConnectionsRead, DrainRequested, EntryRouter, Forward

TICK_S: Final = 0.1
LEASE_S: Final = 6
LINK_S: Final = 0.004
_TICKS_PER_HEARTBEAT: Final = 20
_START_S: Final = 1000


class World:
    """Agents, one entry instance and the links between them.

    Parameters
    ----------
    policy
        Choice of the backend server of a new flow.
    observe
        Called with each message between agents.

    """

    def __init__(
        self,
        policy: PlacementPolicy,
        observe: Callable[[Any], None] | None = None,
    ) -> None:
        self._policy = policy
        self._observe = observe
        self._order = count()
        self._queue: list[Any] = []
        self._steps = 0
        self._entry = EntryRouter(ZONES[0], Ipv4TcpCodec())
        self._now = float(_START_S)
        self.nodes: dict[Endpoint, Node] = {}
        self.delivered: Counter[FlowKey] = Counter()
        self.replies = 0
        service = make_services(1)[0]
        self._configuration = ConfigurationChanged(
            Configuration(1, (service._replace(connections=CONNECTIONS),))
        )
        self._entry.handle(self._configuration, self._now)

    @property
    def now(self) -> float:
        """Virtual time in seconds."""
        return self._now

    @property
    def active(self) -> list[Node]:
        """Agents that take new flows, in the order in which they joined."""
        return [node for node in self.nodes.values() if node.member.is_eligible]

    def add(self, number: int) -> Node:
        """Start an agent."""
        node = Node(number, self._policy)
        self.nodes[node.member.endpoint] = node
        self.post(node, self._configuration)
        self.post(node, ConnectionsRead(()))
        self._spread_view()
        return node

    def drain(self, node: Node) -> None:
        """Start the draining of an agent; its flows stay."""
        node.member = node.member._replace(state=MemberState.DRAINING)
        self.post(node, DrainRequested())
        self._spread_view()

    def send_packet(self, packet: bytes) -> None:
        """Send a caller's packet by way of the entry instance."""
        route = self._entry.route(packet, 0)
        if isinstance(route, Forward):
            sender = Endpoint('10.30.0.1', 1)
            self._schedule(route.to, Received(sender, route.message))

    def run(self, seconds: float) -> None:
        """Let time pass."""
        for _ in range(round(seconds / TICK_S)):
            self._step()

    def post(self, node: Node, event: Any) -> None:
        """Hand an event to an agent and carry out its actions."""
        self._perform(node, node.router.handle(event, self._now))

    def _step(self) -> None:
        if self._steps % _TICKS_PER_HEARTBEAT == 0:
            self._beat()
        self._steps += 1
        end = self._now + TICK_S
        while self._queue and self._queue[0][0] <= end:
            due, _, endpoint, event = heapq.heappop(self._queue)
            self._now = due
            self.post(self.nodes[endpoint], event)
        self._now = end
        for node in self.nodes.values():
            self.post(node, Tick())

    def _beat(self) -> None:
        digest = self._view().digest
        endpoints = tuple(self.nodes)
        for node in self.nodes.values():
            others = tuple(row for row in endpoints if row != node.member.endpoint)
            self.post(node, LeaseRenewed(self._now + LEASE_S))
            self.post(node, ViewConfirmed(digest, self._now))
            self.post(node, ReportLoad(others))

    def _view(self) -> View:
        members = tuple(sorted(node.member for node in self.nodes.values()))
        return View(members[0].service, members, digest_members(members))

    def _spread_view(self) -> None:
        changed = ViewChanged(self._view())
        self._entry.handle(changed, self._now)
        for node in self.nodes.values():
            self.post(node, changed)
        self._beat()

    def _perform(self, node: Node, actions: Iterable[Action]) -> None:
        for action in actions:
            match action:
                case Send():
                    self._transmit(node, action)
                case Deliver():
                    header = node.parts.codecs.headers.read_inbound(action.packet)
                    self.delivered[header.key] += 1
                case Reply():
                    self.replies += 1

    def _transmit(self, node: Node, action: Send) -> None:
        if self._observe:
            self._observe(action.message)
        self._schedule(action.to, Received(node.member.endpoint, action.message))

    def _schedule(self, to: Endpoint, event: Any) -> None:
        due = (self._now + LINK_S, next(self._order), to, event)
        heapq.heappush(self._queue, due)
