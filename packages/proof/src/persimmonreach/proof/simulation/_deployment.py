"""Simulated deployment in virtual time."""

from collections.abc import Callable, Sequence
from math import inf
from random import Random
from typing import Any, Final, NamedTuple

from persimmonreach.core import Endpoint
from persimmonreach.discovery import (
    AgentsDiscovered,
    EntriesDiscovered,
    RegisteredAgent,
    RegisteredEntry,
)
from persimmonreach.proof.simulation._backend import BackendServer, ExecutedRequest
from persimmonreach.proof.simulation._caller import CallerFlow
from persimmonreach.proof.simulation._fabric import Fabric
from persimmonreach.proof.simulation._network import Network
from persimmonreach.proof.simulation._processes import (
    SimulatedAgent,
    SimulatedEntry,
    SimulatedProcess,
)
from persimmonreach.proof.simulation._time import Scheduler
from persimmonreach.rules import Route, RulesChanged, ServiceLimits, Target, TrafficRules

SERVICE: Final = 'counter'
OTHER_SERVICE: Final = 'sheets'
_HTTPS_PORT: Final = 443
_HTTP_PORT: Final = 80
SERVICE_ADDRESS: Final = Endpoint('198.18.0.1', _HTTPS_PORT)
OTHER_SERVICE_ADDRESS: Final = Endpoint('198.18.0.2', _HTTP_PORT)
_PEER_PORT: Final = 7000
_CALLER_PORT_BASE: Final = 40_000
# An entry instance that fails two readiness polls in a row leaves the rotation.
_READINESS_EXPIRY_S: Final = 1
_READINESS_POLL_S: Final = 0.5
_STORE_DELAY_S: Final = 0.01
_STEP_S: Final = 0.01


class DeploymentPlan(NamedTuple):
    """Size and load of a deployment.

    Attributes
    ----------
    zones
        Availability zones.
    entries_per_zone
        Number of entry instances in each availability zone.
    agent_count
        Number of agents of the main service.
    service_time_s
        Seconds that a backend server takes for a request.
    cold_flows_per_s
        Maximum rate of new flows to a cold backend server; 0 if there is no limit.

    """

    zones: tuple[str, ...] = ('a', 'b', 'c')
    entries_per_zone: int = 2
    agent_count: int = 7
    service_time_s: float = 0.02
    cold_flows_per_s: float = 0


DEFAULT_PLAN: Final = DeploymentPlan()


class Deployment:
    """Entry instances, agents, backend servers and callers.

    Parameters
    ----------
    seed
        Seed of all random numbers.
    plan
        Size and load of the deployment.

    Attributes
    ----------
    entries
        Entry instances by id, also those that are not running.
    agents
        Agents by id, also those that are not running.
    flows
        All flows of callers, in the order of their creation.
    executed_requests
        Requests that the backend servers have executed.
    rules
        Traffic rules in the store.
    is_store_available
        Whether processes can read the store; if not, they retry every second.

    """

    def __init__(self, seed: int, plan: DeploymentPlan = DEFAULT_PLAN) -> None:
        self.seed = seed
        self.plan = plan
        self.random = Random(seed)
        self.scheduler = Scheduler()
        self.network = Network(self.scheduler, Random(seed + 1))
        self.fabric = Fabric(self.network)
        self.entries: dict[str, SimulatedEntry] = {}
        self.agents: dict[str, SimulatedAgent] = {}
        self.flows: list[CallerFlow] = []
        self.executed_requests: list[ExecutedRequest] = []
        self.rules = TrafficRules(
            1,
            (
                Route('r1', SERVICE_ADDRESS, (Target(SERVICE),)),
                Route('r2', OTHER_SERVICE_ADDRESS, (Target(OTHER_SERVICE),)),
            ),
            (ServiceLimits(SERVICE, plan.cold_flows_per_s),),
        )
        self.is_store_available = True
        self._host_count = 0
        self._last_caller_port = _CALLER_PORT_BASE
        self._last_ready_at: dict[str, float] = {}
        self._update_rotation()

    @property
    def _process_arguments(self) -> tuple[Any, ...]:
        return (self.seed, self.scheduler, self.network, self.fabric)

    @property
    def now(self) -> float:
        """Virtual time in seconds."""
        return self.scheduler.now

    def start(self) -> None:
        """Start all processes and let 3 s pass, after which they are ready."""
        for zone in self.plan.zones:
            for _ in range(self.plan.entries_per_zone):
                self.add_entry(zone)
        for number in range(self.plan.agent_count):
            self.add_agent(self.plan.zones[number % len(self.plan.zones)])
        self.add_agent(self.plan.zones[0], OTHER_SERVICE)
        self.run_for(3)

    def add_entry(self, zone: str) -> SimulatedEntry:
        """Add an entry instance and start it."""
        number = len(self.entries) + 1
        name = f'e{number}'
        registration = RegisteredEntry(name, zone, self._next_endpoint())
        process = SimulatedEntry(registration, *self._process_arguments)
        self.entries[name] = process
        self.fabric.register_receiver(process.endpoint, process)
        self.start_process(process)
        return process

    def add_agent(
        self,
        zone: str,
        service: str = SERVICE,
        cold_s: float = 0,
        *,
        is_partitioned: bool = False,
    ) -> SimulatedAgent:
        """Add an agent with its backend server and start both.

        If they are partitioned, the reports of the backend server are held up.
        """
        number = len(self.agents) + 1
        name = f'a{number}'
        registration = RegisteredAgent(name, service, zone, self._next_endpoint())
        random = Random(f'{self.seed}{name}')
        backend = BackendServer(
            self.scheduler, random, self.plan.service_time_s, self.executed_requests
        )
        process = SimulatedAgent(registration, backend, *self._process_arguments)
        self.agents[name] = process
        self.fabric.register_receiver(process.endpoint, process)
        self.start_process(process)
        if is_partitioned:
            process.hold_reports()
        process.start_backend(cold_s)
        return process

    def start_process(self, process: SimulatedProcess) -> None:
        """Start a process, which then reads the store."""
        process.start()
        self.scheduler.call_later(_STORE_DELAY_S, self._read_store, process)

    def restart_process(self, process: SimulatedProcess, downtime_s: float) -> None:
        """Kill a process and start it again after ``downtime_s``."""
        process.kill()
        self.scheduler.call_later(downtime_s, self.start_process, process)

    def publish_rules(self, rules: TrafficRules) -> None:
        """Replace the traffic rules."""
        self.rules = rules._replace(version=self.rules.version + 1)
        for process in self.entries.values():
            self.scheduler.call_later(_STORE_DELAY_S, self._read_store, process)

    def set_zones_out(self, *zones: str) -> None:
        """Take these availability zones out of service, and no others."""
        self.publish_rules(self.rules._replace(zones_out=frozenset(zones)))

    def open_flow(
        self,
        zone: str,
        think_time_s: float = 0.5,
        address: Endpoint = SERVICE_ADDRESS,
    ) -> CallerFlow:
        """Open a flow of a new caller in an availability zone."""
        self._last_caller_port += 1
        caller = Endpoint('100.64.0.7', self._last_caller_port)
        flow = CallerFlow(
            self.scheduler,
            (caller, address),
            lambda packet: self.fabric.route_packet(zone, packet),
            think_time_s,
        )
        self.fabric.register_caller(caller, flow.receive)
        self.flows.append(flow)
        flow.start()
        return flow

    def open_flows(self, flow_count: int, think_time_s: float = 0.5) -> list[CallerFlow]:
        """Open flows from all zones, 10 ms apart."""
        zones = self.plan.zones
        flows = []
        for number in range(flow_count):
            flows.append(self.open_flow(zones[number % len(zones)], think_time_s))
            self.run_for(_STEP_S)
        return flows

    def run_for(self, seconds: float) -> None:
        """Advance virtual time by ``seconds``."""
        self.scheduler.run_until(self.now + seconds)

    def run_while(self, condition: Callable[[], bool], limit_s: float) -> bool:
        """Advance virtual time while the condition holds, at most ``limit_s``.

        Returns False if the condition still held at the limit.
        """
        end = self.now + limit_s
        while condition():
            if self.now >= end:
                return False
            self.run_for(_STEP_S)
        return True

    def find_holder(self, flow: CallerFlow) -> SimulatedAgent | None:
        """Return the agent whose backend server holds the flow."""
        holders = (
            process
            for process in self.agents.values()
            if process.backend.holds(flow.endpoints)
        )
        return next(holders, None)

    def find_wrongly_reset(self, flows: Sequence[CallerFlow]) -> list[CallerFlow]:
        """Return the flows that were reset although a backend server holds them."""
        return [
            flow for flow in flows if flow.state == 'reset' and self.find_holder(flow)
        ]

    def _read_store(self, process: SimulatedProcess) -> None:
        if not self.is_store_available:
            self.scheduler.call_later(1, self._read_store, process)
            return
        agents = tuple(
            other_process.registration for other_process in self.agents.values()
        )
        entries = tuple(
            other_process.registration for other_process in self.entries.values()
        )
        if isinstance(process, SimulatedEntry):
            process.handle(AgentsDiscovered(agents))
            process.handle(RulesChanged(self.rules, self.rules.version))
        process.handle(EntriesDiscovered(entries))

    def _next_endpoint(self) -> Endpoint:
        self._host_count += 1
        return Endpoint(f'10.0.0.{self._host_count}', _PEER_PORT)

    def _update_rotation(self) -> None:
        ready = (name for name, process in self.entries.items() if process.is_ready)
        self._last_ready_at.update(dict.fromkeys(ready, self.now))
        self.fabric.rotation = {
            zone: self._select_rotation(zone) for zone in self.plan.zones
        }
        self.scheduler.call_later(_READINESS_POLL_S, self._update_rotation)

    def _select_rotation(self, zone: str) -> list[Any]:
        names = [
            name
            for name, process in self.entries.items()
            if process.registration.zone == zone
        ]
        ready = [name for name in names if self._is_in_rotation(name)]
        # The fabric uses all entry instances of a zone if fewer than half are ready.
        selected = names if len(ready) * 2 < len(names) else ready
        return [self.entries[name] for name in selected]

    def _is_in_rotation(self, name: str) -> bool:
        return self.now - self._last_ready_at.get(name, -inf) < _READINESS_EXPIRY_S
