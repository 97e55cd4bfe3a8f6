"""Publishing of changes to the store, and resolution of lost responses."""

from collections.abc import Callable
from random import Random
from typing import Final, NamedTuple, TypeAlias

from persimmonreach.configuration._audit import summarize, write_result
from persimmonreach.configuration._audit_record import AuditRecord, AuditResult
from persimmonreach.configuration._head import HEAD_KEY, SERVICES_PREFIX, Head
from persimmonreach.configuration._model import Declarations
from persimmonreach.configuration._plan import (
    Plan,
    StoredConfiguration,
    plan_declarations,
    plan_overrides,
    plan_zone_change,
)
from persimmonreach.configuration._reading import read_configuration, read_head
from persimmonreach.configuration.codecs import encode_head, encode_record
from persimmonreach.core import Clock, Zone
from persimmonreach.rules import ZoneState
from persimmonreach.store import (
    ABSENT,
    CompareFailedError,
    Store,
    StoreError,
    StoreUnavailableError,
    WriteOutcomeUnknownError,
)

_RETRY_INTERVAL_S: Final = 0.2
_PUBLISH_ID_BYTES: Final = 8


class Accepted(NamedTuple):
    """The head holds the change; all processes put it in force within seconds.

    Attributes
    ----------
    version
        Configuration version that the change created.

    """

    version: int


class Rejected(NamedTuple):
    """Another change was accepted first; nothing of this change is in force.

    Attributes
    ----------
    version
        Current version of the head; 0 if the store returned no newer head.

    """

    version: int


class OutcomeUnknown(NamedTuple):
    """The outcome of the write could not be determined before the timeout.

    The response to the write of the head was lost, and the store did not respond
    to repeated attempts.

    Attributes
    ----------
    publish
        Id of the change, as in the audit trail.
    from_version
        Version of the head if the change was not written.
    to_version
        Version of the head if the change was written.

    """

    publish: str
    from_version: int
    to_version: int

    @property
    def description(self) -> str:
        """Sentence that states what is known about the change."""
        return (
            f'version {self.to_version} (change {self.publish}) was sent to the store, '
            f'but the response was lost; either all of it is in force or none; if none, '
            f'version {self.from_version} remains in force'
        )


Outcome: TypeAlias = Accepted | Rejected | OutcomeUnknown


class PublisherSettings(NamedTuple):
    """Settings of a publisher.

    Attributes
    ----------
    operator
        Name of the operator in the audit trail.
    timeout_s
        Maximum time to resolve lost responses of one change, in seconds.

    """

    operator: str
    timeout_s: float = 30


class TimeSource(NamedTuple):
    """Clocks and sleep function of a publisher.

    Attributes
    ----------
    clock
        Monotonic clock.
    wall_ms
        Function that returns the wall-clock time in milliseconds since the Unix
        epoch.
    sleep
        Function that sleeps for a number of seconds.

    """

    clock: Clock
    wall_ms: Callable[[], int]
    sleep: Callable[[float], None]


class Publisher:
    """Plans changes based on the current head and writes them.

    Parameters
    ----------
    settings
        Operator and timeout.
    store
        Store that holds the configuration.
    time_source
        Clocks and sleep function.
    random
        Random number generator for publish ids.

    """

    def __init__(
        self,
        settings: PublisherSettings,
        store: Store,
        time_source: TimeSource,
        random: Random,
    ) -> None:
        self._settings = settings
        self._store = store
        self._time_source = time_source
        self._random = random

    def plan(self, declarations: Declarations) -> Plan:
        """Return the change that puts ``declarations`` in force.

        Raises
        ------
        StoreUnavailableError
            If the store does not respond; nothing has changed.
        StoreContentError
            If the configuration in the store is not complete and valid.

        """
        return plan_declarations(
            read_configuration(self._store), declarations, self._make_publish_id()
        )

    def plan_zone_change(self, zone: Zone, out: bool) -> Plan:
        """Return the change that takes ``zone`` out of service or back.

        Raises
        ------
        StoreUnavailableError
            If the store does not respond; nothing has changed.
        StoreContentError
            If the head in the store is not valid.
        FindingsError
            If the zone is not declared.

        """
        change = ZoneState(zone, out, change_id=self._make_publish_id())
        return plan_zone_change(self._read_head(), change, self._time_source.wall_ms())

    def persist_overrides(self, overrides: tuple[ZoneState, ...]) -> None:
        """Write overrides into the head.

        Overrides that are older than the state of their zone in the head, and
        those of undeclared zones, are ignored.

        Raises
        ------
        StoreUnavailableError
            If the store does not respond; nothing has changed.
        StoreContentError
            If the head in the store is not valid.

        """
        plan = plan_overrides(self._read_head(), overrides, self._make_publish_id())
        if plan.difference:
            self.publish(plan)

    def publish(self, plan: Plan) -> Outcome:
        """Write a planned change.

        A rejected change is not planned again based on the new head, so that the
        operator sees the new difference before it is written.

        Raises
        ------
        StoreUnavailableError
            If the store stopped responding before the head was written; nothing
            of the change is in force.

        """
        deadline = self._time_source.clock.now() + self._settings.timeout_s
        record = self._make_record(plan)
        for key, value in (*plan.writes, (record.key, encode_record(record))):
            self._create_key(key, value, deadline)
        outcome = self._write_head(plan, deadline)
        if isinstance(outcome, Accepted):
            write_result(self._store, record, AuditResult.ACCEPTED)
            delete_unreferenced_services(self._store, plan.head)
        elif isinstance(outcome, Rejected):
            write_result(self._store, record, AuditResult.REJECTED)
        return outcome

    def _read_head(self) -> StoredConfiguration:
        return read_head(self._store)

    def _make_publish_id(self) -> str:
        return self._random.randbytes(_PUBLISH_ID_BYTES).hex()

    def _make_record(self, plan: Plan) -> AuditRecord:
        return AuditRecord(
            plan.publish_id,
            self._settings.operator,
            self._time_source.wall_ms(),
            plan.base.head.version,
            plan.head.version,
            summarize(plan.difference),
        )

    def _create_key(self, key: str, value: bytes, deadline: float) -> None:
        while True:
            try:
                self._store.put(key, value, ABSENT)
            except CompareFailedError:
                # The key contains the id of this change, so an earlier attempt wrote
                # it and the response was lost.
                return
            except WriteOutcomeUnknownError as error:
                if self._time_source.clock.now() >= deadline:
                    raise StoreUnavailableError(str(error)) from error
                self._time_source.sleep(_RETRY_INTERVAL_S)
            else:
                return

    def _write_head(self, plan: Plan, deadline: float) -> Outcome:
        value = encode_head(plan.head)
        try:
            self._store.put(HEAD_KEY, value, plan.base.revision)
        except CompareFailedError:
            return self._read_outcome(plan, Rejected(0)) or Rejected(0)
        except WriteOutcomeUnknownError:
            return self._resolve_outcome(plan, value, deadline)
        return Accepted(plan.head.version)

    def _resolve_outcome(self, plan: Plan, value: bytes, deadline: float) -> Outcome:
        """Repeat the write of the head until its outcome is known.

        The expected revision ensures that the write takes effect at most once.
        """
        unknown = OutcomeUnknown(
            plan.publish_id, plan.base.head.version, plan.head.version
        )
        while self._time_source.clock.now() < deadline:
            self._time_source.sleep(_RETRY_INTERVAL_S)
            outcome = self._read_outcome(plan, None)
            if outcome is not None:
                return outcome
            try:
                self._store.put(HEAD_KEY, value, plan.base.revision)
            except StoreError:
                continue
            return Accepted(plan.head.version)
        return self._read_outcome(plan, unknown) or unknown

    def _read_outcome(self, plan: Plan, default: Outcome | None) -> Outcome | None:
        """Return the outcome if the head determines it, otherwise ``default``."""
        try:
            current = self._read_head()
        except StoreError:
            return default
        if plan.publish_id in current.head.publishes:
            return Accepted(plan.head.version)
        # Without a newer revision, the read may be stale or the write still pending.
        if current.revision > plan.base.revision:
            return Rejected(current.head.version)
        return default


def delete_unreferenced_services(store: Store, head: Head) -> None:
    """Delete service keys to which neither ``head`` nor a later head refers.

    A key whose version is at most that of ``head``, and to which ``head`` does not
    refer, belongs to a replaced service or to a rejected change. Errors of the
    store are ignored; the next accepted change deletes the remaining keys.
    """
    referenced_keys = {reference.key for reference in head.services}
    try:
        for row in store.list_prefix(SERVICES_PREFIX).rows:
            version = int(row.key.split('/')[2])
            if version <= head.version and row.key not in referenced_keys:
                store.delete(row.key)
    except StoreError:
        return
