"""Settings of request handling."""

from typing import Final, NamedTuple

from persimmonreach.core import ServiceId, Zone

# Longest time that a copy of a packet may spend in the network.
PACKET_COPY_LIFETIME_S: Final = 10
_MAX_ANSWER_BYTES: Final = 8388608


class RequestSettings(NamedTuple):
    """Settings of request handling.

    Attributes
    ----------
    service
        Service of the agent.
    zone
        Availability zone of the agent.
    largest_deadline_ms
        Longer deadlines are reduced to this, in milliseconds.
    retry_budget
        Share of the requests of the last 10 s that may be retried.
    queue_size
        Requests that may wait for a slot.
    max_records
        Requests on record with their answers.
    max_tombstones
        Requests on record without their answers.
    max_answer_bytes
        Size of all answers on record, in bytes; a quarter of the 32 MB that an
        agent may use.
    repeat_s
        Seconds without an outcome after which another agent is asked again.
    cancel_grace_s
        Seconds for which a cancelled attempt keeps its slot unless the
        backend server ends it earlier.
    saturated_s
        Seconds for which another agent counts as saturated.
    deduplicate, strict_retries
        False turns the mechanism off; for comparison only.

    """

    service: ServiceId
    zone: Zone
    largest_deadline_ms: int = 5000
    retry_budget: float = 0.1
    queue_size: int = 64
    max_records: int = 4096
    max_tombstones: int = 65536
    max_answer_bytes: int = _MAX_ANSWER_BYTES
    repeat_s: float = 0.3
    cancel_grace_s: float = 1
    saturated_s: float = 1
    deduplicate: bool = True
    strict_retries: bool = True
