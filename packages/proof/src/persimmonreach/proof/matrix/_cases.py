"""Cases of the fault matrix."""

from collections.abc import Iterator
from typing import Final, NamedTuple

from persimmonreach.proof.matrix._changes import CHANGES, FAULT_DURATION_S, Change
from persimmonreach.proof.matrix._guarantees import find_violations
from persimmonreach.proof.simulation import Deployment

FLOW_COUNT: Final = 24
THINK_TIME_S: Final = 0.3
# The second change begins together with the first one or while it is in progress.
OFFSETS_S: Final = (0, 0.05, 0.7)
RECOVERY_TIME_S: Final = 6.0
# Flows opened after the recovery time, all of which have to be placed in time.
NEW_FLOW_COUNT: Final = 6
_PLACEMENT_TIME_S: Final = 1.5


class Case(NamedTuple):
    """Two overlapping changes; the second one may be the same as the first one.

    Attributes
    ----------
    first
        Change that begins first.
    second
        Change that begins together with the first one or while it is in progress.
    offset_s
        Seconds from the first change to the second one.

    """

    first: Change
    second: Change
    offset_s: float

    @property
    def name(self) -> str:
        """Name of the case in the report."""
        change_names = '+'.join((self.first.name, self.second.name))
        return f'{change_names}@{self.offset_s}'


class CaseResult(NamedTuple):
    """A case, and a line for each guarantee that was violated."""

    case: Case
    violations: tuple[str, ...]


def generate_cases() -> Iterator[Case]:
    """Yield every ordered pair of changes, also of a change with itself."""
    for first in CHANGES:
        for second in CHANGES:
            for offset_s in OFFSETS_S:
                yield Case(first, second, offset_s)


def run_all_cases(seed: int) -> Iterator[CaseResult]:
    """Run all cases with one seed."""
    for case in generate_cases():
        yield CaseResult(case, run_case(case, seed))


def run_case(case: Case, seed: int) -> tuple[str, ...]:
    """Run a case; return one line for each guarantee that was violated."""
    deployment = Deployment(seed)
    deployment.start()
    flows = deployment.open_flows(FLOW_COUNT, THINK_TIME_S)
    case.first.begin(deployment)
    # Flows that may still be opening when the second change begins.
    flows.extend(
        deployment.open_flow(zone, THINK_TIME_S) for zone in deployment.plan.zones
    )
    deployment.run_for(case.offset_s)
    case.second.begin(deployment)
    deployment.run_for(FAULT_DURATION_S)
    case.first.end(deployment)
    case.second.end(deployment)
    deployment.run_for(RECOVERY_TIME_S)
    new_flows = [
        deployment.open_flow(deployment.plan.zones[number % len(deployment.plan.zones)])
        for number in range(NEW_FLOW_COUNT)
    ]
    deployment.run_for(_PLACEMENT_TIME_S)
    not_placed_count = sum(flow.state != 'open' for flow in new_flows)
    placement_violations = (
        (f'{not_placed_count} new flows not placed at the end',)
        if not_placed_count
        else ()
    )
    return (*find_violations(deployment, flows), *placement_violations)
