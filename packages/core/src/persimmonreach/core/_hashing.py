"""Bucket and rendezvous hashing."""

from collections.abc import Iterable
from typing import Final

import xxhash

from persimmonreach.core._identity import BucketId, FlowKey

# 64 buckets keep a handover small: at 2,000 flows on each of 7 backend
# servers a bucket holds about 220 flows.
BUCKETS_PER_SERVICE: Final = 64


def bucket_of(key: FlowKey) -> BucketId:
    """Return the bucket of a flow."""
    return BucketId(xxhash.xxh3_64_intdigest(key) % BUCKETS_PER_SERVICE)


def rendezvous_score(subject: str, member: str) -> int:
    """Return the rendezvous weight of ``member`` for ``subject``."""
    return xxhash.xxh3_64_intdigest(f'{subject}\n{member}'.encode())


def rank_members(subject: str, members: Iterable[str]) -> list[str]:
    """Return ``members`` from the highest to the lowest rendezvous score."""
    return sorted(
        members,
        key=lambda member: (rendezvous_score(subject, member), member),
        reverse=True,
    )
