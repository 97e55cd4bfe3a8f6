"""Guards against broken promises under single faults, and against blind checks."""

from concurrent.futures import ProcessPoolExecutor

import pytest

from persimmonreach.proof._case import run_case
from persimmonreach.proof._plan import subset
from persimmonreach.proof._settings import Switches
from persimmonreach.proof.matrix import DEFAULT_SEED, run_cases


@pytest.fixture(scope='module')
def results():
    with ProcessPoolExecutor(4) as pool:
        found = run_cases(pool, subset(), DEFAULT_SEED, Switches())
    return {result.case: result for result in found}


@pytest.mark.parametrize('case', subset(), ids=lambda case: case.name)
def test_fixed_case_breaks_no_promise(results, case) -> None:
    assert not results[case].broken


def test_same_seed_gives_the_same_trace() -> None:
    case = subset()[0]
    assert run_case(case, 3) == run_case(case, 3)
