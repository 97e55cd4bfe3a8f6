"""Interface of the platform's key-value store."""

from abc import ABC, abstractmethod
from typing import Final, NamedTuple

# Expected revision of a key that must not exist.
ABSENT: Final = 0
# Expected revision of an unconditional write.
ANY_REVISION: Final = -1


class StoreError(Exception):
    """A call to the store failed."""


class StoreUnavailableError(StoreError):
    """The store does not respond or refuses the call; nothing was written."""


class WriteOutcomeUnknownError(StoreError):
    """The response to a write was lost; the write may have taken effect."""


class CompareFailedError(StoreError):
    """The key does not have the expected revision; nothing was written."""


class LeaseLostError(StoreError):
    """The lease has expired or was ended; its keys are deleted."""


class HistoryLostError(StoreError):
    """The store no longer has all changes after the given revision."""


class StoreContentError(StoreError):
    """A stored value is missing or malformed, or a response is malformed."""


class KeyValue(NamedTuple):
    """Key with its value and revision.

    Attributes
    ----------
    key
        Name of the key.
    value
        Value of the key.
    revision
        Revision of the store at which the key was last written.

    """

    key: str
    value: bytes
    revision: int


class Listing(NamedTuple):
    """Result of listing the keys with a prefix.

    Attributes
    ----------
    revision
        Revision of the store up to which changes are included; a watch
        continues from it.
    rows
        Keys with their values, ordered by name.

    """

    revision: int
    rows: tuple[KeyValue, ...]


class Changes(NamedTuple):
    """Result of a watch; lists no keys if none changed before the timeout.

    Attributes
    ----------
    revision
        Revision from which the next watch continues.
    written
        Keys that were written, with their latest values, in the order of their
        first changes.
    deleted_keys
        Names of keys that were deleted and not written again.

    """

    revision: int
    written: tuple[KeyValue, ...] = ()
    deleted_keys: tuple[str, ...] = ()


class Store(ABC):
    """Key-value store with compare-and-swap, leases and watches.

    All methods raise ``StoreUnavailableError`` if the store does not respond or
    refuses the call, for example because it is overloaded. A write whose response
    is lost raises ``WriteOutcomeUnknownError`` instead, since it may have taken
    effect.
    """

    @abstractmethod
    def get(self, key: str) -> KeyValue | None:
        """Return a key with its value; None if it does not exist."""

    @abstractmethod
    def list_prefix(self, prefix: str, *, may_be_stale: bool = False) -> Listing:
        """Return all keys that start with ``prefix``, ordered by name.

        Parameters
        ----------
        prefix
            Prefix of the names of the keys.
        may_be_stale
            Whether the result may be a few seconds old.

        """

    @abstractmethod
    def put(
        self, key: str, value: bytes, expected_revision: int, lease_id: int = 0
    ) -> int:
        """Write a key and return its revision.

        Parameters
        ----------
        key
            Name of the key.
        value
            New value.
        expected_revision
            Revision that the key must have, ``ABSENT`` or ``ANY_REVISION``.
        lease_id
            Lease of the key; the key is deleted when the lease expires or is ended.
            0 for no lease.

        Raises
        ------
        CompareFailedError
            If the key does not have the expected revision.
        LeaseLostError
            If the lease has expired or was ended.

        """

    @abstractmethod
    def delete(self, key: str) -> None:
        """Delete a key; does nothing if it does not exist."""

    @abstractmethod
    def grant_lease(self, ttl_s: float) -> int:
        """Return the id of a new lease that lasts ``ttl_s`` seconds unless renewed."""

    @abstractmethod
    def keep_alive(self, lease_id: int) -> None:
        """Renew a lease.

        Raises
        ------
        LeaseLostError
            If the lease has expired or was ended.

        """

    @abstractmethod
    def end_lease(self, lease_id: int) -> None:
        """End a lease and delete its keys."""

    @abstractmethod
    def watch(self, prefix: str, after_revision: int, timeout_s: float) -> Changes:
        """Wait until a key that starts with ``prefix`` changes, or until the timeout.

        Parameters
        ----------
        prefix
            Prefix of the names of the watched keys.
        after_revision
            Revision after which changes are returned.
        timeout_s
            Longest wait in seconds.

        Raises
        ------
        HistoryLostError
            If the store no longer has all changes after ``after_revision``; the
            keys have to be listed again.

        """
