"""Registration of a process in the store under a lease."""

from typing import Final

from persimmonreach.store import ANY_REVISION, LeaseLostError, Store

PROCESSES_PREFIX: Final = 'pr/'
AGENTS_PREFIX: Final = 'pr/agents/'
ENTRIES_PREFIX: Final = 'pr/entries/'
# Three renewals fit in a lease, so that two of them may be lost or late.
LEASE_S: Final = 6
# A registration that lapsed during an outage of the store must be restored within
# 2 s of its recovery, so renewals continue at this interval during the outage.
RENEWAL_INTERVAL_S: Final = 1.9
# The store can remove a key while its lease remains valid; renewals still succeed
# then, so the key is read after this number of them.
RENEWALS_PER_CHECK: Final = 3


class Registration:
    """Key of a process in the store, attached to a lease.

    Parameters
    ----------
    store
        Store of the platform.
    key
        Key of the process.
    value
        Value to write.

    """

    def __init__(self, store: Store, key: str, value: bytes) -> None:
        self._store = store
        self._key = key
        self._value = value
        self._lease_id = 0
        self._renewal_count = 0

    @property
    def is_registered(self) -> bool:
        """Whether the key was written and its lease is not known to have ended."""
        return bool(self._lease_id)

    def renew(self) -> None:
        """Renew the lease, or register if there is none.

        Raises
        ------
        StoreError
            If the store does not respond; the call can be retried.

        """
        self._renew_lease()
        if not self._lease_id:
            self._register()
            return
        self._renewal_count += 1
        if self._renewal_count % RENEWALS_PER_CHECK == 0 and self._is_key_missing():
            self._put(self._lease_id)

    def write(self) -> None:
        """Renew the lease and write the key, even if it is expected to exist.

        Raises
        ------
        StoreError
            If the store does not respond; the call can be retried.

        """
        self._renew_lease()
        if self._lease_id:
            self._put(self._lease_id)
        else:
            self._register()

    def withdraw(self) -> None:
        """End the lease, which removes the key.

        Raises
        ------
        StoreError
            If the store does not respond; the lease then expires by itself.

        """
        if self._lease_id:
            self._store.end_lease(self._lease_id)

    def _register(self) -> None:
        lease_id = self._store.grant_lease(LEASE_S)
        self._put(lease_id)
        self._lease_id = lease_id

    def _renew_lease(self) -> None:
        if not self._lease_id:
            return
        try:
            self._store.keep_alive(self._lease_id)
        except LeaseLostError:
            self._lease_id = 0

    def _put(self, lease_id: int) -> None:
        try:
            self._store.put(self._key, self._value, ANY_REVISION, lease_id)
        except LeaseLostError:
            self._lease_id = 0
            raise

    def _is_key_missing(self) -> bool:
        listing = self._store.list_prefix(self._key, may_be_stale=True)
        return all(stored.key != self._key for stored in listing.rows)
