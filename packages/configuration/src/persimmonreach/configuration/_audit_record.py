"""Record of one configuration change."""

from enum import StrEnum
from typing import Final, NamedTuple

AUDIT_PREFIX: Final = 'audit/'
_VERSION_DIGITS: Final = 10


class AuditResult(StrEnum):
    """Result of a change."""

    PENDING = 'pending'
    ACCEPTED = 'accepted'
    REJECTED = 'rejected'


class AuditRecord(NamedTuple):
    """One change to the configuration, its author and its result.

    Attributes
    ----------
    publish
        Id of the change.
    operator
        Name of the operator who made the change.
    wall_ms
        Wall-clock time of the change at the operator, in milliseconds since the
        Unix epoch.
    from_version
        Configuration version on which the change is based.
    to_version
        Configuration version that the change creates.
    summary
        First lines of the difference, and the number of omitted lines.
    result
        Result of the change.

    """

    publish: str
    operator: str
    wall_ms: int
    from_version: int
    to_version: int
    summary: tuple[str, ...]
    result: AuditResult = AuditResult.PENDING

    @property
    def key(self) -> str:
        """Key of the record in the store; keys sort by version."""
        version = str(self.to_version).zfill(_VERSION_DIGITS)
        return f'{AUDIT_PREFIX}{version}/{self.publish}'
