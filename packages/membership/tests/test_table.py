"""Guards against rows that depend on the order of messages, and unsafe settings."""

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from persimmonreach.core import Endpoint, FindingsError
from persimmonreach.membership import (
    Member,
    MembershipSettings,
    MemberState,
    check_settings,
)
from persimmonreach.membership._table import MemberRow, MemberTable, merge_rows

ROWS = st.builds(
    lambda agent, incarnation, service, port, state, alive, accusers: MemberRow(
        Member(agent, incarnation, service, 'z', Endpoint('h', port), state, alive),
        tuple(sorted(accusers)) if alive else (),
    ),
    st.sampled_from('ab'),
    st.integers(1, 3),
    st.integers(1, 2),
    st.integers(1, 2),
    st.sampled_from(MemberState),
    st.booleans(),
    st.sets(st.sampled_from('xyz')),
)


@settings(derandomize=True, database=None, max_examples=300)
@given(st.lists(ROWS, max_size=8), st.randoms(use_true_random=False))
def test_order_and_repetition_of_rows_do_not_matter(rows, rng):
    shuffled = [*rows, *rows[:3]]
    rng.shuffle(shuffled)
    one, other = MemberTable(), MemberTable()
    for row in rows:
        one.merge(row)
    for row in shuffled:
        other.merge(row)
    assert sorted(one.rows) == sorted(other.rows)
    assert one.digest == other.digest
    assert one.view(1) == other.view(1)


@settings(derandomize=True, database=None)
@given(ROWS, ROWS)
def test_merged_row_never_goes_backwards(one, other):
    other = other._replace(member=other.member._replace(agent=one.member.agent))
    merged = merge_rows(one, other)
    for row in (one, other):
        assert merged.member.incarnation >= row.member.incarnation
        if merged.member.incarnation == row.member.incarnation:
            assert merged.member.state >= row.member.state
            assert merged.member.alive <= row.member.alive


def test_fence_has_to_outlast_lease_and_drift():
    check_settings(MembershipSettings())
    check_settings(MembershipSettings(heartbeat_s=2, lease_s=6, fence_s=8))
    with pytest.raises(FindingsError) as caught:
        check_settings(MembershipSettings(fence_s=3.05, batch_s=0))
    assert {found.path for found in caught.value.findings} == {'$.fence_s', '$.batch_s'}
