"""Events and actions of request handling."""

from typing import NamedTuple

from persimmonreach.core import FlowKey
from persimmonreach.packets import (
    AnswerFrame,
    CancelFrame,
    RefusalFrame,
    RequestFrame,
)


class RequestArrived(NamedTuple):
    """A request of a caller arrived on a local flow.

    Attributes
    ----------
    key
        Flow of the request.
    frame
        The request.
    adopted
        Whether the agent read the flow from the backend server after a
        restart, so that earlier requests of the flow are not on record.

    """

    key: FlowKey
    frame: RequestFrame
    adopted: bool = False


class CancelArrived(NamedTuple):
    """A caller cancelled a request."""

    key: FlowKey
    frame: CancelFrame


class BackendAnswered(NamedTuple):
    """The local backend server sent one part of an answer."""

    key: FlowKey
    frame: AnswerFrame


class BackendRefused(NamedTuple):
    """The local backend server shed or failed an attempt."""

    key: FlowKey
    frame: RefusalFrame


class BackendLost(NamedTuple):
    """The local backend server is gone; nothing more will come from it."""


class FlowEnded(NamedTuple):
    """A local flow ended; its requests need no reply any more."""

    key: FlowKey


class DrainStarted(NamedTuple):
    """The agent takes no more attempts for other agents."""


class StopRequested(NamedTuple):
    """The agent's process is about to stop; its backend server goes on.

    New requests get no reply from now on, so that the successor of the agent
    answers their repetitions.
    """


class RunAttempt(NamedTuple):
    """Action: hand the attempt to the local backend server on flow ``key``.

    An attempt for another agent has that agent's flow key; the task sends it
    on the agent's own flow to the backend server.
    """

    key: FlowKey
    frame: RequestFrame


class CancelAttempt(NamedTuple):
    """Action: tell the local backend server that no answer is needed."""

    key: FlowKey
    frame: CancelFrame


class ReplyFrame(NamedTuple):
    """Action: send a frame to the caller of flow ``key``."""

    key: FlowKey
    frame: AnswerFrame | RefusalFrame
