"""Frames that the callers and backend servers of the stand-ins exchange."""

from enum import StrEnum
from types import MappingProxyType
from typing import Final, NamedTuple


class Outcome(StrEnum):
    """Whether a request that ended with an error has run."""

    NOT_RUN = 'not_run'
    UNKNOWN = 'unknown'


class RequestFrame(NamedTuple):
    """A request of a caller.

    Attributes
    ----------
    request_id
        16 bytes chosen by the caller, unique within the flow.
    attempt
        Number of the attempt, which the response repeats. Callers send 0.
    idempotent
        Whether the request may run more than once.
    deadline_ms
        Time left for the response, in milliseconds.
    body
        Content of the request.

    """

    request_id: bytes
    attempt: int
    idempotent: bool
    deadline_ms: int
    body: bytes


class CancelFrame(NamedTuple):
    """Cancels a request whose response is no longer needed."""

    request_id: bytes
    attempt: int


class ResponseFrame(NamedTuple):
    """One part of a response: ``part`` counts from 0 to ``parts`` - 1.

    The response is complete when all parts of one attempt have been received.
    """

    request_id: bytes
    attempt: int
    part: int
    parts: int
    body: bytes


class ErrorFrame(NamedTuple):
    """The request ended with an error.

    ``NOT_RUN`` from a backend server means that it shed the attempt, or that the
    attempt was cancelled while it waited, so that it did not run.
    """

    request_id: bytes
    attempt: int
    outcome: Outcome
    reason: str


FRAME_TYPES: Final = MappingProxyType(
    {1: RequestFrame, 2: CancelFrame, 3: ResponseFrame, 4: ErrorFrame},
)
