"""Journal of a backend server, for comparison with that of the callers."""

from typing import TypedDict

from persimmonreach.core import FlowKey
from persimmonreach.standins._frame_types import RequestFrame


class RunRow(TypedDict):
    """Runs of the request with one id."""

    count: int
    attempts: list[int]
    flow: str
    idempotent: bool
    started_at: float


class BackendJournal(TypedDict):
    """Journal of one backend server; times are in seconds since boot.

    ``runs`` is keyed by request id; ``flows`` and ``established`` hold the time of
    the first SYN and of the first acknowledgement by flow key. ``failed`` lists the
    flows that the backend server reset because of an injected fault.
    """

    instance: str
    runs: dict[str, RunRow]
    flows: dict[str, float]
    established: dict[str, float]
    failed: list[str]
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
        failed=[],
        shed=0,
        largest_cold=0,
        largest_warm=0,
        overloads=0,
        last_packet_at=0,
        last_new_flow_at=0,
    )


def record_run(
    journal: BackendJournal, key: FlowKey, frame: RequestFrame, now: float
) -> None:
    """Record one run of a request."""
    new_row = RunRow(
        count=0,
        attempts=[],
        flow=key.hex(),
        idempotent=frame.idempotent,
        started_at=now,
    )
    row = journal['runs'].setdefault(frame.request_id.hex(), new_row)
    row['count'] += 1
    row['attempts'].append(frame.attempt)


def record_flow(journal: BackendJournal, key: FlowKey, now: float) -> None:
    """Record a new flow."""
    journal['flows'][key.hex()] = now
    journal['last_new_flow_at'] = now


def record_established(journal: BackendJournal, key: FlowKey, now: float) -> None:
    """Record that the caller has acknowledged the SYN-ACK of a flow."""
    journal['established'].setdefault(key.hex(), now)
