"""Incarnations of the backend server beside an agent."""

from math import inf
from typing import Final, NamedTuple

from persimmonreach.forwarding._events import BackendStatusReported

# A backend server whose first report to reach the agent has at most this sequence
# number started while the agent was listening, so the agent has seen all of its flows.
_MAX_SEQUENCE_OF_NEW_BACKEND: Final = 2
# If both started within this time of each other, no earlier process of the agent
# has passed flows to the backend server: it would have had to start, serve, stop
# and restart within this time, and a start alone takes half of it.
_JOINT_START_WINDOW_MS: Final = 500
# After this time the agent has seen all flows of a backend server that was running
# before the agent.
_MAX_FLOW_LIFETIME_S: Final = 60
# A backend server discards a flow if the caller has not completed the handshake in this
# time: five retransmissions of the SYN-ACK after 1, 3, 7, 15 and 31 s, and 32 s more.
_MAX_HANDSHAKE_S: Final = 63


class _BackendIncarnation(NamedTuple):
    backend: str
    started_at_ms: int


class BackendIncarnations:
    """Distinguishes incarnations of the backend server.

    An incarnation is identified by the id of the backend server and its start
    time, or the number that replaces an unknown start time. The order of
    incarnations is not derived from their start times, since the clock of the
    backend server can step.

    Parameters
    ----------
    agent_started_at_ms
        Start of the agent's process in milliseconds, by the same clock as the
        start time of the backend server; None if the clocks differ.

    """

    def __init__(self, agent_started_at_ms: int | None = None) -> None:
        self._agent_started_at_ms = agent_started_at_ms
        self._current_incarnation: _BackendIncarnation | None = None
        self._previous_incarnations: set[_BackendIncarnation] = set()
        self._report_sequence = 0
        self._flows_complete_from = inf
        self._cold_until = inf

    @property
    def backend(self) -> str:
        """Id of the backend server; empty before its first report."""
        return self._current_incarnation.backend if self._current_incarnation else ''

    @property
    def cold_until(self) -> float:
        """Time until which the backend server is cold; 0 before its first report."""
        return 0 if self._cold_until == inf else self._cold_until

    def are_all_flows_known(self, now: float) -> bool:
        """Whether the agent has seen every open flow of the backend server."""
        return now >= self._flows_complete_from

    def is_current(self, backend: str) -> bool:
        """Whether the current incarnation belongs to this backend server."""
        return (
            self._current_incarnation is not None
            and self._current_incarnation.backend == backend
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
        self._flows_complete_from = now

    def observe(self, report: BackendStatusReported, now: float) -> tuple[bool, bool]:
        """Record a status report.

        Returns
        -------
        tuple of bool
            Whether the report is the first of an incarnation that replaced
            another one, and whether it is the newest report of the current
            incarnation.

        """
        incarnation = _BackendIncarnation(report.backend, report.started_at_ms)
        if incarnation in self._previous_incarnations:
            return False, False
        if incarnation == self._current_incarnation:
            if report.sequence <= self._report_sequence:
                return False, False
            self._report_sequence = report.sequence
            self._cold_until = now + report.cold_remaining_s
            return False, True
        is_restart = self._current_incarnation is not None
        if self._current_incarnation is not None:
            self._previous_incarnations.add(self._current_incarnation)
        self._current_incarnation = incarnation
        self._report_sequence = report.sequence
        self._cold_until = now + report.cold_remaining_s
        is_new_backend = (
            report.counts_from_start and report.sequence <= _MAX_SEQUENCE_OF_NEW_BACKEND
        )
        if (
            is_restart
            or is_new_backend
            or self._was_started_with_agent(report.started_at_ms)
        ):
            self._flows_complete_from = now
        else:
            self._flows_complete_from = min(
                self._flows_complete_from, now + _MAX_FLOW_LIFETIME_S
            )
        return is_restart, True

    def _was_started_with_agent(self, started_at_ms: int) -> bool:
        """Whether the backend server and the agent were started together.

        The number of reports does not show this, because it includes reports
        that were sent before the agent was listening.
        """
        if self._agent_started_at_ms is None:
            return False
        return abs(started_at_ms - self._agent_started_at_ms) <= _JOINT_START_WINDOW_MS
