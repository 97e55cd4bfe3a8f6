"""Planned changes and faults of a simulated deployment."""

from abc import ABC, abstractmethod
from typing import Final, final

from persimmonreach.forwarding import BackendLeft, StopRequested
from persimmonreach.proof.simulation import Conditions, World

# Time for which a process is away when it is started again.
DOWN_S: Final = 0.6
# Time for which a fault that ends lasts.
FAULT_S: Final = 2.0
_LOSS: Final = 0.1
_ENTRY: Final = 'e1'
_AGENT: Final = 'a1'
_ZONE: Final = 'b'


class Change(ABC):
    """Something that happens to a deployment and may end again."""

    @property
    def name(self) -> str:
        """Name in the table."""
        words = type(self).__name__
        parts = (f'_{letter.lower()}' if letter.isupper() else letter for letter in words)
        return ''.join(parts).lstrip('_')

    @abstractmethod
    def begin(self, world: World) -> None:
        """Let the change begin."""

    def end(self, world: World) -> None:
        """Let the change end, if it does."""


@final
class EntryDies(Change):
    """An entry instance is killed and started again."""

    def begin(self, world: World) -> None:
        """Kill it."""
        world.restart(world.entries[_ENTRY], DOWN_S)


@final
class EntryStops(Change):
    """An entry instance shuts down gracefully and is started again."""

    def begin(self, world: World) -> None:
        """Let it tell the agents, and end later."""
        node = world.entries[_ENTRY]
        node.handle(StopRequested())
        world.scheduler.after(1, world.restart, node, DOWN_S)


@final
class EntryJoins(Change):
    """An entry instance is added; the routers' hash moves nearly all flows."""

    def begin(self, world: World) -> None:
        """Add it."""
        world.add_entry('a')


@final
class EntryPauses(Change):
    """An entry instance does not run for a while."""

    def begin(self, world: World) -> None:
        """Pause it."""
        world.entries[_ENTRY].pause()

    def end(self, world: World) -> None:
        """Let it go on."""
        world.entries[_ENTRY].resume()


@final
class AgentDies(Change):
    """An agent is killed and started again beside its backend server."""

    def begin(self, world: World) -> None:
        """Kill it."""
        world.restart(world.agents[_AGENT], DOWN_S)


@final
class AgentPauses(Change):
    """An agent does not run for a while."""

    def begin(self, world: World) -> None:
        """Pause it."""
        world.agents[_AGENT].pause()

    def end(self, world: World) -> None:
        """Let it go on."""
        world.agents[_AGENT].resume()


@final
class AllProcessesDie(Change):
    """All entry instances and agents are killed at the same moment."""

    def begin(self, world: World) -> None:
        """Kill them."""
        for node in (*world.entries.values(), *world.agents.values()):
            world.restart(node, DOWN_S)


@final
class BackendCrashes(Change):
    """A backend server crashes and starts again."""

    def begin(self, world: World) -> None:
        """Crash it."""
        world.agents['a2'].backend.crash()

    def end(self, world: World) -> None:
        """Start it."""
        world.agents['a2'].start_backend(cold_s=1)


@final
class BackendLeaves(Change):
    """A backend server drains, leaves and ends, and its agent after it."""

    def begin(self, world: World) -> None:
        """Let it drain."""
        node = world.agents['a3']
        node.backend.is_draining = True
        node.report()

    def end(self, world: World) -> None:
        """Let it leave, and stop its agent."""
        node = world.agents['a3']
        name = node.backend.name
        node.backend.crash()
        node.handle(BackendLeft(name))
        node.handle(StopRequested())
        world.scheduler.after(DOWN_S, node.kill)


@final
class PacketsLost(Change):
    """A tenth of all datagrams is lost."""

    def begin(self, world: World) -> None:
        """Lose them."""
        world.network.conditions = Conditions(loss=_LOSS)

    def end(self, world: World) -> None:
        """Lose none."""
        world.network.conditions = Conditions()


@final
class ZonesApart(Change):
    """Two availability zones do not reach each other."""

    def begin(self, world: World) -> None:
        """Cut them apart."""
        hosts: dict[str, list[str]] = {'a': [], _ZONE: []}
        for node in (*world.entries.values(), *world.agents.values()):
            hosts.setdefault(node.listed.zone, []).append(node.endpoint.host)
        pairs = (frozenset((one, two)) for one in hosts['a'] for two in hosts[_ZONE])
        world.network.conditions = Conditions(cut=frozenset(pairs))

    def end(self, world: World) -> None:
        """Join them."""
        world.network.conditions = Conditions()


@final
class StoreAway(Change):
    """The store does not answer."""

    def begin(self, world: World) -> None:
        """Take it away."""
        world.is_store_up = False

    def end(self, world: World) -> None:
        """Bring it back."""
        world.is_store_up = True


@final
class ZoneOut(Change):
    """An availability zone is taken out of service and back."""

    def begin(self, world: World) -> None:
        """Take it out."""
        world.set_zones_out(_ZONE)

    def end(self, world: World) -> None:
        """Bring it back."""
        world.set_zones_out()


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
