"""Ejection of outliers at an entry instance, for services that declare classes."""

from collections.abc import Mapping

from persimmonreach.core import Action, AgentId, ServiceName, Zone
from persimmonreach.discovery import AgentRecord, AgentState, AgentStatus, AgentTable
from persimmonreach.load import AgentLoad, LoadTable
from persimmonreach.outliers import Ejections, OutlierDetector
from persimmonreach.rules import TrafficRules


class OutlierEjection:
    """Passes the newest loads and states of agents to the detection of outliers.

    A service is evaluated on the first tick after news of one of its agents. Ejections
    end on the first tick after a service has ceased to declare classes.

    Parameters
    ----------
    agent_table
        Known agents.
    load_table
        Loads of the agents.

    """

    def __init__(self, agent_table: AgentTable, load_table: LoadTable) -> None:
        self._agent_table = agent_table
        self._load_table = load_table
        self._detector = OutlierDetector()
        self._classed_services: frozenset[ServiceName] = frozenset()
        self._zones_out: frozenset[Zone] = frozenset()
        self._due_services: set[ServiceName] = set()
        self._released_services: frozenset[ServiceName] = frozenset()

    @property
    def ejections(self) -> Ejections:
        """Agents that are ejected or have returned from an ejection."""
        return self._detector

    @property
    def ejected_count(self) -> int:
        """Number of ejected agents of all services."""
        return self._detector.ejected_count

    def load(self, rules: TrafficRules) -> None:
        """Set the rules, which determine the services that declare classes."""
        self._zones_out = rules.zones_out
        former_services = self._classed_services | self._released_services
        self._classed_services = frozenset(
            target.service
            for route in rules.routes
            if route.traffic_class.is_declared
            for target in route.targets
        )
        self._released_services = former_services - self._classed_services

    def on_report(self, report: AgentStatus | AgentLoad, now: float) -> None:
        """Take note of a status or load that was stored for its agent."""
        record = self._agent_table.find(report.agent)
        if record is None or record.status.service not in self._classed_services:
            return
        self._due_services.add(record.status.service)
        if isinstance(report, AgentStatus):
            state = AgentState(record.status.state)
            self._detector.record_state(record.agent, state, now)

    def tick(self, now: float) -> tuple[Action, ...]:
        """Return agents whose ejection has ended, and eject the present outliers."""
        actions = list(self._detector.tick(now))
        for released_service in self._released_services:
            agents = self._agent_table.of_service(released_service)
            actions.extend(self._detector.release(agents, now))
        self._released_services = frozenset()
        for service in self._due_services & self._classed_services:
            actions.extend(self._detector.evaluate(self._ready_loads(service, now), now))
        self._due_services.clear()
        return tuple(actions)

    def _ready_loads(
        self, service: ServiceName, now: float
    ) -> Mapping[AgentId, AgentLoad | None]:
        loads = self._load_table.loads_of(service)
        return {
            agent: loads.get(agent)
            for agent, record in self._agent_table.of_service(service).items()
            if self._is_ready(record, now)
        }

    def _is_ready(self, record: AgentRecord, now: float) -> bool:
        is_ready = record.status.state is AgentState.READY
        is_in_service = record.status.zone not in self._zones_out
        return is_ready and is_in_service and not record.is_unresponsive(now)
