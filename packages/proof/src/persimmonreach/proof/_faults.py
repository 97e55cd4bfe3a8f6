"""Faults of nodes: entry instances, agents and backend servers."""

from abc import ABC, abstractmethod
from typing import Final

from persimmonreach.proof._agent_node import AgentNode
from persimmonreach.proof._entry_node import EntryNode
from persimmonreach.proof._steps import Target
from persimmonreach.proof._world import World

PAUSE_S: Final = 6
# Longer than the lease of an entry instance's key in the store (10 s).
_LAPSE_S: Final = 12
_REPLACED_S: Final = 3
_RESTART_S: Final = 1
# The fence (4 s), and a claim after it.
_FENCED_S: Final = 8
# After an agent went on, until packets reach its flows again.
_RESUMED_S: Final = 2


class Fault(ABC):
    """Something that goes wrong at one moment."""

    # Seconds after the end before the same fault strikes again.
    gap_s: float = 2

    @abstractmethod
    def strike(self, world: World, target: Target) -> float:
        """Let the fault happen; return the seconds until it has ended."""


def pick_agent(world: World, target: Target) -> AgentNode | None:
    """Return the agent to strike; nothing if no other could take new flows."""
    out = world.journal.zones_out
    members = [node for node in world.agents.values() if node.service == 'counter']
    fit = [node for node in members if node.takes_flows and node.zone not in out]
    wanted = world.agents.get(target.agent)
    if wanted is not None and wanted.is_well and wanted.server.alive:
        if any(node is not wanted for node in fit):
            return wanted
    return fit[0] if len(fit) > 1 else None


def pick_entry(world: World) -> EntryNode:
    """Return the entry instance to strike."""
    return next(node for node in world.entries.values() if node.is_well)


def next_entry(world: World) -> str:
    """Return the name of the next entry instance."""
    number = len(world.entries) + 1
    return f'e{number}'


class EntryDies(Fault):
    """An entry instance ends at once; another one replaces it soon."""

    # The list of entry instances, and with it the registrars, changes after
    # the store lease (10 s) and counts alone after the handover (10 s).
    gap_s = 25

    def strike(self, world: World, target: Target) -> float:
        """End the process."""
        node = pick_entry(world)
        node.die()
        name = next_entry(world)
        world.scheduler.after(_REPLACED_S, world.add_entry, name, node.zone)
        return 0


class EntryJoins(Fault):
    """One more entry instance starts."""

    def strike(self, world: World, target: Target) -> float:
        """Start the process."""
        world.add_entry(next_entry(world), pick_entry(world).zone)
        return 0


class EntryLapses(Fault):
    """An entry instance is paused for longer than its store lease."""

    gap_s = 12

    def strike(self, world: World, target: Target) -> float:
        """Pause the process."""
        node = pick_entry(world)
        node.pause()
        world.scheduler.after(_LAPSE_S, node.wake)
        return _LAPSE_S


class AgentDies(Fault):
    """An agent and its backend server end at once."""

    def strike(self, world: World, target: Target) -> float:
        """End both."""
        node = pick_agent(world, target)
        if node is not None:
            node.die_with_server()
            world.excuses.dead_servers.add(node.name)
            world.excuses.add_absence(node.name, _FENCED_S)
        return 0


class AgentPauses(Fault):
    """An agent is paused for longer than its lease, and wakes."""

    def strike(self, world: World, target: Target) -> float:
        """Pause the process."""
        node = pick_agent(world, target)
        if node is not None:
            node.pause()
            world.scheduler.after(PAUSE_S, node.wake)
            world.excuses.add_absence(node.name, PAUSE_S + _RESUMED_S)
        return PAUSE_S


class AgentRestarts(Fault):
    """An agent ends and starts again beside the same backend server."""

    def strike(self, world: World, target: Target) -> float:
        """End the process and start it."""
        node = pick_agent(world, target)
        if node is not None:
            node.die()
            world.scheduler.after(_RESTART_S, node.start)
            world.excuses.add_absence(node.name, _RESTART_S + _RESUMED_S)
        return _RESTART_S


class ServerDrains(Fault):
    """A backend server reports that it drains."""

    def strike(self, world: World, target: Target) -> float:
        """Start to drain."""
        node = pick_agent(world, target)
        if node is not None:
            world.journal.note(f'{node.name} drains')
            node.server.drain()
        return 0


class ServerTurnsCold(Fault):
    """A backend server loses its caches."""

    def strike(self, world: World, target: Target) -> float:
        """Turn cold."""
        node = pick_agent(world, target)
        if node is not None:
            world.journal.note(f'{node.name} turns cold')
            node.server.turn_cold()
        return 0


class ServerDies(Fault):
    """A backend server ends; its agent goes on."""

    def strike(self, world: World, target: Target) -> float:
        """End the backend server."""
        node = pick_agent(world, target)
        if node is not None:
            world.journal.note(f'server of {node.name} dies')
            node.server.die()
            world.excuses.dead_servers.add(node.name)
            world.excuses.add_absence(node.name, _FENCED_S)
        return 0
