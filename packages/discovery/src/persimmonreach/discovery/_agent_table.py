"""Table of the agents known to an entry instance."""

from collections.abc import Collection, Iterable, KeysView, Mapping
from math import inf
from types import MappingProxyType
from typing import Final

from persimmonreach.core import (
    Action,
    AgentId,
    Count,
    Endpoint,
    Event,
    LogStateChange,
    Received,
    Send,
    ServiceName,
    StateMachine,
    Tick,
    Zone,
)
from persimmonreach.discovery._events import AgentsDiscovered
from persimmonreach.discovery._records import AgentRecord, record_from_registration
from persimmonreach.discovery.messages import (
    AgentState,
    AgentStatus,
    EntryStatus,
)

# Interval of the probes to agents that have never responded.
PROBE_INTERVAL_S: Final = 0.25
# Interval of the probes to agents that have become unresponsive. An agent that removed
# this entry instance during a partition sends it no statuses until it is probed.
UNRESPONSIVE_PROBE_INTERVAL_S: Final = 1.0
# The record of an unresponsive agent is kept for as long as a flow may last, so
# that a search does not miss the holder.
RETENTION_S: Final = 60
# An unresponsive agent without a registration is removed after this time. Registrations
# that lapsed during an outage of the store are restored within 2 s of its recovery if
# their processes run and reach it.
DEREGISTRATION_GRACE_S: Final = 2.4
# Time within which all agents have sent a status to a new entry instance.
CONVERGENCE_S: Final = 2
_NO_RECORDS: Final[Mapping[AgentId, AgentRecord]] = MappingProxyType({})


class AgentTable(StateMachine):
    """Agents by service, as learned from registrations, peers and agent statuses.

    Events: ``Received`` with an ``AgentStatus``, ``AgentsDiscovered``, ``Tick``.
    Actions: ``Send``, ``LogStateChange``, ``Count``.

    Parameters
    ----------
    status
        Status of this entry instance, with which agents are probed.

    """

    def __init__(self, status: EntryStatus) -> None:
        self._status = status
        self._records: dict[AgentId, AgentRecord] = {}
        self._records_by_service: dict[ServiceName, dict[AgentId, AgentRecord]] = {}
        self._expire_at: dict[AgentId, float] = {}
        self._next_probe_at: float = 0
        self._next_unresponsive_probe_at: float = 0
        self._loaded_at = inf
        self._majority_responsive_since = inf
        self._deregistered_since: dict[AgentId, float] = {}
        # Agents of one front end only send statuses to their seeds and never register.
        # A missing registration is significant only for an agent that had one before.
        self._ever_registered_agents: set[AgentId] = set()

    def __len__(self) -> int:
        """Return the number of agents."""
        return len(self._records)

    @property
    def records(self) -> Iterable[AgentRecord]:
        """Records of all agents."""
        return self._records.values()

    @property
    def agents(self) -> KeysView[AgentId]:
        """Ids of all agents."""
        return self._records.keys()

    @property
    def zone(self) -> Zone:
        """Availability zone of this entry instance."""
        return self._status.zone

    @property
    def is_loaded(self) -> bool:
        """Whether the registered agents were read at least once."""
        return self._loaded_at != inf

    def has_converged(self, now: float) -> bool:
        """Whether an agent without a record can be assumed not to run."""
        return now > self._loaded_at + CONVERGENCE_S

    def responsive_agents(self, now: float) -> list[AgentRecord]:
        """Return the records of agents that are responsive and have not left."""
        return [
            record
            for record in self._records.values()
            if not record.is_unresponsive(now)
            and record.status.state is not AgentState.LEFT
        ]

    def has_unresponsive_holder(self, now: float) -> bool:
        """Whether an agent that may hold flows is unresponsive."""
        return any(
            record.is_unresponsive(now) and record.may_hold_flows(now)
            for record in self._records.values()
        )

    def announce(self, status: EntryStatus) -> tuple[Action, ...]:
        """Send a new status of this entry instance to all agents."""
        self._status = status
        return tuple(Send(record.endpoint, status) for record in self._records.values())

    def find(self, agent: AgentId) -> AgentRecord | None:
        """Return the record of an agent; None if it is unknown."""
        return self._records.get(agent)

    def of_service(self, service: ServiceName) -> Mapping[AgentId, AgentRecord]:
        """Return the records of the agents of a service, by id."""
        return self._records_by_service.get(service, _NO_RECORDS)

    def handle(self, event: Event, now: float) -> tuple[Action, ...]:
        """Return the actions that ``event`` causes."""
        match event:
            case Received(sender, AgentStatus() as status):
                return self._on_status(sender, status, now)
            case AgentsDiscovered():
                return self._on_discovered(event, now)
            case Tick():
                return self._on_tick(now)
            case _:
                return (Count('discovery_unknown_events'),)

    def _on_status(
        self,
        sender: Endpoint,
        status: AgentStatus,
        now: float,
    ) -> tuple[Action, ...]:
        response = Send(
            sender, self._status._replace(acknowledged_sequence=status.sequence)
        )
        record = self._records.get(status.agent)
        if record is not None and record.status.service != status.service:
            # The backend server was reassigned to another service.
            self._remove(status.agent)
            record = None
        if record is None:
            record = AgentRecord(status, sender, now)
            self._add(record)
            record.apply_status(status, now)
            return (response, _state_change(record))
        previous_state = record.status.state
        record.endpoint = sender
        record.apply_status(status, now)
        self._expire_at.pop(status.agent, None)
        if record.status.state == previous_state:
            return (response,)
        return (response, _state_change(record))

    def _on_discovered(
        self,
        event: AgentsDiscovered,
        now: float,
    ) -> tuple[Action, ...]:
        removals: tuple[Action, ...] = ()
        if event.is_complete:
            self._loaded_at = min(self._loaded_at, now)
            removals = self._remove_deregistered(
                {registration.agent for registration in event.agents}, now
            )
        new_records = [
            record_from_registration(registration, now)
            for registration in event.agents
            if registration.agent not in self._records
        ]
        for new_record in new_records:
            self._add(new_record)
        self._next_probe_at = now + PROBE_INTERVAL_S
        return (
            *removals,
            *(Send(record.endpoint, self._status) for record in new_records),
        )

    def _remove_deregistered(
        self,
        registered_agents: Collection[AgentId],
        now: float,
    ) -> tuple[Action, ...]:
        """Remove unresponsive agents without registration after the grace period."""
        self._ever_registered_agents.update(registered_agents)
        deregistered_agents = [
            agent
            for agent in self._ever_registered_agents.difference(registered_agents)
            if agent in self._records and self._records[agent].is_unresponsive(now)
        ]
        previous_since = self._deregistered_since
        self._deregistered_since = {
            agent: previous_since.get(agent, now) for agent in deregistered_agents
        }
        expired_agents = [
            agent
            for agent, since in self._deregistered_since.items()
            if now - since >= DEREGISTRATION_GRACE_S
        ]
        return tuple(self._remove_and_report(agent) for agent in expired_agents)

    def _remove_and_report(self, agent: AgentId) -> LogStateChange:
        self._remove(agent)
        return LogStateChange('agent_gone', agent, 'not registered')

    def _on_tick(self, now: float) -> tuple[Action, ...]:
        self._expire_unresponsive(now)
        if now < self._next_probe_at:
            return ()
        self._next_probe_at = now + PROBE_INTERVAL_S
        is_unresponsive_probe_due = now >= self._next_unresponsive_probe_at
        if is_unresponsive_probe_due:
            self._next_unresponsive_probe_at = now + UNRESPONSIVE_PROBE_INTERVAL_S
        probed_records = [
            record
            for record in self._records.values()
            if not record.has_responded
            or (is_unresponsive_probe_due and record.is_unresponsive(now))
        ]
        probes = (Send(record.endpoint, self._status) for record in probed_records)
        return (*self._mark_unreachable_agents(probed_records, now), *probes)

    def _mark_unreachable_agents(
        self,
        unresponsive_records: list[AgentRecord],
        now: float,
    ) -> tuple[Action, ...]:
        """Mark agents as unreachable that have not responded in time since discovery.

        None is marked unless most of the agents are responsive, since this entry
        instance may be partitioned.
        """
        if not unresponsive_records:
            return ()
        responsive_count = sum(
            not record.is_unresponsive(now) for record in self._records.values()
        )
        if 2 * responsive_count <= len(self._records):
            self._majority_responsive_since = inf
            return ()
        self._majority_responsive_since = min(self._majority_responsive_since, now)
        unreachable_records = [
            record
            for record in unresponsive_records
            if record.is_response_overdue(self._majority_responsive_since, now)
            and not record.is_unreachable
        ]
        return tuple(_mark_unreachable(record) for record in unreachable_records)

    def _expire_unresponsive(self, now: float) -> None:
        for agent, record in tuple(self._records.items()):
            if not record.is_unresponsive(now):
                continue
            if now > self._expire_at.setdefault(agent, now + RETENTION_S):
                self._remove(agent)

    def _add(self, record: AgentRecord) -> None:
        self._records[record.agent] = record
        self._records_by_service.setdefault(record.status.service, {})[record.agent] = (
            record
        )

    def _remove(self, agent: AgentId) -> None:
        record = self._records.pop(agent)
        self._ever_registered_agents.discard(agent)
        self._expire_at.pop(agent, None)
        self._records_by_service[record.status.service].pop(agent)


def _mark_unreachable(record: AgentRecord) -> LogStateChange:
    record.is_unreachable = True
    return LogStateChange(
        'agent_unreachable', record.agent, 'no response since its discovery'
    )


def _state_change(record: AgentRecord) -> LogStateChange:
    state = AgentState(record.status.state)
    return LogStateChange('agent_state', record.agent, state.name.lower())
