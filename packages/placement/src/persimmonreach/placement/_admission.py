"""Admission control of an agent for the new flows of its backend server."""

from collections import deque
from math import inf
from types import MappingProxyType
from typing import Final, NamedTuple

from persimmonreach.core import ServiceName, Zone
from persimmonreach.discovery import AgentState
from persimmonreach.placement.messages import RefusalReason
from persimmonreach.queueing import MAX_OCCUPYING_PER_SLOT
from persimmonreach.rules import ServiceLimits

# Sliding window in which the new flows of a cold backend server are counted.
_COLD_WINDOW_S: Final = 1
_REASON_BY_STATE: Final = MappingProxyType(
    {
        AgentState.DRAINING: RefusalReason.DRAINING,
        AgentState.LEFT: RefusalReason.DRAINING,
        AgentState.DOWN: RefusalReason.DOWN,
        AgentState.STOPPING: RefusalReason.STOPPING,
    },
)


class Occupancy(NamedTuple):
    """Current flow counts of a backend server.

    Attributes
    ----------
    flows
        Number of flows that the agent holds.
    requests
        Number of flows with a request that waits for its response.
    occupying
        Number of flows that occupy a slot: those that are being opened or
        wait for a response. Flows that exceed the maximum age for this are not
        counted.

    """

    flows: int = 0
    requests: int = 0
    occupying: int = 0


class AdmissionController:
    """Admission control for the new flows of one backend server.

    The limits on new flows of a backend server are enforced only here, so that
    entry instances need no coordination.

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
        self._admits_from = -inf
        self._slots = 0
        self._is_zone_out = False
        self._limits = ServiceLimits(service)
        self._admission_times: deque[float] = deque()

    @property
    def slots(self) -> int:
        """Number of slots of the backend server, reported or declared; 0 if unknown."""
        return self._slots or self._limits.slots

    @property
    def state(self) -> AgentState:
        """Availability of the agent and its backend server for flows."""
        return self._state

    @property
    def limits(self) -> ServiceLimits:
        """Limits of the service as sent with the latest offer."""
        return self._limits

    @property
    def is_zone_out(self) -> bool:
        """Whether the availability zone of the backend server is out of service."""
        return self._is_zone_out

    @property
    def unavailability(self) -> RefusalReason | None:
        """Why the backend server takes no new flows at all; None if it takes some."""
        if self._is_zone_out:
            return RefusalReason.ZONE_OUT
        return _REASON_BY_STATE.get(self._state)

    def set_state(self, state: AgentState, cold_until: float) -> None:
        """Set the availability for flows, as reported or as detected by the agent.

        Parameters
        ----------
        state
            Availability of the agent and its backend server.
        cold_until
            Time until which the backend server is cold.

        """
        self._state = state
        self._cold_until = cold_until

    def set_admission_start(self, admits_from: float) -> None:
        """Set the time from which the backend server gets new flows."""
        self._admits_from = admits_from

    def set_slots(self, slots: int) -> None:
        """Set the number of requests that the backend server processes at once.

        Parameters
        ----------
        slots
            Number of slots; 0 if it is not known.

        """
        self._slots = slots

    def set_zones_out(self, zones_out: tuple[Zone, ...]) -> None:
        """Set the availability zones that are out of service."""
        self._is_zone_out = self._zone in zones_out

    def is_cold(self, now: float) -> bool:
        """Return whether the limits for cold backend servers apply at ``now``."""
        return now < self._cold_until

    def decide(
        self,
        limits: ServiceLimits,
        occupancy: Occupancy,
        now: float,
        *,
        admit_if_busy: bool = False,
    ) -> RefusalReason | None:
        """Decide on a new flow, and count it if it is admitted.

        Parameters
        ----------
        limits
            Requested service and its limits.
        occupancy
            Current flow counts of the backend server.
        now
            Current time, in seconds.
        admit_if_busy
            Whether a busy backend server still accepts the flow. All other
            reasons to refuse it apply.

        Returns
        -------
        RefusalReason or None
            Why the flow is refused; None if it is admitted.

        """
        reason = self.check(limits, occupancy, now)
        if reason is None and not admit_if_busy and self._is_busy(occupancy):
            return RefusalReason.BUSY
        if reason is None:
            self.record_admission(now)
        return reason

    def check(
        self, limits: ServiceLimits, occupancy: Occupancy, now: float
    ) -> RefusalReason | None:
        """Return why an offered flow is refused even if the server is not busy.

        Parameters
        ----------
        limits
            Requested service and its limits.
        occupancy
            Current flow counts of the backend server.
        now
            Current time, in seconds.

        """
        if limits.service != self._service:
            return RefusalReason.OTHER_SERVICE
        self._limits = limits
        return self.check_again(occupancy, now)

    def check_again(self, occupancy: Occupancy, now: float) -> RefusalReason | None:
        """Return why a flow that was offered before is refused now."""
        return self.unavailability or self._check_limits(occupancy, now)

    def record_admission(self, now: float) -> None:
        """Count an admitted flow for the limits of a cold backend server."""
        self._admission_times.append(now)

    def cold_limit_changes_at(self, now: float) -> float:
        """Return the next time at which a limit for cold backend servers changes.

        The limit of concurrent requests also changes with each response. Infinite if no
        limit changes.
        """
        times = [self._admits_from, self._cold_until]
        if self.is_cold(now) and self._admission_times:
            times.append(self._admission_times[0] + _COLD_WINDOW_S)
        return min((time for time in times if time > now), default=inf)

    def occupying_per_slot(self, occupancy: Occupancy) -> float:
        """Return the occupying flows per slot; 0 if the slots are not known."""
        return occupancy.occupying / self.slots if self.slots else 0

    def _check_limits(self, occupancy: Occupancy, now: float) -> RefusalReason | None:
        while self._admission_times and self._admission_times[0] <= now - _COLD_WINDOW_S:
            self._admission_times.popleft()
        limits = self._limits
        if limits.connections and occupancy.flows >= limits.connections:
            return RefusalReason.FULL
        if now < self._admits_from:
            return RefusalReason.COLD
        if self.is_cold(now) and self._is_cold_limit_reached(occupancy):
            return RefusalReason.COLD
        return None

    def _is_busy(self, occupancy: Occupancy) -> bool:
        """Whether one request is in progress and one is queued for each slot.

        Another agent may have a free slot, and an offer to it takes less time than a
        request.
        """
        return self.occupying_per_slot(occupancy) >= MAX_OCCUPYING_PER_SLOT

    def _is_cold_limit_reached(self, occupancy: Occupancy) -> bool:
        limits = self._limits
        if limits.cold_flows_per_s and len(self._admission_times) >= max(
            1, int(limits.cold_flows_per_s)
        ):
            return True
        return bool(limits.cold_requests) and (
            occupancy.requests >= max(1, int(limits.cold_requests))
        )
