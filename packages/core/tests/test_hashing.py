"""Guards against hashing that fails, differs between nodes or spreads unevenly."""

from collections import Counter

from persimmonreach.core import (
    BUCKETS_PER_SERVICE,
    FlowKey,
    bucket_of,
    rank_members,
    rendezvous_score,
)

MEMBERS = [f'agent-{number}' for number in range(7)]


def test_scores_are_the_same_on_every_node() -> None:
    # A process that hashes differently would disagree on every bucket's owner.
    assert rendezvous_score('1/5', 'agent-1') == 17119577993179257256


def test_removing_a_member_moves_only_its_buckets() -> None:
    for bucket in range(BUCKETS_PER_SERVICE):
        ranked = rank_members(f'1/{bucket}', MEMBERS)
        fewer = rank_members(f'1/{bucket}', [row for row in MEMBERS if row != ranked[0]])
        assert fewer == ranked[1:]


def test_flows_spread_over_all_buckets() -> None:
    counts = Counter(
        bucket_of(FlowKey(number.to_bytes(13))) for number in range(64 * 100)
    )
    assert len(counts) == BUCKETS_PER_SERVICE
    assert max(counts.values()) < 200
