"""Load on a cold backend server with and without slow start."""

import heapq
from typing import Final, NamedTuple

from persimmonreach.admission import (
    BackendReported,
    BackendState,
    LimitSettings,
    SlowStartLimit,
)
from persimmonreach.admission._events import AttemptResult
from persimmonreach.proof.bench_base import Figure, Measurement, Report

_SLOTS: Final = (1, 3, 20)
_FLOOR: Final = 1
# A cold backend server answers ten times slower until it has served some.
_COLD_COMPLETIONS: Final = 30
_COLD_LATENCY_S: Final = 0.2
_WARM_LATENCY_S: Final = 0.02
_REPORT_S: Final = 0.25
_SECONDS: Final = 20


class _Outcome(NamedTuple):
    peak_while_cold: int
    completed: int


class ColdPeak(Measurement):
    """Most concurrent requests at a backend server while it is cold."""

    @property
    def name(self) -> str:
        """Name for ``--only``."""
        return 'cold-peak'

    def run(self) -> Report:
        """Offer more requests than there are slots."""
        figures: list[Figure] = []
        for slots in _SLOTS:
            for slow_start in (True, False):
                settings = LimitSettings(slots, _FLOOR, slow_start)
                outcome = _Simulation(SlowStartLimit(settings)).run()
                kind = 'with' if slow_start else 'without'
                title = f'{slots} slots, {kind} slow start'
                peak = f'peak requests while cold, {title}'
                total = f'requests completed in {_SECONDS} s, {title}'
                figures.append(Figure(peak, outcome.peak_while_cold, 'requests'))
                figures.append(Figure(total, outcome.completed, 'requests'))
        return Report(tuple(figures))


class _Simulation:
    """A backend server that is always offered more requests."""

    def __init__(self, limit: SlowStartLimit) -> None:
        self._limit = limit
        self._running: list[tuple[float, float]] = []
        self._now = float(0)
        self._peak = 0
        self._completed = 0

    @property
    def _is_cold(self) -> bool:
        return self._completed < _COLD_COMPLETIONS

    def run(self) -> _Outcome:
        """Return the peak while cold and the completions."""
        reported_at = float(0)
        while self._now < _SECONDS:
            if self._now >= reported_at:
                state = BackendState.COLD if self._is_cold else BackendState.WARM
                self._limit.observe(BackendReported(state, 0), self._now)
                reported_at += _REPORT_S
            self._start()
            self._advance(reported_at)
        return _Outcome(self._peak, self._completed)

    def _start(self) -> None:
        while self._limit.try_acquire(self._now):
            latency = _COLD_LATENCY_S if self._is_cold else _WARM_LATENCY_S
            heapq.heappush(self._running, (self._now + latency, latency))
        if self._is_cold:
            self._peak = max(self._peak, len(self._running))

    def _advance(self, reported_at: float) -> None:
        if self._running and self._running[0][0] <= reported_at:
            due, latency = heapq.heappop(self._running)
            self._now = due
            self._completed += 1
            self._limit.release(AttemptResult.COMPLETED, latency, self._now)
        else:
            self._now = reported_at
