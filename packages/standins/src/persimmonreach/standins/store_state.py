"""State of the stand-in store: keys, revisions, leases and faults."""

from collections.abc import Iterable
from typing import NamedTuple

from persimmonreach.configuration import (
    ABSENT,
    ANY_REVISION,
    CompareFailedError,
    LeaseLostError,
    Listing,
    StoreUnavailableError,
    StoreUncertainError,
    StoreValue,
    Watched,
)


class Faults(NamedTuple):
    """Settable faults.

    Attributes
    ----------
    outage
        Whether every call fails without effect.
    delay_s
        Seconds that every call waits before it takes effect.
    lose_writes
        Numbers of the writes, counted from 1 since the faults were set, whose
        answers are lost after they took effect.

    """

    outage: bool = False
    delay_s: float = 0
    lose_writes: frozenset[int] = frozenset()


class _Row(NamedTuple):
    value: StoreValue
    lease: int


class _Lease(NamedTuple):
    ttl_s: float
    expires_at: float


class StoreState:
    """Keys and leases; every method takes the time in seconds."""

    def __init__(self) -> None:
        self._rows: dict[str, _Row] = {}
        self._leases: dict[int, _Lease] = {}
        self._changes: dict[str, int] = {}
        self._revision = 0
        self._next_lease = 1

    def get(self, key: str, now: float) -> StoreValue | None:
        """Return a key."""
        self._expire(now)
        row = self._rows.get(key)
        return row.value if row else None

    def list_prefix(self, prefix: str, now: float) -> Listing:
        """Return all keys with a prefix."""
        self._expire(now)
        keys = sorted(key for key in self._rows if key.startswith(prefix))
        return Listing(self._revision, tuple(self._rows[key].value for key in keys))

    def put(
        self,
        row: StoreValue,
        lease: int,
        now: float,
    ) -> int:
        """Write a key if it has the revision of ``row``."""
        self._expire(now)
        present = self._rows.get(row.key)
        revision = present.value.revision if present else ABSENT
        if row.revision not in {ANY_REVISION, revision}:
            raise CompareFailedError(row.key)
        if lease and lease not in self._leases:
            raise LeaseLostError(row.key)
        self._mark(row.key)
        self._rows[row.key] = _Row(row._replace(revision=self._revision), lease)
        return self._revision

    def delete(self, key: str, now: float) -> None:
        """Delete a key."""
        self._expire(now)
        self._remove((key,))

    def grant_lease(self, ttl_s: float, now: float) -> int:
        """Return a new lease."""
        lease = self._next_lease
        self._next_lease += 1
        self._leases[lease] = _Lease(ttl_s, now + ttl_s)
        return lease

    def keep_alive(self, lease: int, now: float) -> None:
        """Renew a lease."""
        self._expire(now)
        known = self._leases.get(lease)
        if known is None:
            raise LeaseLostError(str(lease))
        self._leases[lease] = known._replace(expires_at=now + known.ttl_s)

    def watched(self, prefixes: tuple[str, ...], after: int, now: float) -> Watched:
        """Return whether a key with one of ``prefixes`` changed."""
        self._expire(now)
        changed = any(
            revision > after and key.startswith(prefixes)
            for key, revision in self._changes.items()
        )
        return Watched(self._revision, changed)

    def _mark(self, key: str) -> None:
        self._revision += 1
        self._changes[key] = self._revision

    def _remove(self, keys: Iterable[str]) -> None:
        for key in keys:
            if self._rows.pop(key, None) is not None:
                self._mark(key)

    def _expire(self, now: float) -> None:
        ended = {
            number for number, lease in self._leases.items() if lease.expires_at <= now
        }
        for number in ended:
            self._leases.pop(number)
        gone = [key for key, row in self._rows.items() if row.lease in ended]
        self._remove(gone)


class FaultSwitch:
    """Applies the faults that are set, and counts calls and writes."""

    def __init__(self) -> None:
        self._faults = Faults()
        self._calls = 0
        self._writes = 0

    @property
    def faults(self) -> Faults:
        """Faults in force."""
        return self._faults

    @property
    def calls(self) -> int:
        """Calls so far; a waiting watch counts as one."""
        return self._calls

    @property
    def writes(self) -> int:
        """Writes since the faults were set."""
        return self._writes

    def set_faults(self, faults: Faults) -> None:
        """Replace the faults and count writes from 1 again."""
        self._faults = faults
        self._writes = 0

    def before_call(self) -> None:
        """Count a call.

        Raises
        ------
        StoreUnavailableError
            During an outage.

        """
        self._calls += 1
        if self._faults.outage:
            raise StoreUnavailableError('outage')

    def after_write(self) -> None:
        """Count a write that took effect.

        Raises
        ------
        StoreUncertainError
            If its answer is to be lost.

        """
        self._writes += 1
        if self._writes in self._faults.lose_writes:
            raise StoreUncertainError('answer lost')
