"""Guards against promises that real processes break under overlapping faults."""

import subprocess
import sys
from pathlib import Path

import pytest

SEEDS_IN_CI = (1,)
LIMIT_S = 120


@pytest.mark.parametrize('seed', SEEDS_IN_CI)
def test_a_short_soak_keeps_every_promise(seed: int, tmp_path: Path) -> None:
    command = [sys.executable, '-m', 'persimmonreach.standins.soak']
    options = ['--seed', str(seed), '--seconds', '4']
    done = subprocess.run(
        [*command, *options],
        cwd=tmp_path,
        capture_output=True,
        text=True,
        timeout=LIMIT_S,
        check=False,
    )
    assert done.returncode == 0, done.stdout + done.stderr
    assert 'every promise kept' in done.stdout
