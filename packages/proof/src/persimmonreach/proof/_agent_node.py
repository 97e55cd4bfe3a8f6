"""An agent made of its real decisions, with its backend server."""

from collections import Counter
from collections.abc import Callable
from random import Random
from typing import Any, Final

from persimmonreach.admission import BackendReported
from persimmonreach.admission.messages import MESSAGE_TYPES as ADMISSION_TYPES
from persimmonreach.configuration import (
    AgentConfiguration,
    AgentSettings,
    Configuration,
    ConfigurationChanged,
    EntriesChanged,
    ServiceConfig,
    VersionOffered,
)
from persimmonreach.configuration.messages import MESSAGE_TYPES as CONFIGURATION_TYPES
from persimmonreach.core import (
    AgentId,
    Count,
    Deliver,
    Endpoint,
    Incarnation,
    Reply,
    Send,
    StateChange,
    StateMachine,
    Tick,
    Zone,
)
from persimmonreach.membership import (
    AgentMembership,
    FlowsCounted,
    Member,
    MemberState,
    StateAnnounced,
)
from persimmonreach.membership.messages import MESSAGE_TYPES as MEMBERSHIP_TYPES
from persimmonreach.ownership import BucketOwnership
from persimmonreach.ownership.messages import MESSAGE_TYPES as OWNERSHIP_TYPES
from persimmonreach.packets import ForwardedPacket
from persimmonreach.proof._agent_parts import PartsMaker
from persimmonreach.proof._backends import BackendServer
from persimmonreach.proof._nodes import Node, Surroundings, content_of
from persimmonreach.proof._settings import Switches
from persimmonreach.requests.messages import MESSAGE_TYPES as REQUEST_TYPES
from persimmonreach.routing import (
    AgentParts,
    AgentRouter,
    BackendPacketArrived,
    BackendServerLost,
    ConnectionsRead,
)

_CONFIGURATION = frozenset(
    (*CONFIGURATION_TYPES.values(), VersionOffered, EntriesChanged)
)
_MEMBERSHIP = frozenset((*MEMBERSHIP_TYPES.values(), StateAnnounced, FlowsCounted))
# As in the task that reads the backend server.
_POLL_S: Final = 0.25
_LOST_AFTER_POLLS: Final = 6
_MS_PER_S: Final = 1000


class AgentNode(Node):
    """Agent of one backend server.

    Parameters
    ----------
    server
        Backend server beside the agent.
    place
        Availability zone and address toward other processes.
    service
        Name of the service.
    shared
        What all nodes share.
    switches
        Settings of the decisions.
    rng
        Source of random numbers.

    """

    def __init__(
        self,
        server: BackendServer,
        place: tuple[Zone, Endpoint],
        service: str,
        shared: Surroundings,
        switches: Switches,
        rng: Random,
    ) -> None:
        super().__init__(server.plan.name, *place, shared)
        self.server = server
        self.seeds: tuple[Endpoint, ...] = ()
        self.reply: Callable[[bytes], None] | None = None
        self.counts: Counter[str] = Counter()
        self.service = service
        self._switches = switches
        self._rng = rng
        server.send = self._from_server

    @property
    def configuration(self) -> Configuration:
        """Configuration in force."""
        return self._configuration.configuration

    @property
    def takes_flows(self) -> bool:
        """Whether the backend server may get new flows."""
        server = self.server
        return self.is_well and server.alive and server.draining_since is None

    @property
    def ownership(self) -> BucketOwnership | None:
        """Tokens; nothing until the service is known."""
        return self._parts.ownership if self._parts else None

    @property
    def router(self) -> AgentRouter | None:
        """Decisions; nothing until the service is known."""
        return self._router

    def post(self, event: Any) -> None:
        """Hand an event to the process."""
        if self.alive and isinstance(content_of(event), ForwardedPacket):
            self._shared.journal.packet_in(self.zone, self.name)
        super().post(event)

    def die_with_server(self) -> None:
        """End the agent and its backend server."""
        self.die()
        self.server.die()

    def _start(self) -> None:
        settings = AgentSettings(self.service, self.seeds, self._switches.version_order)
        self._configuration = AgentConfiguration(settings, self._rng)
        self._router: AgentRouter | None = None
        self._parts: AgentParts | None = None
        self._membership: AgentMembership | None = None
        self._poll_at = self.now
        self._missed = 0
        self._is_adopted = False

    def _from_server(self, packet: bytes) -> None:
        self.post(BackendPacketArrived(packet))

    def _accept(self, event: Any) -> None:
        kind = type(content_of(event))
        if kind in _CONFIGURATION:
            self._run(self._configuration, event)
        elif self._router is None or self._membership is None:
            return
        elif kind in _MEMBERSHIP:
            self._run(self._membership, event)
        else:
            self._run(self._router, event)

    def _tick(self) -> None:
        self._run(self._configuration, Tick())
        if self._router is None or self._membership is None:
            return
        self._run(self._membership, Tick())
        if self.now >= self._poll_at:
            self._poll_at = self.now + _POLL_S
            self._poll()
        self._run(self._router, Tick())

    def _poll(self) -> None:
        server = self.server
        if not server.alive:
            self._missed += 1
            if self._missed == _LOST_AFTER_POLLS:
                self._accept(BackendServerLost())
            return
        if not self._is_adopted:
            self._is_adopted = True
            self._accept(ConnectionsRead(server.connections))
            self._accept(StateAnnounced(MemberState.ACTIVE))
        self._missed = 0
        self._accept(BackendReported(server.state, server.load))

    def _perform(self, action: Any) -> None:
        match action:
            case Deliver():
                self.server.deliver(action.packet)
            case Reply():
                if self.reply is not None:
                    self.reply(action.packet)
            case Send():
                self._send(action.to, action.message)
            case ConfigurationChanged():
                self._note_version(action.configuration)
                self._configure(action)
            case Count():
                self.counts[action.name] += action.amount
            case StateChange():
                self._shared.journal.note(f'{self.name} {action}')
            case _:
                self._accept(action)

    def _configure(self, action: ConfigurationChanged) -> None:
        if self._router is None:
            for service in action.configuration.services:
                self._build(service)
        if self._router is not None:
            self._run(self._router, action)

    def _build(self, service: ServiceConfig) -> None:
        maker = PartsMaker(self.name, self.zone, self._switches, self._rng)
        parts = maker.make(service, self.endpoint)
        routes: dict[type, StateMachine] = {
            **dict.fromkeys(OWNERSHIP_TYPES.values(), parts.ownership),
            **dict.fromkeys(ADMISSION_TYPES.values(), parts.placement),
            **dict.fromkeys(REQUEST_TYPES.values(), parts.requests),
        }
        member = Member(
            AgentId(self.name),
            Incarnation(int(self.now * _MS_PER_S)),
            service.service,
            self.zone,
            self.endpoint,
            MemberState.JOINING,
        )
        self._parts = parts
        self._router = AgentRouter(parts, routes)
        settings = self._switches.membership
        self._membership = AgentMembership(member, settings, self.seeds, self._rng)
