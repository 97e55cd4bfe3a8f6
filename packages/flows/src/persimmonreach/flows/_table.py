"""Table of the flows of one backend server."""

from typing import Final

from persimmonreach.core import (
    Action,
    BucketId,
    Count,
    Event,
    FlowKey,
    Reply,
    StateMachine,
    Tick,
    bucket_of,
)
from persimmonreach.flows._events import (
    AdoptFlows,
    BackendPacket,
    CallerPacket,
    EndAllFlows,
    EndFlow,
    EndReason,
    FlowClosed,
    LocalFlows,
    OpenFlow,
)
from persimmonreach.flows._record import FlowEnd, FlowRecord
from persimmonreach.flows._settings import ProbeSettings
from persimmonreach.packets import RST

# A reset toward a caller can be lost on its way.
_REPEATED_AFTER_S: Final = (0.5, 2)


class FlowTable(StateMachine, LocalFlows):
    """Flows of the local backend server, and the probing of silent ones.

    Parameters
    ----------
    settings
        Time limits of probing.

    """

    def __init__(self, settings: ProbeSettings) -> None:
        self._settings = settings
        self._records: dict[FlowKey, FlowRecord] = {}
        self._repeats: list[tuple[float, Reply]] = []
        self._by_bucket: dict[BucketId, set[FlowKey]] = {}
        self._handlers = {
            CallerPacket: self._on_caller_packet,
            BackendPacket: self._on_backend_packet,
            OpenFlow: self._on_open,
            AdoptFlows: self._on_adopt,
            EndFlow: self._on_end,
            EndAllFlows: self._on_end_all,
            Tick: self._on_tick,
        }

    def __len__(self) -> int:
        """Return the number of flows."""
        return len(self._records)

    def holds(self, key: FlowKey) -> bool:
        """Return whether the flow lives here."""
        return key in self._records

    def keys_in(self, bucket: BucketId) -> tuple[FlowKey, ...]:
        """Return the flows of ``bucket``."""
        return tuple(self._by_bucket.get(bucket, ()))

    def is_adopted(self, key: FlowKey) -> bool:
        """Return whether the flow was read from the backend server."""
        record = self._records.get(key)
        return record is not None and record.adopted

    def is_established(self, key: FlowKey) -> bool:
        """Return whether the caller sent a packet after the first one."""
        record = self._records.get(key)
        return record is not None and record.established

    def handle(self, event: Event, now: float) -> tuple[Action, ...]:
        """Return the actions that ``event`` causes."""
        return self._handlers[type(event)](event, now)

    def _on_open(self, event: OpenFlow, now: float) -> tuple[Action, ...]:
        self._add(FlowRecord(event.key, now, adopted=False))
        return ()

    def _on_adopt(self, event: AdoptFlows, now: float) -> tuple[Action, ...]:
        for key in event.keys:
            self._add(FlowRecord(key, now, adopted=True))
        return (Count('flows_adopted', len(event.keys)),)

    def _add(self, record: FlowRecord) -> None:
        if record.key not in self._records:
            self._records[record.key] = record
            bucket = bucket_of(record.key)
            self._by_bucket.setdefault(bucket, set()).add(record.key)

    def _on_caller_packet(
        self,
        event: CallerPacket,
        now: float,
    ) -> tuple[Action, ...]:
        record = self._records.get(event.header.key)
        if record is None:
            return ()
        record.observe_caller(event.header, now)
        return self._close_if_finished(record, event.header.flags)

    def _on_backend_packet(
        self,
        event: BackendPacket,
        now: float,
    ) -> tuple[Action, ...]:
        record = self._records.get(event.header.key)
        if record is None:
            return ()
        record.observe_backend(event.header, now)
        return self._close_if_finished(record, event.header.flags)

    def _close_if_finished(
        self,
        record: FlowRecord,
        flags: int,
    ) -> tuple[Action, ...]:
        if flags & RST:
            return self._remove(record, EndReason.RESET)
        if record.is_finished:
            return self._remove(record, EndReason.CLOSED)
        return ()

    def _on_end(self, event: EndFlow, now: float) -> tuple[Action, ...]:
        record = self._records.get(event.key)
        if record is None:
            return ()
        resets = record.resets()
        if event.reason is EndReason.ZONE_OUT:
            # No later packet of the caller comes here to be answered.
            repeats = ((now + wait, resets[0]) for wait in _REPEATED_AFTER_S)
            self._repeats.extend(repeats)
        return resets + self._remove(record, event.reason)

    def _on_end_all(self, event: EndAllFlows, now: float) -> tuple[Action, ...]:
        actions: list[Action] = []
        for key in tuple(self._records):
            actions.extend(self._on_end(EndFlow(key, event.reason), now))
        return tuple(actions)

    def _remove(self, record: FlowRecord, reason: EndReason) -> tuple[Action, ...]:
        self._records.pop(record.key)
        self._by_bucket[bucket_of(record.key)].discard(record.key)
        return (FlowClosed(record.key, reason), Count(f'flows_ended_{reason}'))

    def _on_tick(self, event: Tick, now: float) -> tuple[Action, ...]:
        due = tuple(reset for at, reset in self._repeats if at <= now)
        self._repeats = [row for row in self._repeats if row[0] > now]
        if not self._settings.enabled:
            return due
        actions = list(due)
        for record in tuple(self._records.values()):
            actions.extend(self._probe(record, now))
        return tuple(actions)

    def _probe(self, record: FlowRecord, now: float) -> tuple[Action, ...]:
        caller_due = self._is_due(record.caller, now)
        backend_due = self._is_due(record.backend, now)
        if not (caller_due or backend_due):
            return ()
        limit = self._settings.probes
        if max(record.caller.probes, record.backend.probes) >= limit:
            return self._on_end(EndFlow(record.key, EndReason.SILENT), now)
        actions: list[Action] = []
        if caller_due:
            record.caller.probes += 1
            actions.extend((record.probe_caller(), Count('probes_sent')))
        if backend_due:
            record.backend.probes += 1
            actions.extend((record.probe_backend(), Count('probes_sent')))
        return tuple(actions)

    def _is_due(self, end: FlowEnd, now: float) -> bool:
        wait = self._settings.idle_s + end.probes * self._settings.interval_s
        return now - end.heard_at >= wait
