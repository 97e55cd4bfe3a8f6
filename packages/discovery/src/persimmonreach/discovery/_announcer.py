"""Periodic statuses of an agent to the entry instances."""

from collections.abc import Sequence
from math import inf
from random import Random
from typing import Final, NamedTuple

from persimmonreach.core import (
    Action,
    Count,
    Endpoint,
    EntryId,
    Event,
    Incarnation,
    Received,
    Send,
    StateMachine,
    Tick,
)
from persimmonreach.discovery._events import (
    EntriesDiscovered,
    LoadChanged,
    ZonesReported,
)
from persimmonreach.discovery.messages import AgentStatus, EntryStatus

# Shortest period of the statuses to one entry instance.
STATUS_INTERVAL_S: Final = 0.5
# Maximum rate of the statuses of one agent: 20 statuses of about 100 bytes a second
# use half of the budget for control traffic. The period therefore grows with the
# number of entry instances.
MAX_STATUSES_PER_S: Final = 20
# Bounds of the random factor of the period, which spreads the statuses of agents that
# started together.
_JITTER_FACTORS: Final = (0.9, 1.1)
_MS_PER_S: Final = 1000
# A change of state is sent again at this interval until it is acknowledged.
RETRY_INTERVAL_S: Final = 0.1
# An entry instance is removed if it has not responded for this time or for this number
# of periods, whichever is longer. It probes the agents when it is reachable again.
ENTRY_TIMEOUT_S: Final = 10
ENTRY_TIMEOUT_PERIODS: Final = 3
# Interval of the statuses to the seeds while no entry instance is known.
SEED_INTERVAL_S: Final = 0.5


class KnownEntry(NamedTuple):
    """Address of a known entry instance and incarnation of its process.

    Attributes
    ----------
    entry
        Id of the entry instance.
    endpoint
        Address of the entry instance.
    incarnation
        Incarnation of the process; 0 if it has not been reported.

    """

    entry: EntryId
    endpoint: Endpoint
    incarnation: Incarnation


class _EntryRecord:
    __slots__ = (
        'acknowledged_sequence',
        'endpoint',
        'incarnation',
        'last_response_at',
        'send_at',
    )

    def __init__(self, endpoint: Endpoint, now: float) -> None:
        self.endpoint = endpoint
        self.incarnation = Incarnation(0)
        self.last_response_at = now
        self.send_at = now
        self.acknowledged_sequence = 0


class StatusAnnouncer(StateMachine):
    """Sends the state and the load of an agent to entry instances.

    Events: ``EntriesDiscovered``, ``LoadChanged``, ``Received`` with an
    ``EntryStatus``, ``Tick``. Actions: ``Send``, ``ZonesReported``, ``Count``.

    Parameters
    ----------
    status
        First status, which identifies the agent.
    random
        Source of the jitter of the period.
    seeds
        Addresses that receive statuses while no entry instance is known.

    """

    def __init__(
        self,
        status: AgentStatus,
        random: Random,
        seeds: Sequence[Endpoint] = (),
    ) -> None:
        self._status = status
        self._random = random
        self._seeds = tuple(seeds)
        self._next_seed_status_at: float = 0
        self._entries: dict[EntryId, _EntryRecord] = {}
        self._state_change_sequence = 0

    @property
    def status(self) -> AgentStatus:
        """Latest status of the agent."""
        return self._status

    @property
    def entries(self) -> tuple[KnownEntry, ...]:
        """Entry instances to which statuses are sent."""
        return tuple(
            KnownEntry(entry, record.endpoint, record.incarnation)
            for entry, record in self._entries.items()
        )

    @property
    def is_state_acknowledged(self) -> bool:
        """Whether all known entry instances have acknowledged the current state."""
        return not any(
            self._is_state_unacknowledged(record) for record in self._entries.values()
        )

    @property
    def wake_at(self) -> float:
        """Time at which the next status is due; infinite if there is no receiver."""
        idle_at = self._next_seed_status_at if self._seeds else inf
        return min((record.send_at for record in self._entries.values()), default=idle_at)

    @property
    def _period_s(self) -> float:
        return max(STATUS_INTERVAL_S, len(self._entries) / MAX_STATUSES_PER_S)

    def handle(self, event: Event, now: float) -> tuple[Action, ...]:
        """Return the actions that ``event`` causes."""
        match event:
            case LoadChanged():
                return self._on_load(event, now)
            case Received(sender, EntryStatus() as status):
                return self._on_entry_status(sender, status, now)
            case EntriesDiscovered(entries):
                return tuple(
                    action
                    for registration in entries
                    for action in self._add_entry(
                        registration.entry, registration.endpoint, now
                    )
                )
            case Tick():
                return self._on_tick(now)
            case _:
                return (Count('discovery_unknown_events'),)

    def _on_load(self, event: LoadChanged, now: float) -> tuple[Action, ...]:
        is_change = event.state != self._status.state
        self._status = self._status._replace(**event._asdict())
        if not is_change:
            return ()
        self._advance_sequence()
        self._state_change_sequence = self._status.sequence
        return tuple(self._send_status(record, now) for record in self._entries.values())

    def _on_entry_status(
        self,
        sender: Endpoint,
        status: EntryStatus,
        now: float,
    ) -> tuple[Action, ...]:
        report = ZonesReported(status.version, status.zones_out)
        if status.version > self._status.version:
            self._status = self._status._replace(version=status.version)
        if status.leaving:
            self._entries.pop(status.entry, None)
            return (report,)
        sends = self._add_entry(status.entry, sender, now)
        record = self._entries[status.entry]
        record.last_response_at = now
        record.incarnation = status.incarnation
        was_unacknowledged = self._is_state_unacknowledged(record)
        record.acknowledged_sequence = max(
            record.acknowledged_sequence, status.acknowledged_sequence
        )
        if was_unacknowledged and not self._is_state_unacknowledged(record):
            record.send_at = now + self._next_period_s()
        return (*sends, report)

    def _add_entry(
        self,
        entry: EntryId,
        endpoint: Endpoint,
        now: float,
    ) -> tuple[Action, ...]:
        known_record = self._entries.get(entry)
        if known_record is not None and known_record.endpoint == endpoint:
            return ()
        # Removes the entry instance or seed that had this address before.
        self._entries = {
            known_entry: record
            for known_entry, record in self._entries.items()
            if record.endpoint != endpoint
        }
        new_record = _EntryRecord(endpoint, now)
        self._entries[entry] = new_record
        self._advance_sequence()
        return (self._send_status(new_record, now),)

    def _on_tick(self, now: float) -> tuple[Action, ...]:
        timeout_s = max(ENTRY_TIMEOUT_S, ENTRY_TIMEOUT_PERIODS * self._period_s)
        self._entries = {
            entry: record
            for entry, record in self._entries.items()
            if now - record.last_response_at <= timeout_s
        }
        if not self._entries and now >= self._next_seed_status_at:
            self._next_seed_status_at = now + SEED_INTERVAL_S
            return tuple(Send(seed, self._status) for seed in self._seeds)
        due_records = [
            record for record in self._entries.values() if record.send_at <= now
        ]
        if due_records:
            self._advance_sequence()
        return tuple(self._send_status(record, now) for record in due_records)

    def _advance_sequence(self) -> None:
        self._status = self._status._replace(
            sequence=self._status.sequence + 1,
            period_ms=int(self._period_s * _MS_PER_S),
        )

    def _next_period_s(self) -> float:
        return self._period_s * self._random.uniform(*_JITTER_FACTORS)

    def _is_state_unacknowledged(self, record: _EntryRecord) -> bool:
        return record.acknowledged_sequence < self._state_change_sequence

    def _send_status(self, record: _EntryRecord, now: float) -> Send:
        if self._is_state_unacknowledged(record):
            record.send_at = now + RETRY_INTERVAL_S
        else:
            record.send_at = now + self._next_period_s()
        return Send(record.endpoint, self._status)
