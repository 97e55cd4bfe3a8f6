"""One small deployment in virtual time: 3 entry instances and 5 agents."""

from collections.abc import Callable
from random import Random
from typing import Any, Final

from persimmonreach.configuration import (
    Accepted,
    Declarations,
    EntryInstance,
    Plan,
    Publisher,
    ServiceConfig,
    StoreError,
)
from persimmonreach.core import Endpoint, EntryId, FlowKey, ManualClock, ServiceId, Zone
from persimmonreach.proof._agent_node import AgentNode
from persimmonreach.proof._backends import BackendServer, ServerPlan
from persimmonreach.proof._callers import Callers
from persimmonreach.proof._entry_node import EntryNode
from persimmonreach.proof._excuses import Excuses
from persimmonreach.proof._fabric import Fabric
from persimmonreach.proof._invariants import Invariants
from persimmonreach.proof._journal import Journal
from persimmonreach.proof._network import Network, Scheduler
from persimmonreach.proof._nodes import Node, Surroundings
from persimmonreach.proof._settings import TICK_S, Switches
from persimmonreach.proof._store_side import make_publisher
from persimmonreach.standins.store_fake import FakeStore
from persimmonreach.standins.store_state import Faults, StoreState

ZONES: Final = (Zone('a'), Zone('b'), Zone('c'))
_HTTP_PORT: Final = 80
COUNTER: Final = Endpoint('10.9.0.1', _HTTP_PORT)
SHEET: Final = Endpoint('10.9.0.2', _HTTP_PORT)
_SERVICES: Final = (('counter', COUNTER), ('sheet', SHEET))
_SLOTS: Final = 3
_CONNECTIONS: Final = 2000
_ENTRY_HOST: Final = '127.0.1.'
_AGENT_HOST: Final = '127.0.2.'
_PORT: Final = 7000
_START_S: Final = 100
_RETRY_S: Final = 1
_SLICE_S: Final = 0.002
_SINGLE_PERIOD_S: Final = 0.4


class World:
    """Nodes, callers and store of one case.

    Parameters
    ----------
    seed
        Seed of all random numbers.
    switches
        Settings of the decisions.

    """

    def __init__(self, seed: int, switches: Switches) -> None:
        self.rng = Random(seed)
        self.clock = ManualClock(_START_S)
        self.scheduler = Scheduler(self.clock)
        self.network = Network(self.scheduler, self.rng)
        self.journal = Journal(self.scheduler)
        self.excuses = Excuses(self.scheduler)
        self.entries: dict[str, EntryNode] = {}
        self.agents: dict[str, AgentNode] = {}
        self.fabric = Fabric(self.scheduler, self.rng, self.entries)
        self.callers = Callers(
            self.scheduler,
            self.rng,
            self.journal,
            self.fabric.send,
            self._owner_of,
        )
        self.accepted: list[tuple[int, float]] = []
        self.stores: list[FakeStore] = []
        self.operator_store = self._make_store()
        self.publisher = self._make_publisher()
        self._switches = switches
        self._connections = _CONNECTIONS
        self._shared = Surroundings(self.scheduler, self.network, self.journal)
        self.invariants = Invariants(self)
        self.quiet_key = FlowKey(b'')
        self.singles_end_at = float('inf')
        self._single_at: float = 0

    @property
    def now(self) -> float:
        """Virtual time in seconds."""
        return self.scheduler.now

    @property
    def nodes(self) -> tuple[Node, ...]:
        """All processes."""
        return (*self.entries.values(), *self.agents.values())

    def add_entry(self, name: str, zone: Zone) -> EntryNode:
        """Start one more entry instance."""
        endpoint = _endpoint(_ENTRY_HOST, len(self.entries) + 1)
        entry = EntryInstance(EntryId(name), zone, endpoint)
        store = self._make_store()
        rng = Random(self.rng.random())
        node = EntryNode(entry, self._shared, self._switches, store, rng, self.clock)
        node.seeds = tuple(other.endpoint for other in self.entries.values())
        self.entries[name] = node
        node.start()
        return node

    def add_agent(self, name: str, zone: Zone, service: str = 'counter') -> AgentNode:
        """Start one more agent with a cold backend server."""
        endpoint = _endpoint(_AGENT_HOST, len(self.agents) + 1)
        plan = ServerPlan(name, dict(_SERVICES)[service], _SLOTS)
        server = BackendServer(plan, self.scheduler, self.rng, self.journal)
        server.turn_cold()
        rng = Random(self.rng.random())
        place = (zone, endpoint)
        node = AgentNode(server, place, service, self._shared, self._switches, rng)
        node.seeds = tuple(entry.endpoint for entry in self.entries.values())
        node.reply = lambda packet: self.fabric.reply(packet, self.callers.receive)
        self.agents[name] = node
        node.start()
        return node

    def step(self) -> None:
        """Advance by one tick and check the invariants."""
        self.scheduler.run_until(self.now + TICK_S)
        self._tick()

    def _tick(self) -> None:
        for node in self.nodes:
            node.tick()
        self.fabric.tick()
        self._open_single()
        self.callers.tick()
        self.invariants.check()

    def creep_until(self, reached: Callable[[], Any], limit_s: float) -> bool:
        """Advance until ``reached`` is true, also between two ticks."""
        end = self.now + limit_s
        while self.now < end:
            next_tick = self.now + TICK_S
            while self.now + _SLICE_S < next_tick:
                if reached():
                    return True
                self.scheduler.run_until(self.now + _SLICE_S)
            self._tick()
        return False

    def run(self, seconds: float) -> None:
        """Advance by ``seconds``."""
        for _ in range(round(seconds / TICK_S)):
            self.step()

    def run_until(self, reached: Callable[[], Any], limit_s: float) -> bool:
        """Advance until ``reached`` is true; return False at the limit."""
        end = self.now + limit_s
        while not reached():
            if self.now >= end:
                return False
            self.step()
        return True

    def publish(self) -> None:
        """Publish another limit of connections, retrying while the store is down."""
        self._submit(lambda: self.publisher.plan(self.next_declarations()))

    def set_zone(self, zone: Zone, out: bool) -> None:
        """Take a zone out of service or back, by an override if need be."""
        if self.operator_store_is_down:
            # Two commands of an operator never have the same time.
            self.step()
            well = [node for node in self.entries.values() if node.is_well]
            well[0].set_zone(zone, out)
            self.note_zone(zone, out)
            return
        self._submit(lambda: self.publisher.plan_zone(zone, out))

    @property
    def operator_store_is_down(self) -> bool:
        """Whether an operator's call to the store fails."""
        try:
            self.operator_store.get('head')
        except StoreError:
            return True
        return False

    def note_zone(self, zone: Zone, out: bool) -> None:
        """Record that an operator has changed the state of a zone."""
        self.journal.note(f'zone {zone} out={out}')
        if out:
            self.journal.zones_out.setdefault(zone, self.now)
            self.excuses.zones_out.setdefault(zone, self.now)
        else:
            self.journal.zones_out.pop(zone, None)

    def set_store_faults(self, faults: Faults) -> None:
        """Set the faults of all clients of the store."""
        for store in self.stores:
            store.set_faults(faults)

    def next_declarations(self) -> Declarations:
        """Return declarations that differ from those in force."""
        self._connections += 1
        services = tuple(
            ServiceConfig(
                ServiceId(0),
                name,
                address,
                _SLOTS,
                connections=self._connections,
            )
            for name, address in _SERVICES
        )
        return Declarations(services, frozenset(ZONES))

    def settle(self, plan: Plan) -> None:
        """Submit a plan and record its outcome."""
        outcome = self.publisher.publish(plan)
        self.journal.note(f'publish {plan.difference} {outcome}')
        if isinstance(outcome, Accepted):
            self.accepted.append((outcome.version, self.now))
            for state in plan.head.zones:
                self.note_zone(state.zone, state.out)

    def _open_single(self) -> None:
        if self._single_at <= self.now < self.singles_end_at:
            self._single_at = self.now + _SINGLE_PERIOD_S
            service = self.rng.choice((COUNTER, COUNTER, SHEET))
            self.callers.open(service, 1, single=True)

    def _submit(self, make_plan: Callable[[], Plan]) -> None:
        while True:
            try:
                self.settle(make_plan())
            except StoreError:
                self.run(_RETRY_S)
            else:
                return

    def _make_store(self) -> FakeStore:
        state = self.stores[0].state if self.stores else StoreState()
        store = FakeStore(self.clock, state)
        self.stores.append(store)
        return store

    def _make_publisher(self) -> Publisher:
        return make_publisher(self.operator_store, self.clock, self.rng, self.run)

    def _owner_of(self, key: FlowKey) -> str:
        for node in self.entries.values():
            if node.is_well:
                return node.router.explain(key).agent or ''
        return ''


def _endpoint(network: str, number: int) -> Endpoint:
    return Endpoint(f'{network}{number}', _PORT)
