"""Guards against nodes that disagree on the registrars after changes of the list."""

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from persimmonreach.configuration import EntriesChanged, EntryInstance
from persimmonreach.core import Endpoint
from persimmonreach.membership._registrars import RegistrarSets

SERVICES = range(30)
HANDOVER_S = 10


def entries(numbers):
    return tuple(
        EntryInstance(f'e{number}', f'z{number % 3}', Endpoint('127.0.0.1', number))
        for number in sorted(numbers)
    )


lists = st.lists(st.sets(st.integers(0, 9), min_size=1), min_size=1, max_size=6)


@settings(derandomize=True)
@given(lists, st.integers(0, 12))
def test_kept_choices_equal_those_ranked_anew(changes, pause):
    kept, fresh = RegistrarSets(HANDOVER_S), RegistrarSets(HANDOVER_S)
    now = 0
    for version, numbers in enumerate(changes, 1):
        now += pause
        for sets in (kept, fresh):
            sets.expire(now)
            sets.adopt(EntriesChanged(version, entries(numbers)), now)
        fresh._chosen = {}
        fresh._everyone = {}
        for service in SERVICES:
            assert kept.sets(service) == fresh.sets(service)
            assert kept.everyone(service) == fresh.everyone(service)


@pytest.mark.parametrize('removed', [True, False])
def test_only_affected_services_are_ranked_again(removed):
    sets = RegistrarSets(HANDOVER_S)
    sets.adopt(EntriesChanged(1, entries(range(60))), 0)
    for service in SERVICES:
        sets.sets(service)
    numbers = range(1, 60) if removed else range(61)
    sets.adopt(EntriesChanged(2, entries(numbers)), 1)
    assert len(sets._chosen) > len(SERVICES) / 2
