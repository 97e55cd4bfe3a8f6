"""Audit records of configuration changes."""

from typing import Final, NamedTuple

from persimmonreach.configuration._audit_record import (
    AUDIT_PREFIX,
    AuditRecord,
    AuditResult,
)
from persimmonreach.configuration._head import Head
from persimmonreach.configuration.codecs import decode_record, encode_record
from persimmonreach.store import ANY_REVISION, Store, StoreContentError, StoreError

# Covers one day at the design size (1,000 changes per day); the oldest records are
# deleted first.
MAX_AUDIT_RECORDS: Final = 1000
# Limits the whole audit trail to about 1 MB, so that one call can list it.
_MAX_SUMMARY_LINES: Final = 10


class AuditTrail(NamedTuple):
    """Audit records in the store.

    Attributes
    ----------
    records
        Valid records, newest first.
    problems
        Error message for each key whose value is not a valid record.

    """

    records: tuple[AuditRecord, ...]
    problems: tuple[str, ...] = ()


def summarize(difference: tuple[str, ...]) -> tuple[str, ...]:
    """Return the first lines of a difference and the number of omitted lines."""
    omitted = len(difference) - _MAX_SUMMARY_LINES
    if omitted <= 0:
        return difference
    return (*difference[:_MAX_SUMMARY_LINES], f'and {omitted} more')


def resolve_record(record: AuditRecord, head: Head) -> AuditRecord:
    """Return the record with its result, derived from the head if it is pending.

    A publisher that stops before it writes the result leaves its record pending.
    It stays pending if its version is newer than the head, or so old that the head
    no longer holds the publish id of that version.
    """
    if record.result is not AuditResult.PENDING:
        return record
    if record.publish in head.publishes:
        return record._replace(result=AuditResult.ACCEPTED)
    oldest_version = head.version - len(head.publishes) + 1
    if oldest_version <= record.to_version <= head.version:
        return record._replace(result=AuditResult.REJECTED)
    return record


def read_audit_trail(store: Store, head: Head) -> AuditTrail:
    """Return the records in the store; a malformed one does not hide the others.

    Raises
    ------
    StoreUnavailableError
        If the store does not respond.

    """
    records: list[AuditRecord] = []
    problems: list[str] = []
    for row in reversed(store.list_prefix(AUDIT_PREFIX).rows):
        try:
            records.append(resolve_record(decode_record(row.value), head))
        except StoreContentError as error:
            problems.append(f'{row.key}: {error}')
    return AuditTrail(tuple(records), tuple(problems))


def write_result(store: Store, record: AuditRecord, result: AuditResult) -> None:
    """Write the result of a change and delete the oldest records.

    Errors of the store are ignored, because the result can also be derived from
    the head.
    """
    value = encode_record(record._replace(result=result))
    try:
        _write_and_trim(store, record.key, value)
    except StoreError:
        return


def _write_and_trim(store: Store, key: str, value: bytes) -> None:
    store.put(key, value, ANY_REVISION)
    listing = store.list_prefix(AUDIT_PREFIX)
    for row in listing.rows[:-MAX_AUDIT_RECORDS]:
        store.delete(row.key)
