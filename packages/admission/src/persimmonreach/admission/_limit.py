"""Slow start of a backend server that has just started or has gone cold."""

from math import inf
from typing import Final, NamedTuple, final

from persimmonreach.admission._events import (
    AttemptResult,
    BackendReported,
    BackendState,
    ConcurrencyLimit,
)

# A backend server that answers this much slower than when warm has lost its
# caches without reporting it.
_COLD_LATENCY_RATIO: Final = 3
_BACKOFF: Final = 0.5
# Weight of one completion in the average latency: the average follows a
# lasting change within some tens of completions, and a few slow ones of a cold
# backend server hardly move it.
_LATENCY_WEIGHT: Final = 0.05
# Completions before the average counts as warm.
_MIN_COMPLETIONS: Final = 5
# A reported load that is not repeated within this time is ignored, so that a
# report that lags or stops does not hold the limit down.
_REPORT_LIFETIME_S: Final = 3
_UNLOADED: Final = BackendReported(BackendState.WARM, 0)


class LimitSettings(NamedTuple):
    """Settings of the slow-start limit.

    Attributes
    ----------
    slots
        Requests that the warm backend server runs at once.
    floor
        Slots that it bears when cold; a fraction leaves the slot idle for a
        part of the time.
    slow_start
        False keeps the limit at ``slots``; for comparison only.

    """

    slots: int
    floor: float = 1
    slow_start: bool = True


@final
class SlowStartLimit(ConcurrencyLimit):
    """Limit that rises with completions and falls back to the floor.

    Parameters
    ----------
    settings
        Slots and floor of the service.

    """

    def __init__(self, settings: LimitSettings) -> None:
        self._settings = settings
        self._earned = _start_of(settings)
        self._in_use = 0
        self._streak = 0
        self._latency: float = 0
        self._completions = 0
        self._idle_until: float = 0
        self._report = _UNLOADED
        self._reported_at: float = 0
        self._used_at_report = 0
        self._lowered_at = -inf

    @property
    def limit(self) -> float:
        """Slots that may be in use; below 1 a slot stays idle in between."""
        return min(self._earned, self._reported_room)

    @property
    def in_use(self) -> int:
        """Slots in use."""
        return self._in_use

    @property
    def is_warming(self) -> bool:
        """Whether the limit is below the slots of the backend server."""
        return self.limit < self._settings.slots

    @property
    def _floor(self) -> float:
        return min(self._settings.floor, self._settings.slots)

    @property
    def _reported_room(self) -> float:
        """Slots that the reported load leaves free for this agent's requests."""
        own_share = self._used_at_report / self._settings.slots
        foreign_share = max(0, self._report.load - own_share)
        room = self._settings.slots * (1 - foreign_share)
        return max(self._floor, room) if self._settings.slow_start else room

    def flow_limit(self, connections: int) -> int:
        """Return the flows to accept if the warm backend server bears ``connections``."""
        return max(1, int(connections * self.limit / self._settings.slots))

    def configure(self, settings: LimitSettings) -> None:
        """Use newly declared slots and floor; the limit never jumps up."""
        is_on = self._settings.slow_start
        self._settings = settings._replace(slow_start=is_on)
        self._earned = max(self._floor, min(self._earned, settings.slots))

    def try_acquire(self, now: float) -> bool:
        """Take a slot and return True, or return False if none is free."""
        self._drop_old_report(now)
        if now < self._idle_until or self._in_use >= max(1, int(self.limit)):
            return False
        self._in_use += 1
        return True

    def release(self, outcome: AttemptResult, latency: float, now: float) -> None:
        """Free a slot after ``latency`` seconds of running."""
        self._in_use -= 1
        if outcome is AttemptResult.COMPLETED:
            self._note_completion(latency, now)
        elif outcome is not AttemptResult.CANCELLED:
            self._lower(self._earned * _BACKOFF, now)
        if self.limit < 1:
            # Idle for the part of the time that brings the average to the limit.
            idle = latency * (1 / self.limit - 1)
            self._idle_until = max(self._idle_until, now + idle)

    def observe(self, report: BackendReported, now: float) -> None:
        """Take note of a report; it can lower the limit and never raises it."""
        load = min(1, max(0, report.load))
        self._report = BackendReported(report.state, load)
        self._reported_at = now
        self._used_at_report = self._in_use
        if report.state in {BackendState.COLD, BackendState.DOWN}:
            self._lower(self._floor, now)

    def _drop_old_report(self, now: float) -> None:
        if now - self._reported_at > _REPORT_LIFETIME_S:
            self._report = _UNLOADED

    def _note_completion(self, latency: float, now: float) -> None:
        is_slow = (
            self._completions >= _MIN_COMPLETIONS
            and latency > self._latency * _COLD_LATENCY_RATIO
        )
        self._average(latency)
        if is_slow:
            self._lower(self._floor, now)
            return
        if now - latency < self._lowered_at:
            # It began before the limit fell and says nothing of the state since.
            return
        self._streak += 1
        if self._streak >= self._earned:
            self._raise()

    def _average(self, latency: float) -> None:
        self._completions += 1
        weight = _LATENCY_WEIGHT
        if self._completions <= _MIN_COMPLETIONS:
            weight = 1 / self._completions
        else:
            latency = min(latency, self._latency * _COLD_LATENCY_RATIO)
        self._latency += weight * (latency - self._latency)

    def _raise(self) -> None:
        """Add one slot; below one slot, double, since one step would skip slow start."""
        self._streak = 0
        raised = self._earned + 1 if self._earned >= 1 else min(1, self._earned * 2)
        self._earned = min(self._settings.slots, raised)

    def _lower(self, limit: float, now: float) -> None:
        self._streak = 0
        self._lowered_at = now
        if self._settings.slow_start:
            self._earned = max(self._floor, limit)


def _start_of(settings: LimitSettings) -> float:
    if settings.slow_start:
        return min(settings.floor, settings.slots)
    return settings.slots
