"""Cases of the fault matrix."""

from collections.abc import Iterator
from typing import Final, NamedTuple

from persimmonreach.proof.matrix._changes import CHANGES, FAULT_S, Change
from persimmonreach.proof.matrix._promises import find_broken
from persimmonreach.proof.simulation import World

FLOWS: Final = 24
PAUSE_S: Final = 0.3
# The second change begins while the first one is under way, or at the same
# moment.
OFFSETS_S: Final = (0, 0.05, 0.7)
SETTLING_S: Final = 6.0
# New flows that have to be placed at the end.
PROBES: Final = 6
_PROBE_S: Final = 1.5


class Case(NamedTuple):
    """Two changes, the second one while the first one is under way."""

    first: Change
    second: Change
    offset_s: float

    @property
    def name(self) -> str:
        """Name in the table."""
        names = '+'.join((self.first.name, self.second.name))
        return f'{names}@{self.offset_s}'


class CaseResult(NamedTuple):
    """A case and a line for each promise that was not kept."""

    case: Case
    broken: tuple[str, ...]


def all_cases() -> Iterator[Case]:
    """Yield each change during each other one, also the same one twice."""
    for first in CHANGES:
        for second in CHANGES:
            for offset_s in OFFSETS_S:
                yield Case(first, second, offset_s)


def play_all(seed: int) -> Iterator[CaseResult]:
    """Play all cases with one seed."""
    for case in all_cases():
        yield CaseResult(case, play(case, seed))


def play(case: Case, seed: int) -> tuple[str, ...]:
    """Play a case; return one line for each promise that was not kept."""
    world = World(seed)
    world.build()
    flows = world.open_many(FLOWS, PAUSE_S)
    case.first.begin(world)
    # Flows that are being opened when the second change begins.
    flows.extend(world.open(zone, PAUSE_S) for zone in world.plan.zones)
    world.run(case.offset_s)
    case.second.begin(world)
    world.run(FAULT_S)
    case.first.end(world)
    case.second.end(world)
    world.run(SETTLING_S)
    probes = [
        world.open(world.plan.zones[number % len(world.plan.zones)])
        for number in range(PROBES)
    ]
    world.run(_PROBE_S)
    not_placed = sum(flow.state != 'open' for flow in probes)
    refused = (f'{not_placed} new flows not placed at the end',) if not_placed else ()
    return (*find_broken(world, flows), *refused)
