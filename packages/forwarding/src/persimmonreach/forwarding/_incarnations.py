"""Incarnations of the backend server beside an agent."""

from math import inf
from typing import Final, NamedTuple

from persimmonreach.core import Action, Count, LogStateChange
from persimmonreach.forwarding._events import BackendStatusReported, ReportRejected
from persimmonreach.forwarding._liveness import STATUS_TIMEOUT_S

# No agent passes new flows to a backend server that started more recently. A process of
# the agent that starts within this time of the backend server has therefore seen all of
# its flows. After a loss of power, backend servers start up to 0.3 s before their agents.
MIN_BACKEND_AGE_S: Final = 0.5
# After this time the agent has seen all flows of a backend server that was running
# before the agent.
_MAX_FLOW_LIFETIME_S: Final = 60
# A backend server discards a flow if the caller has not completed the handshake in this
# time: five retransmissions of the SYN-ACK after 1, 3, 7, 15 and 31 s, and 32 s more.
_MAX_HANDSHAKE_S: Final = 63
_MS_PER_S: Final = 1000
# A clock that is adjusted gradually drifts by less than this between two reports.
_MAX_CLOCK_DRIFT_S: Final = 0.05


class _BackendIncarnation(NamedTuple):
    backend: str
    started_at_ms: int


class ReportVerdict(NamedTuple):
    """How a status report is to be handled.

    Attributes
    ----------
    is_accepted
        Whether the report is from the incarnation that is running. Other reports were
        delayed until their sender had been replaced.
    is_newest
        Whether the report is accepted and newer than all others of its incarnation.
    flows_lost_before
        Flows that the backend server was last seen to open before this time ended with
        its former incarnation, in seconds; minus infinity if there are none.

    """

    is_accepted: bool
    is_newest: bool = False
    flows_lost_before: float = -inf


_REJECTED: Final = ReportVerdict(is_accepted=False)
_REPEATED: Final = ReportVerdict(is_accepted=True)


class BackendIncarnations:
    """Distinguishes incarnations of the backend server.

    An incarnation is identified by the id of the backend server and its start
    time, or the number that replaces an unknown start time. One runs at a time: of two,
    the one that started later. A report of the other has been delayed. Start times
    mislead after a step of the clock, so an incarnation that seems to have started
    earlier is accepted once the current one has ended or has stopped reporting.

    Parameters
    ----------
    agent_started_at_ms
        Start of the agent's process in milliseconds, by the same clock as the
        start time of the backend server; None if the clocks differ.

    """

    def __init__(self, agent_started_at_ms: int | None = None) -> None:
        self._agent_started_at_ms = agent_started_at_ms
        self._first_sign_at = inf
        self._not_running_at = -inf
        self._admits_from = inf if self._can_compare_clocks else -inf
        self._is_joint_start = False
        self._current: _BackendIncarnation | None = None
        self._has_current_ended = False
        self._last_report_at = -inf
        # Wall-clock time of the latest report minus the time of the agent.
        self._clock_offset_s = inf
        # Latest sequence number of each incarnation that has been current; infinite if
        # the incarnation has ended.
        self._last_sequences: dict[_BackendIncarnation, float] = {}
        self._flows_complete_from = inf
        self._cold_until = inf

    @property
    def backend(self) -> str:
        """Id of the backend server; empty before its first report."""
        return self._current.backend if self._current else ''

    @property
    def cold_until(self) -> float:
        """Time until which the backend server is cold; 0 before its first report."""
        return 0 if self._cold_until == inf else self._cold_until

    @property
    def admits_from(self) -> float:
        """Time from which the backend server is old enough for new flows."""
        return self._admits_from

    @property
    def _can_compare_clocks(self) -> bool:
        return self._agent_started_at_ms is not None

    def are_all_flows_known(self, now: float) -> bool:
        """Whether the agent has seen every open flow of the backend server.

        This also relies on the start time that the backend server reports, and on
        other processes of the agent. It may be wrong if a restart of the backend server
        was not noticed, so it does not suffice to deny a flow whose packet is at hand.
        """
        return self._is_joint_start or self.is_start_seen(now)

    def is_start_seen(self, now: float) -> bool:
        """Whether this process has passed all packets since the backend server started.

        It has if a connection was refused since this process started, if it has had
        reports of two incarnations, or if flows from before have ended.
        """
        return now >= self._flows_complete_from

    def record_sign(self, now: float) -> None:
        """Record a packet, report or accepted connection of the backend server."""
        if self._can_compare_clocks and self._first_sign_at == inf:
            self._first_sign_at = now
            self._admits_from = now + MIN_BACKEND_AGE_S

    def is_current(self, backend: str, started_at_ms: int) -> bool:
        """Whether the current incarnation has this id and start time.

        Start times that are not known, 0, do not differ from others.
        """
        if self._current is None or self._current.backend != backend:
            return False
        return started_at_ms in {0, self._current.started_at_ms} or not (
            self._current.started_at_ms
        )

    def record_flows_listed(self, now: float) -> None:
        """Record that the backend server listed its established flows.

        The list lacks flows whose handshake an earlier process of the agent has seen
        in part. All flows are known once these are open or have been discarded.
        """
        self._flows_complete_from = min(self._flows_complete_from, now + _MAX_HANDSHAKE_S)

    def record_flows_ended(self, now: float) -> None:
        """Record that the flows of the backend server were ended by the agent.

        An unknown flow that the backend server still holds is not to be continued.
        """
        self._flows_complete_from = now

    def record_down(self, now: float) -> None:
        """Record that the backend server is not running, so that it holds no flows."""
        self._has_current_ended = True
        self._flows_complete_from = now
        self._not_running_at = now
        self._first_sign_at = inf

    def reject(self, backend: str) -> tuple[Action, ...]:
        """Return the actions for a report whose sender does not run any more."""
        return (
            Count('reports_of_former_runs'),
            ReportRejected(backend),
            LogStateChange('report_rejected', backend, f'replaced by {self.backend}'),
        )

    def observe(self, report: BackendStatusReported, now: float) -> ReportVerdict:
        """Record a status report and return how it is to be handled."""
        incarnation = _BackendIncarnation(report.backend, report.started_at_ms)
        is_repeated = report.sequence <= self._last_sequences.get(incarnation, -inf)
        if incarnation == self._current:
            if is_repeated:
                return _REPEATED
            self._accept(incarnation, report, now)
            return ReportVerdict(is_accepted=True, is_newest=True)
        if is_repeated or not self._may_run_now(incarnation, now):
            return _REJECTED
        started_at = self._start_after_current(report, now)
        has_ended = self._has_current_ended or started_at is not None
        is_restart = self._current is not None and has_ended
        if self._current is not None and is_restart:
            self._last_sequences[self._current] = inf
        self._accept(incarnation, report, now)
        self._update_completeness(report, now, is_restart=is_restart)
        lost_before = -inf if started_at is None else started_at
        return ReportVerdict(
            is_accepted=True, is_newest=True, flows_lost_before=lost_before
        )

    def _accept(
        self, incarnation: _BackendIncarnation, report: BackendStatusReported, now: float
    ) -> None:
        if incarnation != self._current:
            self._first_sign_at = inf
        self._current = incarnation
        self._has_current_ended = False
        self._last_report_at = now
        if report.age_s is not None:
            self._clock_offset_s = _clock_offset_s(report, report.age_s, now)
        self._last_sequences[incarnation] = report.sequence
        self._update_admission(report, now)
        self._cold_until = now + report.cold_remaining_s

    def _may_run_now(self, incarnation: _BackendIncarnation, now: float) -> bool:
        """Whether an incarnation other than the current one may be the running one."""
        if self._current is None or self._has_current_ended:
            return True
        if not (incarnation.started_at_ms and self._current.started_at_ms):
            # The order is not known, so the latest report decides.
            return True
        if incarnation.started_at_ms >= self._current.started_at_ms:
            return True
        return now - self._last_report_at >= STATUS_TIMEOUT_S

    def _start_after_current(
        self, report: BackendStatusReported, now: float
    ) -> float | None:
        """Return when the sender started, if that ended the current incarnation.

        The result is None if this is not certain: if the current incarnation reported
        later, so that one of both reports was delayed, or if the clock has been set
        since. It is also None if the current incarnation is known to have ended, since
        its flows have been reset then.
        """
        if self._current is None or self._has_current_ended:
            return None
        current_started_at_ms = self._current.started_at_ms
        if not current_started_at_ms or report.started_at_ms <= current_started_at_ms:
            return None
        if report.age_s is None:
            return self._last_report_at
        clock_offset_s = _clock_offset_s(report, report.age_s, now)
        if abs(clock_offset_s - self._clock_offset_s) > _MAX_CLOCK_DRIFT_S:
            return None
        started_at = now - report.age_s
        return started_at if started_at >= self._last_report_at else None

    def _update_completeness(
        self, report: BackendStatusReported, now: float, *, is_restart: bool
    ) -> None:
        if is_restart:
            self._flows_complete_from = now
        else:
            self._flows_complete_from = min(
                self._flows_complete_from, now + _MAX_FLOW_LIFETIME_S
            )
        if self._agent_started_at_ms is None:
            return
        start_difference_ms = abs(report.started_at_ms - self._agent_started_at_ms)
        self._is_joint_start = start_difference_ms <= MIN_BACKEND_AGE_S * _MS_PER_S

    def _update_admission(self, report: BackendStatusReported, now: float) -> None:
        """Admit flows as soon as the reported age is sufficient."""
        self.record_sign(now)
        if report.age_s is None:
            return
        # A step of the clock makes the backend server look older than it can be.
        age_s = min(report.age_s, now - self._not_running_at)
        wait_s = max(0, MIN_BACKEND_AGE_S - age_s)
        self._admits_from = min(self._admits_from, now + wait_s)


def _clock_offset_s(report: BackendStatusReported, age_s: float, now: float) -> float:
    return report.started_at_ms / _MS_PER_S + age_s - now
