"""Simulated capacity of a backend server: slots, cold start and overload."""

from collections import deque
from enum import StrEnum
from typing import Final, NamedTuple

COLD_SERVICE_TIME_FACTOR: Final = 4
# An overloaded backend server sends nothing for this time.
OVERLOAD_OUTAGE_S: Final = 2.0
_MS_PER_S: Final = 1000


class ServerState(StrEnum):
    """State that a backend server reports."""

    COLD = 'cold'
    WARM = 'warm'
    DRAINING = 'draining'


class Admission(StrEnum):
    """What happens to a new request.

    ``SILENT`` drops it without a response, and ``RESET`` resets its flow.
    """

    RUN = 'run'
    WAIT = 'wait'
    SHED = 'shed'
    SILENT = 'silent'
    RESET = 'reset'


class CapacitySettings(NamedTuple):
    """Capacity of a backend server.

    Attributes
    ----------
    slots
        Requests that run at once while warm; further requests wait.
    queue
        Requests that wait for a slot; further requests are shed.
    cold_slots
        Requests that run at once while cold; one more overloads the backend server.
    service_ms
        Service time of a request while warm, in milliseconds.
    warm_after_s
        Time from cold to warm, in seconds.
    load_lag_s
        Delay of the reported load, in seconds.
    load_bias
        Added to the reported load.
    slowness
        Factor of the service time.
    reset_share
        Share of the requests whose flow is reset, from 0 to 1.

    """

    slots: int = 3
    queue: int = 8
    cold_slots: int = 1
    service_ms: float = 20
    warm_after_s: float = 3
    load_lag_s: float = 0
    load_bias: float = 0
    slowness: float = 1
    reset_share: float = 0


class CapacityStatistics(NamedTuple):
    """Largest numbers of concurrent requests while cold and warm, and overloads."""

    largest_cold: int = 0
    largest_warm: int = 0
    overloads: int = 0


class CapacityModel:
    """Counts the requests that run, and decides whether one more may.

    Parameters
    ----------
    settings
        Capacity of the backend server.

    """

    def __init__(self, settings: CapacitySettings) -> None:
        self.settings = settings
        self.statistics = CapacityStatistics()
        self._running_count = 0
        self._waiting_count = 0
        self._is_draining = False
        self._warm_at = float('-inf')
        self._silent_until = float('-inf')
        self._due_resets: float = 0
        # Time and load of each change of the number of running requests.
        self._loads: deque[tuple[float, float]] = deque()

    def set_state(self, state: ServerState, now: float) -> None:
        """Change to cold, warm or draining."""
        self._is_draining = state == ServerState.DRAINING
        cold_s = self.settings.warm_after_s if state == ServerState.COLD else 0
        self._warm_at = now + cold_s

    def state(self, now: float) -> ServerState:
        """Return the state that the backend server reports."""
        if self._is_draining:
            return ServerState.DRAINING
        return ServerState.COLD if now < self._warm_at else ServerState.WARM

    def is_silent(self, now: float) -> bool:
        """Return whether the backend server is overloaded and sends nothing."""
        return now < self._silent_until

    def load(self, now: float) -> float:
        """Return the load that the backend server reports, from 0 to 1."""
        reported: float = 0
        while len(self._loads) > 1 and self._loads[1][0] <= self._reported_until(now):
            self._loads.popleft()
        if self._loads and self._loads[0][0] <= self._reported_until(now):
            reported = self._loads[0][1]
        return min(max(reported + self.settings.load_bias, 0), 1)

    def admit(self, now: float) -> Admission:
        """Decide whether a new request runs, waits, is shed or is dropped."""
        if self.is_silent(now):
            return Admission.SILENT
        if self._is_reset_due():
            return Admission.RESET
        is_cold = now < self._warm_at
        if is_cold and self._running_count >= self.settings.cold_slots:
            self._silent_until = now + OVERLOAD_OUTAGE_S
            self.statistics = self.statistics._replace(
                overloads=self.statistics.overloads + 1
            )
            return Admission.SILENT
        if self._running_count >= self.settings.slots:
            return self._enqueue()
        self._change_running(1, now)
        self._update_statistics(is_cold)
        return Admission.RUN

    def release(self, now: float) -> None:
        """Free the slot of a request that has ended."""
        self._change_running(-1, now)

    def take_waiting(self, now: float) -> bool:
        """Give a free slot to a waiting request; return whether one starts."""
        if not self._waiting_count or self._running_count >= self.settings.slots:
            return False
        self._waiting_count -= 1
        self._change_running(1, now)
        return True

    def service_time_s(self, now: float) -> float:
        """Return the service time of a request that starts now, in seconds."""
        factor = COLD_SERVICE_TIME_FACTOR if now < self._warm_at else 1
        return self.settings.service_ms * self.settings.slowness * factor / _MS_PER_S

    def remove_waiting(self) -> None:
        """Remove a cancelled request from those that wait for a slot."""
        self._waiting_count -= 1

    def _is_reset_due(self) -> bool:
        self._due_resets += self.settings.reset_share
        is_due = self._due_resets >= 1
        self._due_resets -= is_due
        return is_due

    def _enqueue(self) -> Admission:
        if self._waiting_count >= self.settings.queue:
            return Admission.SHED
        self._waiting_count += 1
        return Admission.WAIT

    def _reported_until(self, now: float) -> float:
        return now - self.settings.load_lag_s

    def _change_running(self, difference: int, now: float) -> None:
        self._running_count += difference
        self._loads.append((now, self._running_count / self.settings.slots))
        # Drops the loads that are older than the reported one.
        self.load(now)

    def _update_statistics(self, is_cold: bool) -> None:
        statistics = self.statistics
        if is_cold:
            largest = max(statistics.largest_cold, self._running_count)
            self.statistics = statistics._replace(largest_cold=largest)
        else:
            largest = max(statistics.largest_warm, self._running_count)
            self.statistics = statistics._replace(largest_warm=largest)
