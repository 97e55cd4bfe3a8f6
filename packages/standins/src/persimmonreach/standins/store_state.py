"""Keys, change history, leases and simulated faults of the stand-in store."""

from collections.abc import Iterable, Sequence
from typing import NamedTuple

from persimmonreach.store import (
    ABSENT,
    ANY_REVISION,
    Changes,
    CompareFailedError,
    HistoryLostError,
    KeyValue,
    LeaseLostError,
    Listing,
    StoreUnavailableError,
    WriteOutcomeUnknownError,
)


class Write(NamedTuple):
    """A key that a commit writes, with its value and lease.

    Attributes
    ----------
    key
        Name of the key.
    value
        New value.
    lease_id
        Lease that the key is attached to; 0 for none.

    """

    key: str
    value: bytes
    lease_id: int = 0


class _StoredKey(NamedTuple):
    value: KeyValue
    lease_id: int


class _Lease(NamedTuple):
    ttl_s: float
    expires_at: float


class _Change(NamedTuple):
    revision: int
    key: str
    value: KeyValue | None


class StoreState:
    """Keys, leases and change history of the store.

    The parameter ``now`` of its methods is the present time in seconds.
    """

    def __init__(self) -> None:
        self._keys: dict[str, _StoredKey] = {}
        self._leases: dict[int, _Lease] = {}
        self._history: list[_Change] = []
        self._history_start_revision = 0
        self._revision = 1
        self._next_lease_id = 1

    @property
    def revision(self) -> int:
        """Revision of the latest change."""
        return self._revision

    def get(self, key: str, now: float) -> KeyValue | None:
        """Return a key with its value; None if it does not exist."""
        self._expire(now)
        stored = self._keys.get(key)
        return stored.value if stored else None

    def list_prefix(self, prefix: str, now: float) -> Listing:
        """Return all keys that start with ``prefix``, ordered by name."""
        self._expire(now)
        keys = sorted(key for key in self._keys if key.startswith(prefix))
        return Listing(self._revision, tuple(self._keys[key].value for key in keys))

    def lease_id_of(self, key: str) -> int:
        """Return the id of the lease of a key; 0 for none."""
        stored = self._keys.get(key)
        return stored.lease_id if stored else 0

    def commit(
        self,
        expected_revisions: Sequence[tuple[str, int]],
        writes: Sequence[Write],
        deleted_keys: Sequence[str],
        now: float,
    ) -> int:
        """Apply writes and deletions atomically and return their revision.

        Raises
        ------
        CompareFailedError
            If a key does not have its expected revision.
        LeaseLostError
            If the lease of a write has expired.

        """
        self._expire(now)
        self._check_revisions(expected_revisions)
        for write in writes:
            if write.lease_id and write.lease_id not in self._leases:
                raise LeaseLostError(write.key)
        self._revision += 1
        for write in writes:
            value = KeyValue(write.key, write.value, self._revision)
            self._keys[write.key] = _StoredKey(value, write.lease_id)
            self._history.append(_Change(self._revision, write.key, value))
        self._delete(deleted_keys)
        return self._revision

    def put(self, value: KeyValue, lease_id: int, now: float) -> int:
        """Write a key if its present revision is that of ``value``."""
        expected = [(value.key, value.revision)]
        return self.commit(expected, [Write(value.key, value.value, lease_id)], [], now)

    def grant_lease(self, ttl_s: float, now: float) -> int:
        """Return the id of a new lease that lasts ``ttl_s`` seconds unless renewed."""
        lease_id = self._next_lease_id
        self._next_lease_id += 1
        self._leases[lease_id] = _Lease(ttl_s, now + ttl_s)
        return lease_id

    def keep_alive(self, lease_id: int, now: float) -> None:
        """Renew a lease.

        Raises
        ------
        LeaseLostError
            If the lease has expired or was ended.

        """
        self._expire(now)
        lease = self._leases.get(lease_id)
        if lease is None:
            raise LeaseLostError(str(lease_id))
        self._leases[lease_id] = lease._replace(expires_at=now + lease.ttl_s)

    def end_lease(self, lease_id: int, now: float) -> None:
        """End a lease and delete its keys.

        Raises
        ------
        LeaseLostError
            If the lease has expired or was ended before.

        """
        self._expire(now)
        if self._leases.pop(lease_id, None) is None:
            raise LeaseLostError(str(lease_id))
        self._delete_keys_of({lease_id})

    def changes(self, prefix: str, after_revision: int, now: float) -> Changes:
        """Return the latest change after a revision of each key with a prefix.

        Raises
        ------
        HistoryLostError
            If the changes after that revision were dropped.

        """
        self._expire(now)
        if after_revision < self._history_start_revision:
            raise HistoryLostError(str(after_revision))
        latest = {
            change.key: change.value
            for change in self._history
            if change.revision > after_revision and change.key.startswith(prefix)
        }
        written = tuple(value for value in latest.values() if value is not None)
        deleted = tuple(key for key, value in latest.items() if value is None)
        return Changes(self._revision, written, deleted)

    def drop_history(self) -> None:
        """Drop all past changes; watches from before fail and have to list again."""
        self._history.clear()
        self._history_start_revision = self._revision

    def remove_keys(self, prefix: str) -> None:
        """Delete the keys that start with ``prefix`` and keep their leases."""
        self._revision += 1
        self._delete([key for key in self._keys if key.startswith(prefix)])

    def _check_revisions(self, expected_revisions: Sequence[tuple[str, int]]) -> None:
        for key, revision in expected_revisions:
            stored = self._keys.get(key)
            found = stored.value.revision if stored else ABSENT
            if revision not in {ANY_REVISION, found}:
                raise CompareFailedError(key)

    def _delete(self, keys: Iterable[str]) -> None:
        for key in keys:
            if self._keys.pop(key, None) is not None:
                self._history.append(_Change(self._revision, key, None))

    def _expire(self, now: float) -> None:
        expired = {
            lease_id
            for lease_id, lease in self._leases.items()
            if lease.expires_at <= now
        }
        for lease_id in expired:
            self._leases.pop(lease_id)
        if expired:
            self._delete_keys_of(expired)

    def _delete_keys_of(self, lease_ids: set[int]) -> None:
        keys = [key for key, stored in self._keys.items() if stored.lease_id in lease_ids]
        if keys:
            self._revision += 1
            self._delete(keys)


class Faults(NamedTuple):
    """Faults that the store simulates.

    Attributes
    ----------
    outage
        Whether every call fails without effect.
    refuse
        HTTP status of calls during an outage: 503 or 429.
    delay_s
        Delay of every call before it takes effect, in seconds.
    lose_writes
        Numbers of the writes, counted from 1 since the faults were set, that
        take effect and whose responses are lost.
    lose_all
        Whether the responses to all writes are lost.
    silent
        Whether calls take effect and their connections are closed without a
        response.

    """

    outage: bool = False
    refuse: int = 503
    delay_s: float = 0
    lose_writes: frozenset[int] = frozenset()
    lose_all: bool = False
    silent: bool = False


class FaultInjector:
    """Simulates the faults that are set, and counts calls and writes."""

    def __init__(self) -> None:
        self._faults = Faults()
        self._call_count = 0
        self._write_count = 0

    @property
    def faults(self) -> Faults:
        """Faults that are set."""
        return self._faults

    @property
    def call_count(self) -> int:
        """Number of calls so far; a watch that waits counts as one."""
        return self._call_count

    @property
    def write_count(self) -> int:
        """Number of writes since the faults were set."""
        return self._write_count

    def set_faults(self, faults: Faults) -> None:
        """Replace the faults and reset the number of writes."""
        self._faults = faults
        self._write_count = 0

    def before_call(self) -> None:
        """Count a call, and fail it during a simulated outage.

        Raises
        ------
        StoreUnavailableError
            During a simulated outage.

        """
        self._call_count += 1
        if self._faults.outage:
            raise StoreUnavailableError('simulated outage')

    def after_write(self) -> None:
        """Count a write that took effect, and fail it if its response is lost.

        Raises
        ------
        WriteOutcomeUnknownError
            If the faults lose its response.

        """
        self._write_count += 1
        if self._faults.lose_all or self._write_count in self._faults.lose_writes:
            raise WriteOutcomeUnknownError('response lost by a simulated fault')
