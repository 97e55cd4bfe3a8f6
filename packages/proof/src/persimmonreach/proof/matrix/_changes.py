"""Planned changes and faults of a simulated deployment."""

from abc import ABC, abstractmethod
from typing import Final, final

from persimmonreach.forwarding import BackendLeft, StopRequested
from persimmonreach.proof.simulation import Deployment, NetworkConditions

# Time from the end of a process to its next start.
DOWNTIME_S: Final = 0.6
# Time from the beginning of the second change of a case to the end of both changes.
FAULT_DURATION_S: Final = 2.0
_LOSS_SHARE: Final = 0.1
_CHANGED_ENTRY: Final = 'e1'
_CHANGED_AGENT: Final = 'a1'
_CHANGED_ZONE: Final = 'b'


class Change(ABC):
    """Planned change or fault of a deployment, permanent or temporary."""

    @property
    def name(self) -> str:
        """Class name in snake case, used in the names of cases."""
        class_name = type(self).__name__
        parts = (
            f'_{letter.lower()}' if letter.isupper() else letter for letter in class_name
        )
        return ''.join(parts).lstrip('_')

    @abstractmethod
    def begin(self, deployment: Deployment) -> None:
        """Begin the change."""

    def end(self, deployment: Deployment) -> None:
        """End the change; does nothing if it is permanent or ends by itself."""


@final
class EntryDies(Change):
    """An entry instance is killed and restarted."""

    def begin(self, deployment: Deployment) -> None:
        """Kill the entry instance and schedule its restart."""
        deployment.restart_process(deployment.entries[_CHANGED_ENTRY], DOWNTIME_S)


@final
class EntryStops(Change):
    """An entry instance shuts down gracefully and is restarted."""

    def begin(self, deployment: Deployment) -> None:
        """Begin the shutdown, which notifies the agents; kill the process 1 s later."""
        process = deployment.entries[_CHANGED_ENTRY]
        process.handle(StopRequested())
        deployment.scheduler.call_later(
            1, deployment.restart_process, process, DOWNTIME_S
        )


@final
class EntryJoins(Change):
    """An entry instance is added; the fabric's hash moves nearly all flows."""

    def begin(self, deployment: Deployment) -> None:
        """Add the entry instance."""
        deployment.add_entry('a')


@final
class EntryPauses(Change):
    """An entry instance is paused for a while."""

    def begin(self, deployment: Deployment) -> None:
        """Pause the entry instance."""
        deployment.entries[_CHANGED_ENTRY].pause()

    def end(self, deployment: Deployment) -> None:
        """Resume the entry instance."""
        deployment.entries[_CHANGED_ENTRY].resume()


@final
class AgentDies(Change):
    """An agent is killed and restarted; its backend server keeps running."""

    def begin(self, deployment: Deployment) -> None:
        """Kill the agent and schedule its restart."""
        deployment.restart_process(deployment.agents[_CHANGED_AGENT], DOWNTIME_S)


@final
class AgentPauses(Change):
    """An agent is paused for a while."""

    def begin(self, deployment: Deployment) -> None:
        """Pause the agent."""
        deployment.agents[_CHANGED_AGENT].pause()

    def end(self, deployment: Deployment) -> None:
        """Resume the agent."""
        deployment.agents[_CHANGED_AGENT].resume()


@final
class AllProcessesDie(Change):
    """All entry instances and agents are killed at the same time and restarted."""

    def begin(self, deployment: Deployment) -> None:
        """Kill all processes and schedule their restarts."""
        for process in (*deployment.entries.values(), *deployment.agents.values()):
            deployment.restart_process(process, DOWNTIME_S)


@final
class BackendCrashes(Change):
    """A backend server crashes and restarts."""

    def begin(self, deployment: Deployment) -> None:
        """Crash the backend server."""
        deployment.agents['a2'].backend.crash()

    def end(self, deployment: Deployment) -> None:
        """Start the backend server, cold for its first second."""
        deployment.agents['a2'].start_backend(cold_s=1)


@final
class BackendLeaves(Change):
    """A backend server drains and shuts down; then its agent stops."""

    def begin(self, deployment: Deployment) -> None:
        """Start draining."""
        process = deployment.agents['a3']
        process.backend.is_draining = True
        process.report_backend_status()

    def end(self, deployment: Deployment) -> None:
        """Shut the backend server down and stop its agent."""
        process = deployment.agents['a3']
        name = process.backend.name
        process.backend.crash()
        process.handle(BackendLeft(name))
        process.handle(StopRequested())
        deployment.scheduler.call_later(DOWNTIME_S, process.kill)


@final
class PacketsLost(Change):
    """A tenth of all datagrams is lost."""

    def begin(self, deployment: Deployment) -> None:
        """Begin the packet loss."""
        deployment.network.conditions = NetworkConditions(loss=_LOSS_SHARE)

    def end(self, deployment: Deployment) -> None:
        """End the packet loss."""
        deployment.network.conditions = NetworkConditions()


@final
class ZonesApart(Change):
    """Network partition between two availability zones."""

    def begin(self, deployment: Deployment) -> None:
        """Begin the partition."""
        hosts_by_zone: dict[str, list[str]] = {'a': [], _CHANGED_ZONE: []}
        for process in (*deployment.entries.values(), *deployment.agents.values()):
            hosts_by_zone.setdefault(process.registration.zone, []).append(
                process.endpoint.host
            )
        pairs = (
            frozenset((first_host, second_host))
            for first_host in hosts_by_zone['a']
            for second_host in hosts_by_zone[_CHANGED_ZONE]
        )
        deployment.network.conditions = NetworkConditions(partitions=frozenset(pairs))

    def end(self, deployment: Deployment) -> None:
        """End the partition."""
        deployment.network.conditions = NetworkConditions()


@final
class StoreAway(Change):
    """The store is unavailable."""

    def begin(self, deployment: Deployment) -> None:
        """Make the store unavailable."""
        deployment.is_store_available = False

    def end(self, deployment: Deployment) -> None:
        """Make the store available again."""
        deployment.is_store_available = True


@final
class ZoneOut(Change):
    """An availability zone is taken out of service and put back."""

    def begin(self, deployment: Deployment) -> None:
        """Take the zone out of service."""
        deployment.set_zones_out(_CHANGED_ZONE)

    def end(self, deployment: Deployment) -> None:
        """Put the zone back in service."""
        deployment.set_zones_out()


CHANGES: Final = (
    EntryDies(),
    EntryStops(),
    EntryJoins(),
    EntryPauses(),
    AgentDies(),
    AgentPauses(),
    AllProcessesDie(),
    BackendCrashes(),
    BackendLeaves(),
    PacketsLost(),
    ZonesApart(),
    StoreAway(),
    ZoneOut(),
)
