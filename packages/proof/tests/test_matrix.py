"""Guards against promises that break when changes and faults overlap."""

import pytest

from persimmonreach.proof.matrix import CHANGES, Case, all_cases, play
from persimmonreach.proof.matrix._changes import (
    AllProcessesDie,
    BackendCrashes,
    BackendLeaves,
    EntryStops,
)

CHANGES_IN_CI = tuple(Case(change, change, 0.05) for change in CHANGES)
# Cases that failed once, with the seed and the cause.
REGRESSIONS = (
    # An agent that had restarted took a packet that its crashed backend server
    # did not return for one that it had kept, and reset the flow of another.
    (Case(AllProcessesDie(), BackendCrashes(), 0.7), 1),
)


@pytest.mark.parametrize('case', CHANGES_IN_CI, ids=lambda case: case.name)
def test_a_change_that_comes_twice_breaks_no_promise(case: Case) -> None:
    assert not play(case, seed=1)


@pytest.mark.parametrize(
    'case',
    [Case(EntryStops(), BackendLeaves(), 0.7), Case(BackendLeaves(), EntryStops(), 0)],
    ids=lambda case: case.name,
)
def test_planned_work_at_both_ends_breaks_no_promise(case: Case) -> None:
    assert not play(case, seed=2)


@pytest.mark.parametrize(('case', 'seed'), REGRESSIONS)
def test_cases_that_failed_once_pass(case: Case, seed: int) -> None:
    assert not play(case, seed)


def test_the_matrix_has_each_change_during_each_other() -> None:
    pairs = {(case.first.name, case.second.name) for case in all_cases()}
    assert len(pairs) == len(CHANGES) ** 2
