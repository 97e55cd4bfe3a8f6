"""Events and actions of admission."""

from abc import ABC, abstractmethod
from enum import StrEnum
from typing import NamedTuple

from persimmonreach.core import AgentId, FlowKey


class BackendState(StrEnum):
    """State that a backend server reports of itself."""

    COLD = 'cold'
    WARM = 'warm'
    DRAINING = 'draining'
    DOWN = 'down'


class BackendReported(NamedTuple):
    """The backend server answered its health and load endpoints.

    Attributes
    ----------
    state
        Reported state; may lag.
    load
        Reported share of its capacity in use, from 0 to 1; may mislead.

    """

    state: BackendState
    load: float


class AttemptResult(StrEnum):
    """How an attempt at the local backend server ended."""

    COMPLETED = 'completed'
    SHED = 'shed'
    TIMED_OUT = 'timed_out'
    CANCELLED = 'cancelled'


class ConcurrencyLimit(ABC):
    """Limit on the requests that run at the local backend server."""

    @property
    @abstractmethod
    def limit(self) -> float:
        """Slots that may be in use at present."""

    @property
    @abstractmethod
    def in_use(self) -> int:
        """Slots in use."""

    @abstractmethod
    def try_acquire(self, now: float) -> bool:
        """Take a slot and return True, or return False if none is free."""

    @abstractmethod
    def release(
        self,
        outcome: AttemptResult,
        latency: float,
        now: float,
    ) -> None:
        """Free a slot after ``latency`` seconds of running."""

    @abstractmethod
    def observe(self, report: BackendReported, now: float) -> None:
        """Take note of a report of the backend server."""


class PlaceNew(NamedTuple):
    """Event: the owner of the bucket wants the new flow placed."""

    key: FlowKey
    packet: bytes


class LocalFlowCount(NamedTuple):
    """Event: number of flows on the local backend server and whether it drains."""

    flows: int
    flow_limit: int
    draining: bool


class PlacedFlowEnded(NamedTuple):
    """Event: a flow of the local backend server has ended.

    Its key may be placed anew; without this event a new flow with the same key
    would be accepted in the place of the old one for a while.
    """

    key: FlowKey


class AdmitLocal(NamedTuple):
    """Action: open the flow on the local backend server."""

    key: FlowKey
    packet: bytes


class FlowsAdopted(NamedTuple):
    """Event: a restarted agent read these open flows from its backend server."""

    keys: tuple[FlowKey, ...]


class PlacementSettled(NamedTuple):
    """Action: the flow lives at ``holder``, or nowhere if None."""

    key: FlowKey
    holder: AgentId | None
