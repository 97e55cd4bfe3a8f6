"""One case: a step, the faults injected there, and what was broken."""

from typing import Final, NamedTuple

from persimmonreach.core import BUCKETS_PER_SERVICE
from persimmonreach.proof._callers import DEADLINE_S
from persimmonreach.proof._platform_faults import FAULTS
from persimmonreach.proof._promises import check_end, check_opened, check_recovered
from persimmonreach.proof._settings import NORMAL, RECOVERY_S, SILENT_S, Switches
from persimmonreach.proof._steps import STEPS, StepError, Target
from persimmonreach.proof._world import COUNTER, SHEET, ZONES, World

_WARM_UP_S: Final = 30
_LONG_FLOWS: Final = 10
_QUIET_FLOWS: Final = 3
_SHEET_FLOWS: Final = 2
_NEW_FLOWS: Final = 4
_QUIET_S: Final = 10000
_OPEN_S: Final = 3
_LINGER_S: Final = 2
# Reply grace of the callers, and one more tick.
_REPLIES_S: Final = 1.5


class Case(NamedTuple):
    """Faults that are injected one after the other at a step."""

    step: str
    faults: tuple[str, ...]

    @property
    def name(self) -> str:
        """Name on the command line."""
        faults = '+'.join(self.faults)
        return f'{self.step}:{faults}'


class Result(NamedTuple):
    """Broken promises of a case, each with its first detail."""

    case: Case
    seed: int
    broken: dict[str, str]
    trace: tuple[str, ...]


def parse_case(name: str) -> Case:
    """Return the case with this name.

    Raises
    ------
    ValueError
        If a step or a fault does not exist.

    """
    step, _, faults = name.partition(':')
    case = Case(step, tuple(faults.split('+')))
    unknown = [fault for fault in case.faults if fault not in FAULTS]
    if step not in STEPS or unknown:
        raise ValueError(f'no case {name!r}')
    return case


def run_case(case: Case, seed: int, switches: Switches = NORMAL) -> Result:
    """Run one case."""
    world = World(seed, switches)
    journal = world.journal
    _warm_up(world)
    if not journal.broken:
        try:
            target = STEPS[case.step].reach(world)
        except StepError as error:
            journal.breaks('step_is_reached', str(error))
        else:
            _strike(world, case, target)
            _recover(world)
    return Result(case, seed, journal.broken, tuple(journal.trace))


def _warm_up(world: World) -> None:
    for number, zone in enumerate(ZONES, 1):
        world.add_entry(f'e{number}', zone)
    world.publish()
    for number, zone in enumerate((*ZONES, ZONES[0]), 1):
        world.add_agent(f'a{number}', zone)
    world.add_agent('s1', ZONES[0], 'sheet')
    if not world.run_until(lambda: _is_whole(world), _WARM_UP_S):
        world.journal.breaks('step_is_reached', 'warm-up')
    for _ in range(_LONG_FLOWS):
        world.callers.open(COUNTER, 1, single=False)
    for _ in range(_SHEET_FLOWS):
        world.callers.open(SHEET, 1, single=False)
    for _ in range(_QUIET_FLOWS):
        world.quiet_key = world.callers.open(COUNTER, _QUIET_S, single=False)
    world.run(1)


def _is_whole(world: World) -> bool:
    return all(
        len(world.invariants.admitting(service)) == BUCKETS_PER_SERVICE
        for service in ('counter', 'sheet')
    )


def _strike(world: World, case: Case, target: Target) -> None:
    ends_at = world.now
    for number, name in enumerate(case.faults):
        if number:
            previous = case.faults[number - 1]
            wait = ends_at + FAULTS[name].gap_s if name == previous else world.now
            world.run(max(0, wait - world.now))
        world.journal.note(f'fault {name} at {target.agent}')
        seconds = FAULTS[name].strike(world, target)
        ends_at = max(ends_at, world.now + seconds)
    world.run(max(0, ends_at - world.now))


def _recover(world: World) -> None:
    world.run(RECOVERY_S)
    check_recovered(world)
    services = (*(COUNTER for _ in range(_NEW_FLOWS)), SHEET)
    keys = [world.callers.open(service, 1, single=True) for service in services]
    world.run(_OPEN_S)
    check_opened(world, keys)
    if world.excuses.forgotten:
        last = max(world.excuses.forgotten.values())
        world.run(max(0, last + SILENT_S + _LINGER_S - world.now))
    world.singles_end_at = world.now
    world.callers.close_all()
    world.run_until(lambda: not _has_open(world), DEADLINE_S + _REPLIES_S)
    check_end(world)


def _has_open(world: World) -> bool:
    return any(row.ended_at is None for row in world.callers.requests.values())
