"""Bucket hashing of flows and rendezvous hashing of members."""

from collections.abc import Iterable
from typing import Final

import xxhash

from persimmonreach.core._identity import BucketId, FlowKey

# Limits the size of a handover: with 2,000 flows on each of 7 backend servers,
# one of 64 buckets holds about 220 flows.
BUCKETS_PER_SERVICE: Final = 64


def bucket_of(key: FlowKey) -> BucketId:
    """Return the bucket that a flow is assigned to."""
    return BucketId(xxhash.xxh3_64_intdigest(key) % BUCKETS_PER_SERVICE)


def rendezvous_score(key: str, member: str) -> int:
    """Return the rendezvous (highest random weight) score of a member for a key."""
    return xxhash.xxh3_64_intdigest(f'{key}\n{member}'.encode())


def rank_members(key: str, members: Iterable[str]) -> list[str]:
    """Return the members by descending rendezvous score for a key."""
    return sorted(
        members,
        key=lambda member: (rendezvous_score(key, member), member),
        reverse=True,
    )
