"""Faults of the network, the store and its operators."""

from collections.abc import Mapping
from types import MappingProxyType
from typing import Final

from persimmonreach.configuration import StoreError
from persimmonreach.proof._excuses import EVERYONE
from persimmonreach.proof._faults import (
    AgentDies,
    AgentPauses,
    AgentRestarts,
    EntryDies,
    EntryJoins,
    EntryLapses,
    Fault,
    ServerDies,
    ServerDrains,
    ServerTurnsCold,
)
from persimmonreach.proof._journal import flow_label
from persimmonreach.proof._network import Conditions
from persimmonreach.proof._steps import Target
from persimmonreach.proof._world import ZONES, World
from persimmonreach.standins.store_state import Faults

_UPDATES_S: Final = 3
_LOSS_SHARE: Final = 0.4
_LATE_S: Final = 1.5
_JITTER_S: Final = 0.5
_DUPLICATE_SHARE: Final = 0.3
_STORE_S: Final = 10
_STORE_DELAY_S: Final = 2
_APART_S: Final = 20
_REJOINED_S: Final = 3
_LOST_ANSWERS: Final = frozenset(range(1, 5))


class NetworkFault(Fault):
    """Messages between own processes are lost, late or reordered for 3 s.

    Parameters
    ----------
    conditions
        State of the network for this time.

    """

    def __init__(self, conditions: Conditions) -> None:
        self._conditions = conditions

    def strike(self, world: World, target: Target) -> float:
        """Change the network."""
        _set_network(world, self._conditions)
        world.scheduler.after(_UPDATES_S, _set_network, world, Conditions())
        return _UPDATES_S


class RegionsApart(Fault):
    """One availability zone exchanges nothing with the others for 20 s."""

    # A quiet flow needs one answered probe between two losses of contact.
    gap_s = 10

    def strike(self, world: World, target: Target) -> float:
        """Divide the network."""
        node = world.agents.get(target.agent)
        apart = frozenset((node.zone if node else ZONES[0],))
        _set_network(world, Conditions(apart=apart))
        world.scheduler.after(_APART_S, _set_network, world, Conditions())
        world.excuses.add_absence(EVERYONE, _APART_S + _REJOINED_S)
        world.journal.deaf_until = world.now + _APART_S
        world.journal.apart_until = world.now + _APART_S
        return _APART_S


class StoreDown(Fault):
    """No call to the store succeeds for 10 s."""

    def strike(self, world: World, target: Target) -> float:
        """Stop the store."""
        world.set_store_faults(Faults(outage=True))
        world.scheduler.after(_STORE_S, world.set_store_faults, Faults())
        world.journal.deaf_until = world.now + _STORE_S
        _delay_unread_zones(world, world.now + _STORE_S)
        return _STORE_S


class StoreSlow(Fault):
    """Reads of the store take 2 s for 10 s."""

    def strike(self, world: World, target: Target) -> float:
        """Slow the store down."""
        _set_delay(world, _STORE_DELAY_S)
        world.scheduler.after(_STORE_S, _set_delay, world, 0)
        return _STORE_S


class AnswersLost(Fault):
    """A publish takes effect but the answers of its writes are lost."""

    def strike(self, world: World, target: Target) -> float:
        """Publish."""
        world.operator_store.set_faults(Faults(lose_writes=_LOST_ANSWERS))
        world.publish()
        world.operator_store.set_faults(Faults())
        return 0


class OperatorsRace(Fault):
    """Two operators plan on the same head: a publish and a zone change."""

    def strike(self, world: World, target: Target) -> float:
        """Submit both plans."""
        zone = _free_zone(world, target)
        try:
            plans = (
                world.publisher.plan(world.next_declarations()),
                world.publisher.plan_zone(zone, True),
            )
            for plan in world.rng.sample(plans, len(plans)):
                world.settle(plan)
        except StoreError:
            return 0
        return 0


class StateForgotten(Fault):
    """A middle box forgets a flow and drops its packets from then on."""

    def strike(self, world: World, target: Target) -> float:
        """Forget one flow that is not forgotten yet."""
        rows = world.callers.flows.items()
        keys = [key for key, row in rows if row.is_open and not row.plan.single]
        keys = [key for key in keys if key not in world.callers.forgotten]
        if not keys:
            return 0
        key = target.key if target.key in keys else keys[0]
        world.callers.forgotten[key] = world.now
        world.excuses.forgotten[key] = world.now
        label = flow_label(key)
        world.journal.note(f'middle box forgets {label}')
        return 0


class ZoneOut(Fault):
    """An operator takes an availability zone out of service."""

    def strike(self, world: World, target: Target) -> float:
        """Take the zone out, by an override while the store is down."""
        world.set_zone(_free_zone(world, target), True)
        return 0


def _free_zone(world: World, target: Target) -> str:
    """Return a zone to take out; zone a stays, as one service lives only there."""
    node = world.agents.get(target.agent)
    wanted = [node.zone] if node and node.zone != ZONES[0] else []
    candidates = [*wanted, *ZONES[1:]]
    free = [zone for zone in candidates if zone not in world.journal.zones_out]
    return free[0] if free else ZONES[1]


def _delay_unread_zones(world: World, until: float) -> None:
    """Expect a zone change that no entry instance has read after the outage."""
    zones_out = world.journal.zones_out
    read = set[str]()
    for node in world.entries.values():
        read.update(node.configuration.zones_out)
    zones_out.update(dict.fromkeys(zones_out.keys() - read, until))


def _set_network(world: World, conditions: Conditions) -> None:
    world.journal.note(f'{conditions}')
    world.network.conditions = conditions


def _set_delay(world: World, seconds: float) -> None:
    for node in world.entries.values():
        node.store_delay_s = seconds


FAULTS: Final[Mapping[str, Fault]] = MappingProxyType(
    {
        'entry_dies': EntryDies(),
        'entry_joins': EntryJoins(),
        'entry_lapses': EntryLapses(),
        'agent_dies': AgentDies(),
        'agent_pauses': AgentPauses(),
        'agent_restarts': AgentRestarts(),
        'server_drains': ServerDrains(),
        'server_cold': ServerTurnsCold(),
        'server_dies': ServerDies(),
        'updates_lost': NetworkFault(Conditions(loss=_LOSS_SHARE)),
        'updates_late': NetworkFault(Conditions(delay_s=_LATE_S)),
        'updates_reordered': NetworkFault(
            Conditions(jitter_s=_JITTER_S, duplicates=_DUPLICATE_SHARE),
        ),
        'regions_apart': RegionsApart(),
        'store_down': StoreDown(),
        'store_slow': StoreSlow(),
        'answers_lost': AnswersLost(),
        'operators_race': OperatorsRace(),
        'state_forgotten': StateForgotten(),
        'zone_out': ZoneOut(),
    },
)
