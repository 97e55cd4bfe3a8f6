"""Events and actions of one flow of a caller."""

from typing import NamedTuple

from persimmonreach.core import FlowKey
from persimmonreach.standins._caller_journal import RequestOutcome


class FlowPlan(NamedTuple):
    """How a caller uses one flow.

    Attributes
    ----------
    key
        Flow key, unique because no port of a caller is used twice.
    is_single_request
        Whether the flow ends after one request.
    period_s
        Mean time between requests, in seconds.
    deadline_s
        Time limit of a request, and of opening the flow, in seconds.
    idempotent_share
        Share of requests that are idempotent.
    response_bytes
        Size of a response, in bytes.

    """

    key: FlowKey
    is_single_request: bool
    period_s: float
    deadline_s: float = 3
    idempotent_share: float = 0.5
    response_bytes: int = 64


class PacketReceived(NamedTuple):
    """Event: a packet for the caller was received."""

    packet: bytes


class CloseFlow(NamedTuple):
    """Event: close the flow as soon as it has no open request."""


class SendPacket(NamedTuple):
    """Action: send a packet to the fabric."""

    packet: bytes


class FlowOpened(NamedTuple):
    """Action: report that the flow is established."""


class FlowEnded(NamedTuple):
    """Action: report that the flow has ended.

    Attributes
    ----------
    reason
        ``closed``, ``reset``, ``finished_by_server``, ``refused`` or
        ``unopened``.

    """

    reason: str


class RequestSent(NamedTuple):
    """Action: report the first transmission of a request id.

    A request and its retries have different request ids and one ``operation_id``.
    """

    request_id: bytes
    operation_id: bytes
    idempotent: bool


class RequestEnded(NamedTuple):
    """Action: report the outcome of a request."""

    request_id: bytes
    outcome: RequestOutcome


class PushReceived(NamedTuple):
    """Action: report a message that does not respond to a request."""
