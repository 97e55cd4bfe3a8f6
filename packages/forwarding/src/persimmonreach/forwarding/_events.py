"""Events and actions of the packet path."""

from typing import NamedTuple

from persimmonreach.core import FlowKey
from persimmonreach.discovery import AgentState


class CallerPacketArrived(NamedTuple):
    """Event: the fabric delivered a packet of a caller."""

    packet: bytes


class BackendPacketArrived(NamedTuple):
    """Event: the backend server sent a packet."""

    packet: bytes


class BackendStatusReported(NamedTuple):
    """Event: the backend server reported its status.

    Attributes
    ----------
    backend
        Id of the backend server.
    started_at_ms
        Wall-clock time of its start in milliseconds, by its own clock; if the
        front end does not know that time, a number that differs for each detected
        start.
        Together with ``backend`` it identifies one incarnation.
    sequence
        Number that increases with each report of an incarnation.
    state
        ``READY``, ``DRAINING`` or ``DOWN``.
    slots
        Number of requests that it processes concurrently.
    cold_remaining_s
        Seconds until it is warm.
    age_s
        Seconds since the start of the backend server, by the clock that gave
        ``started_at_ms``, when the report arrived; None if they are not known.

    """

    backend: str
    started_at_ms: int
    sequence: int
    state: AgentState
    slots: int
    cold_remaining_s: float
    age_s: float | None = None


class ReportRejected(NamedTuple):
    """Action: a status report was ignored, because its sender has been replaced."""

    backend: str


class BackendFlowsListed(NamedTuple):
    """Event: the backend server listed its established flows.

    Flows whose handshake was not complete at that time are missing in the list.
    """

    keys: tuple[FlowKey, ...]


class BackendLeft(NamedTuple):
    """Event: the backend server announced that it is shutting down.

    Attributes
    ----------
    backend
        Id of the backend server.
    started_at_ms
        Its start time as in ``BackendStatusReported``; 0 if it is not known.

    """

    backend: str
    started_at_ms: int = 0


class ProbeBackend(NamedTuple):
    """Action: probe whether the backend server accepts connections."""


class BackendProbed(NamedTuple):
    """Event: a probe of the backend server completed, or its polls failed repeatedly.

    Attributes
    ----------
    is_up
        Whether it accepts connections; False also after repeated failed polls. None
        if the probe has no result, because of a timeout or another network error.

    """

    is_up: bool | None


class StopRequested(NamedTuple):
    """Event: a graceful shutdown of the process was requested."""
