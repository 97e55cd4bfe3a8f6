"""Events and actions of local flows."""

from abc import ABC, abstractmethod
from enum import StrEnum
from typing import NamedTuple

from persimmonreach.core import BucketId, FlowKey
from persimmonreach.packets import PacketHeader


class LocalFlows(ABC):
    """Flows that live on the local backend server."""

    @abstractmethod
    def holds(self, key: FlowKey) -> bool:
        """Return whether the flow lives here."""

    @abstractmethod
    def keys_in(self, bucket: BucketId) -> tuple[FlowKey, ...]:
        """Return the local flows of ``bucket``."""


class EndReason(StrEnum):
    """Why a flow ended."""

    CLOSED = 'closed'
    RESET = 'reset'
    SILENT = 'silent'
    ZONE_OUT = 'zone_out'
    BACKEND_DOWN = 'backend_down'
    CONFLICT = 'conflict'
    DRAIN_DEADLINE = 'drain_deadline'


class OpenFlow(NamedTuple):
    """A new flow was placed on the local backend server."""

    key: FlowKey


class AdoptFlows(NamedTuple):
    """The backend server listed these open connections after a restart."""

    keys: tuple[FlowKey, ...]


class CallerPacket(NamedTuple):
    """A packet of a local flow came from the caller."""

    header: PacketHeader


class BackendPacket(NamedTuple):
    """A packet of a local flow came from the backend server."""

    header: PacketHeader


class EndFlow(NamedTuple):
    """End one flow with a reset toward both ends."""

    key: FlowKey
    reason: EndReason


class EndAllFlows(NamedTuple):
    """End all flows with a reset toward both ends."""

    reason: EndReason


class FlowClosed(NamedTuple):
    """Action: the flow is no longer on record."""

    key: FlowKey
    reason: EndReason
