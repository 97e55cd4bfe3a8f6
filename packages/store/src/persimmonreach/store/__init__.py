"""Interface of the platform's key-value store, and backoff between retries."""

from persimmonreach.store._backoff import Backoff
from persimmonreach.store._store import (
    ABSENT,
    ANY_REVISION,
    Changes,
    CompareFailedError,
    HistoryLostError,
    KeyValue,
    LeaseLostError,
    Listing,
    Store,
    StoreContentError,
    StoreError,
    StoreUnavailableError,
    WriteOutcomeUnknownError,
)

__all__ = (
    'ABSENT',
    'ANY_REVISION',
    'Backoff',
    'Changes',
    'CompareFailedError',
    'HistoryLostError',
    'LeaseLostError',
    'Listing',
    'Store',
    'StoreContentError',
    'StoreError',
    'StoreUnavailableError',
    'KeyValue',
    'WriteOutcomeUnknownError',
)
