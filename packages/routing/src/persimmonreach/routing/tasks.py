"""Tasks of the packet path: fabric side, flows of an agent, backend server."""

from collections.abc import Callable, Mapping
from types import MappingProxyType
from typing import Any, Final, NamedTuple

import gevent

from persimmonreach.admission import BackendReported, BackendState
from persimmonreach.core import Action, Clock, Count, Deliver, Reply, Send, Tick
from persimmonreach.membership import MemberState, StateAnnounced
from persimmonreach.packets.adapters import (
    BackendServer,
    BackendUnavailableError,
    Fabric,
)
from persimmonreach.routing._agent import AgentRouter
from persimmonreach.routing._agent_events import (
    BackendPacketArrived,
    BackendServerLost,
    ConnectionsRead,
)
from persimmonreach.routing._entry import EntryRouter, Forward
from persimmonreach.runtime import BATCH, PeerTransport, Task

_TICK_S: Final = 0.2
_STATES: Final = MappingProxyType({str(state): state for state in BackendState})
# A backend server that turns cold without warning is overloaded if it is read
# only every 0.5 s (handover_begun:server_cold of the fault matrix).
_POLL_S: Final = 0.25
# A backend server that misses this many polls in a row is taken for dead.
_LOST_AFTER_POLLS: Final = 6


class FabricTask(Task):
    """Receives packets from the fabric and forwards them to agents.

    Parameters
    ----------
    router
        Routing table; changes of it arrive as messages.
    fabric
        Fabric side; closed with the task.
    peers
        Transport to the agents.
    clock
        Source of the time.

    """

    def __init__(
        self,
        router: EntryRouter,
        fabric: Fabric,
        peers: PeerTransport,
        clock: Clock,
    ) -> None:
        super().__init__(tick_seconds=1)
        self._router = router
        self._fabric = fabric
        self._peers = peers
        self._clock = clock
        self._forwarded = 0
        self._dropped: dict[str, int] = {}
        self._resources.callback(fabric.close)

    @property
    def counts(self) -> dict[str, int]:
        """Packets by what became of them."""
        return {'packets_forwarded': self._forwarded, **self._dropped}

    def start(self) -> None:
        """Start to receive packets and changes."""
        super().start()
        self._spawn(self._receive_packets)

    def receive(self, message: Any) -> None:
        """Apply a change to the routing table."""
        self._router.handle(message, self._clock.now())

    def tick(self) -> None:
        """Tell the router the time, so that it notices a pause."""
        self.receive(Tick())

    def _receive_packets(self) -> None:
        while True:
            for _ in range(BATCH):
                self._forward(self._fabric.receive())
            # A fabric that always has a packet never makes its reader wait.
            gevent.sleep(0)

    def _forward(self, packet: bytes) -> None:
        route = self._router.route(packet, self._clock.now())
        if isinstance(route, Forward):
            self._peers.send(route.to, route.message)
            self._forwarded += 1
        else:
            count = self._dropped.get(route.counter, 0)
            self._dropped[route.counter] = count + 1


class AgentLinks(NamedTuple):
    """What an agent's flow task sends through."""

    backend: BackendServer
    fabric: Fabric
    peers: PeerTransport
    sink: Callable[[Action], None]


class FlowTask(Task):
    """Owns the flows of an agent and the sockets that carry them.

    Parameters
    ----------
    router
        Decisions on packets, messages and changes.
    links
        Backend server and fabric, which are closed with the task, the
        transport to other processes, and the sink of all other actions.
    clock
        Source of the time.

    """

    def __init__(self, router: AgentRouter, links: AgentLinks, clock: Clock) -> None:
        super().__init__(tick_seconds=_TICK_S)
        self._router = router
        self._links = links
        self._clock = clock
        self._counts: dict[str, int] = {}
        self._resources.callback(links.backend.close)
        self._resources.callback(links.fabric.close)

    @property
    def counts(self) -> Mapping[str, int]:
        """Figures counted by the decisions, and packets dropped before them."""
        return {**self._counts, 'packets_overload': self.dropped_packets}

    @property
    def backend(self) -> BackendServer:
        """Backend server beside the agent."""
        return self._links.backend

    @property
    def router(self) -> AgentRouter:
        """Decisions of the task, to read its state."""
        return self._router

    def start(self) -> None:
        """Start to receive messages and packets of the backend server."""
        super().start()
        self._spawn(self._receive_packets)

    def receive(self, message: Any) -> None:
        """Decide on one message and carry out the actions."""
        for action in self._router.handle(message, self._clock.now()):
            self._perform(action)

    def tick(self) -> None:
        """Act on elapsed time."""
        self.receive(Tick())

    def _perform(self, action: Action) -> None:
        match action:
            case Deliver():
                self._links.backend.deliver(action.packet)
            case Reply():
                self._links.fabric.send(action.packet)
            case Send():
                self._links.peers.send(action.to, action.message)
            case Count():
                count = self._counts.get(action.name, 0)
                self._counts[action.name] = count + action.amount
            case _:
                self._links.sink(action)

    def _receive_packets(self) -> None:
        while True:
            for _ in range(BATCH):
                self.receive(BackendPacketArrived(self._links.backend.receive()))
            gevent.sleep(0)


class BackendMonitorTask(Task):
    """Reads the health and load endpoints of the backend server.

    Parameters
    ----------
    backend
        Backend server.
    flows
        Task that is told of changes.
    sink
        Takes the announcement of the agent's state.

    """

    def __init__(
        self,
        backend: BackendServer,
        flows: Task,
        sink: Callable[[Action], None],
    ) -> None:
        super().__init__(tick_seconds=_POLL_S)
        self._backend = backend
        self._flows = flows
        self._sink = sink
        self._missed = 0
        self._adopted = False

    @property
    def is_synced(self) -> bool:
        """Whether the open connections were read."""
        return self._adopted

    def receive(self, message: Any) -> None:
        """Ignore the mailbox: the task only reads endpoints."""

    def tick(self) -> None:
        """Read the endpoints once."""
        try:
            self._read()
        except BackendUnavailableError:
            self._missed += 1
            if self._missed == _LOST_AFTER_POLLS:
                self._flows.post(BackendServerLost())

    def _read(self) -> None:
        if not self._adopted:
            self._flows.post(ConnectionsRead(self._backend.read_connections()))
            self._adopted = True
            self._sink(StateAnnounced(MemberState.ACTIVE))
        status = self._backend.read_status()
        self._missed = 0
        state = _STATES.get(status.state)
        if state is None:
            # The backend server answers, so neither its flows nor the agent
            # may be ended for a state that is not agreed on.
            self._sink(Count('backend_states_unknown'))
        else:
            self._flows.post(BackendReported(state, status.load))
