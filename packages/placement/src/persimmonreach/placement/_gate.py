"""Admission of new flows by the agent of a backend server."""

from collections import deque
from math import inf
from types import MappingProxyType
from typing import Final

from persimmonreach.core import ServiceName, Zone
from persimmonreach.discovery import AgentState
from persimmonreach.placement.messages import FirstPacket, RefusalReason

# Window over which the new flows of a cold backend server are counted.
_WINDOW_S: Final = 1
_STATE_REASONS: Final = MappingProxyType(
    {
        AgentState.DRAINING: RefusalReason.DRAINING,
        AgentState.LEFT: RefusalReason.DRAINING,
        AgentState.DOWN: RefusalReason.DOWN,
    },
)


class AdmissionGate:
    """Decides whether the backend server takes a new flow.

    The gate is the only place that limits new flows of a backend server, so
    that entry instances need not agree on anything.

    Parameters
    ----------
    service
        Service of the backend server.
    zone
        Availability zone of the backend server.

    """

    def __init__(self, service: ServiceName, zone: Zone) -> None:
        self._service = service
        self._zone = zone
        self._state = AgentState.STARTING
        self._cold_until = inf
        self._is_zone_out = False
        self._admitted_at: deque[float] = deque()

    @property
    def state(self) -> AgentState:
        """State of the backend server."""
        return self._state

    def set_state(self, state: AgentState, cold_until: float) -> None:
        """Take over a report of the backend server.

        Parameters
        ----------
        state
            State of the backend server.
        cold_until
            Time until which it is cold.

        """
        self._state = state
        self._cold_until = cold_until

    def set_zones(self, zones_out: tuple[Zone, ...]) -> None:
        """Take over which availability zones are out of service."""
        self._is_zone_out = self._zone in zones_out

    def is_cold(self, now: float) -> bool:
        """Whether the backend server bears only a few new flows."""
        return now < self._cold_until

    def judge(self, offer: FirstPacket, now: float) -> RefusalReason | None:
        """Return why the flow is refused; None admits and counts it."""
        if offer.service != self._service:
            return RefusalReason.OTHER_SERVICE
        if self._is_zone_out:
            return RefusalReason.ZONE_OUT
        reason = _STATE_REASONS.get(self._state)
        if reason is None and self._is_over_rate(offer.cold_per_s, now):
            reason = RefusalReason.COLD
        if reason is None:
            self._admitted_at.append(now)
        return reason

    def _is_over_rate(self, cold_per_s: float, now: float) -> bool:
        while self._admitted_at and self._admitted_at[0] <= now - _WINDOW_S:
            self._admitted_at.popleft()
        if not cold_per_s or not self.is_cold(now):
            return False
        return len(self._admitted_at) >= max(1, int(cold_per_s))
