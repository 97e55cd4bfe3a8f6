"""Base class of the state machines, and the events and actions that slices share."""

from abc import ABC, abstractmethod
from collections.abc import Mapping
from math import inf
from typing import Any, NamedTuple, TypeAlias

from persimmonreach.core._identity import Endpoint, FlowKey

# Events and actions are NamedTuples; each slice defines its own types.
Event: TypeAlias = Any
Action: TypeAlias = Any


class Send(NamedTuple):
    """Send a wire message to another process of the load balancer.

    Attributes
    ----------
    to
        Address of the receiving process.
    message
        Message to encode and send.

    """

    to: Endpoint
    message: Any


class Deliver(NamedTuple):
    """Deliver a packet to the local backend server."""

    packet: bytes


class SendToCaller(NamedTuple):
    """Send a packet to a caller."""

    packet: bytes


class Count(NamedTuple):
    """Increment the counter ``name`` by ``amount``."""

    name: str
    amount: int = 1


class LogStateChange(NamedTuple):
    """Log a change of state as one line.

    Attributes
    ----------
    event
        Constant event name, in snake case.
    subject
        Identifier of what changed, for example an agent id or a key of the store;
        empty if the event name is sufficient.
    detail
        New state or reason.

    """

    event: str
    subject: str
    detail: str = ''


class LogDecision(NamedTuple):
    """Log a decision about a flow as one line.

    Attributes
    ----------
    event
        Constant event name, in snake case.
    flow
        Flow that the decision is about.
    outcome
        Result of the decision.
    inputs
        Values that led to the outcome, with their age or version.

    """

    event: str
    flow: FlowKey
    outcome: str
    inputs: Mapping[str, Any]


class Received(NamedTuple):
    """A wire message was received from another process of the load balancer.

    Attributes
    ----------
    sender
        Address of the sending process.
    message
        Decoded message.

    """

    sender: Endpoint
    message: Any


class Tick(NamedTuple):
    """Timer event, on which a state machine acts on elapsed time."""


class StateMachine(ABC):
    """Decision logic that maps an event and the current time to actions.

    Implementations perform no input or output, read no clock and start no
    thread, so that the same code runs in a daemon and in the fault matrix.
    """

    @property
    def wake_at(self) -> float:
        """Time at which the next ``Tick`` is due; infinite if none is needed."""
        return inf

    @abstractmethod
    def handle(self, event: Event, now: float) -> tuple[Action, ...]:
        """Process an event and return the resulting actions.

        Parameters
        ----------
        event
            Event of a type that the docstring of the implementation lists.
        now
            Monotonic time in seconds.

        """
