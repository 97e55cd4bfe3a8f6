"""What a backend server has seen, for comparison with the callers' journal."""

from typing import TypedDict

from persimmonreach.core import FlowKey
from persimmonreach.standins._frame_types import RequestFrame


class RunRow(TypedDict):
    """Runs of one request id."""

    count: int
    attempts: list[int]
    flow: str
    idempotent: bool
    started_at: float


class BackendJournal(TypedDict):
    """Journal of one backend server; times are seconds since boot."""

    instance: str
    runs: dict[str, RunRow]
    flows: dict[str, float]
    established: dict[str, float]
    shed: int
    largest_cold: int
    largest_warm: int
    overloads: int
    last_packet_at: float
    last_new_flow_at: float


def new_journal(instance: str) -> BackendJournal:
    """Return an empty journal."""
    return BackendJournal(
        instance=instance,
        runs={},
        flows={},
        established={},
        shed=0,
        largest_cold=0,
        largest_warm=0,
        overloads=0,
        last_packet_at=0,
        last_new_flow_at=0,
    )


def note_run(
    journal: BackendJournal, key: FlowKey, frame: RequestFrame, now: float
) -> None:
    """Count one run of a request."""
    empty = RunRow(
        count=0,
        attempts=[],
        flow=key.hex(),
        idempotent=frame.idempotent,
        started_at=now,
    )
    row = journal['runs'].setdefault(frame.request_id.hex(), empty)
    row['count'] += 1
    row['attempts'].append(frame.attempt)


def note_flow(journal: BackendJournal, key: FlowKey, now: float) -> None:
    """Record a new flow."""
    journal['flows'][key.hex()] = now
    journal['last_new_flow_at'] = now


def note_established(journal: BackendJournal, key: FlowKey, now: float) -> None:
    """Record that the caller has acknowledged the opening of a flow."""
    journal['established'].setdefault(key.hex(), now)
