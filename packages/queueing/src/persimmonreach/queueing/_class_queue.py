"""Waiting flows of one class, in order of their latency objectives."""

from bisect import bisect_left, insort
from math import inf

from persimmonreach.queueing._model import FIRST_ATTEMPTS_PER_RETRY, WaitingFlow


class OrderedFlows:
    """Waiting flows in order of their latency objectives."""

    def __init__(self) -> None:
        # Objective, number and flow; the number is unique, so flows are not compared.
        self._entries: list[tuple[float, int, WaitingFlow]] = []

    def __len__(self) -> int:
        """Return the number of flows."""
        return len(self._entries)

    def add(self, flow: WaitingFlow) -> None:
        """Add a flow."""
        insort(self._entries, (flow.objective_at, flow.number, flow))

    def remove(self, flow: WaitingFlow) -> None:
        """Remove a flow that was added."""
        self._entries.pop(bisect_left(self._entries, (flow.objective_at, flow.number)))

    def count_before(self, objective_at: float) -> int:
        """Return the number of flows whose objective is earlier."""
        return bisect_left(self._entries, (objective_at,))

    def count_ahead(self, flow: WaitingFlow, in_time_from: float) -> int:
        """Return the number of flows before another one, with objectives from a time."""
        position = bisect_left(self._entries, (flow.objective_at, flow.number))
        return max(0, position - self.count_before(in_time_from))

    def flows_before(self, objective_at: float) -> list[WaitingFlow]:
        """Return the flows whose objective is earlier, in order of their objectives."""
        return [entry[-1] for entry in self._entries[: self.count_before(objective_at)]]

    def first_from(self, objective_at: float) -> WaitingFlow | None:
        """Return the first flow with this objective or a later one."""
        index = self.count_before(objective_at)
        return self._entries[index][-1] if index < len(self._entries) else None

    def first_before(self, objective_at: float) -> WaitingFlow | None:
        """Return the first flow if its objective is earlier than this."""
        if self._entries and self._entries[0][0] < objective_at:
            return self._entries[0][-1]
        return None


class ClassQueue:
    """Waiting flows of one class: first attempts, and retries of rejected callers."""

    def __init__(self) -> None:
        self._first_attempts = OrderedFlows()
        self._retries = OrderedFlows()

    def __len__(self) -> int:
        """Return the number of waiting flows."""
        return len(self._first_attempts) + len(self._retries)

    def add(self, flow: WaitingFlow) -> None:
        """Add a flow."""
        self._flows_like(flow).add(flow)

    def remove(self, flow: WaitingFlow) -> None:
        """Remove a flow that was added."""
        self._flows_like(flow).remove(flow)

    def flows_before(self, objective_at: float) -> list[WaitingFlow]:
        """Return the flows with an earlier objective, first attempts before retries."""
        return [
            *self._first_attempts.flows_before(objective_at),
            *self._retries.flows_before(objective_at),
        ]

    def count_in_time(self, in_time_from: float) -> int:
        """Return the number of flows with an objective from this time on."""
        return len(self) - self._count_before(in_time_from)

    def count_ahead(self, flow: WaitingFlow, in_time_from: float) -> int:
        """Return how many flows that can meet their objective go before another one.

        Parameters
        ----------
        flow
            Flow that can meet its objective.
        in_time_from
            Earliest objective that can be met.

        """
        first_count = self._first_attempts.count_ahead(flow, in_time_from)
        retry_count = self._retries.count_ahead(flow, in_time_from)
        if not flow.is_retry:
            return first_count + min(retry_count, first_count // FIRST_ATTEMPTS_PER_RETRY)
        waiting_count = len(self._first_attempts)
        passing_count = min(waiting_count, FIRST_ATTEMPTS_PER_RETRY * (retry_count + 1))
        return retry_count + max(first_count, passing_count)

    def select_in_time(
        self, in_time_from: float, *, may_retry: bool
    ) -> WaitingFlow | None:
        """Return the first flow that can still meet its objective.

        Parameters
        ----------
        in_time_from
            Earliest objective that can be met.
        may_retry
            Whether retries are considered.

        """
        first_attempt = self._first_attempts.first_from(in_time_from)
        retry = self._retries.first_from(in_time_from) if may_retry else None
        return _earlier(first_attempt, retry)

    def next_objective_at(self, objective_at: float) -> float:
        """Return the earliest objective from this time on; infinite if there is none."""
        flow = self.select_in_time(objective_at, may_retry=True)
        return inf if flow is None else flow.objective_at

    def select_late(self, in_time_from: float, *, may_retry: bool) -> WaitingFlow | None:
        """Return the first flow that cannot meet its objective any more.

        Parameters
        ----------
        in_time_from
            Earliest objective that can be met.
        may_retry
            Whether retries are considered.

        """
        first_attempt = self._first_attempts.first_before(in_time_from)
        retry = self._retries.first_before(in_time_from) if may_retry else None
        return _earlier(first_attempt, retry)

    def _count_before(self, objective_at: float) -> int:
        first_count = self._first_attempts.count_before(objective_at)
        return first_count + self._retries.count_before(objective_at)

    def _flows_like(self, flow: WaitingFlow) -> OrderedFlows:
        return self._retries if flow.is_retry else self._first_attempts


def _earlier(
    flow: WaitingFlow | None, other_flow: WaitingFlow | None
) -> WaitingFlow | None:
    if flow is None or other_flow is None:
        return flow or other_flow
    return min(flow, other_flow, key=_objective_order)


def _objective_order(flow: WaitingFlow) -> tuple[float, int]:
    return flow.objective_at, flow.number
