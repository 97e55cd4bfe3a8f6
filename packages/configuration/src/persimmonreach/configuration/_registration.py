"""Registration of an entry instance in the store."""

import json
from typing import Final

from persimmonreach.configuration._head import ENTRIES_PREFIX
from persimmonreach.configuration._model import EntryInstance
from persimmonreach.configuration._store import (
    ANY_REVISION,
    LeaseLostError,
    Store,
    StoreContentError,
    StoreError,
    StoreValue,
)
from persimmonreach.core import Endpoint, EntryId, Zone

LEASE_S: Final = 10
# Three renewals fit a lease, so that two may be lost.
RENEWAL_S: Final = 3


class Registration:
    """Keeps the key of an entry instance alive.

    Parameters
    ----------
    store
        Store of the platform.
    entry
        Entry instance to register.

    """

    def __init__(self, store: Store, entry: EntryInstance) -> None:
        self._store = store
        self._entry = entry
        self._lease = 0

    def renew(self) -> float:
        """Register or renew; return the seconds until the next call.

        Raises
        ------
        StoreError
            If the store does not answer; the call can be repeated.

        """
        if self._lease:
            try:
                self._store.keep_alive(self._lease)
            except LeaseLostError:
                self._lease = 0
        if not self._lease:
            self._register()
        return RENEWAL_S

    def withdraw(self) -> None:
        """Delete the key; if the store does not answer, the lease lapses."""
        try:
            self._store.delete(self._key)
        except StoreError:
            return

    @property
    def _key(self) -> str:
        return ENTRIES_PREFIX + self._entry.entry

    def _register(self) -> None:
        lease = self._store.grant_lease(LEASE_S)
        value = json.dumps((self._entry.zone, *self._entry.endpoint))
        self._store.put(self._key, value, ANY_REVISION, lease)
        self._lease = lease


def decode_entry(row: StoreValue) -> EntryInstance:
    """Return the entry instance in a key of the store.

    Raises
    ------
    StoreContentError
        If the value is not a registration.

    """
    try:
        zone, host, port = json.loads(row.value)
    except (ValueError, TypeError) as error:
        raise StoreContentError(f'{row.key} is malformed') from error
    entry = EntryId(row.key.removeprefix(ENTRIES_PREFIX))
    return EntryInstance(entry, Zone(zone), Endpoint(host, port))
