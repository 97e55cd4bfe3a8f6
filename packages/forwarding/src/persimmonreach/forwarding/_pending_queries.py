"""Packet queries whose response depends on the backend server."""

from math import inf
from typing import Final, NamedTuple

from persimmonreach.core import Deadlines, Endpoint, FlowKey

# A backend server bounces a packet of an unknown flow within 1 to 2 ms. A packet that
# is not bounced within this time counts as accepted, provided that activity shows that
# the backend server is running.
BOUNCE_TIMEOUT_S: Final = 0.012
# Activity of the backend server this long after delivery proves that the packet
# was accepted, since a bounce would have arrived before.
MAX_BOUNCE_LATENCY_S: Final = 0.003


class _PendingQuery(NamedTuple):
    sender: Endpoint
    delivered_at: float


class PendingQueries:
    """Flows whose packet was delivered to find out whether they are held.

    The backend server bounces the packet if it does not hold the flow. The
    sender of a query is the entry instance that waits for the response.
    """

    def __init__(self) -> None:
        self._queries: dict[FlowKey, _PendingQuery] = {}
        self._deadlines: Deadlines[FlowKey] = Deadlines()

    @property
    def next_at(self) -> float:
        """Earliest deadline of a pending query."""
        return self._deadlines.next_at

    def __contains__(self, key: FlowKey) -> bool:
        """Return whether a query for the flow is pending."""
        return key in self._queries

    def add(self, key: FlowKey, sender: Endpoint, now: float) -> None:
        """Record that a packet of ``key`` was delivered to the backend server."""
        self._queries[key] = _PendingQuery(sender, now)
        self._deadlines.schedule(key, now + BOUNCE_TIMEOUT_S)

    def accepted_from(self, key: FlowKey) -> float:
        """Return the time from which activity proves that the packet was accepted."""
        query = self._queries.get(key)
        return inf if query is None else query.delivered_at + MAX_BOUNCE_LATENCY_S

    def cancel(self, key: FlowKey) -> bool:
        """Remove a query and its deadline; return whether there was a query."""
        self._deadlines.cancel(key)
        return self._queries.pop(key, None) is not None

    def extend_deadline(self, key: FlowKey, now: float) -> None:
        """Extend the deadline, because the backend server may not be running."""
        self._deadlines.schedule(key, now + BOUNCE_TIMEOUT_S)

    def cancel_all(self) -> list[tuple[FlowKey, Endpoint]]:
        """Remove all queries; return their flows and senders."""
        cancelled = [(key, query.sender) for key, query in self._queries.items()]
        for key in self._queries:
            self._deadlines.cancel(key)
        self._queries.clear()
        return cancelled

    def pop(self, key: FlowKey) -> Endpoint | None:
        """Remove a query, but not its deadline; return its sender, or None."""
        query = self._queries.pop(key, None)
        return None if query is None else query.sender

    def pop_due(self, now: float) -> list[FlowKey]:
        """Remove the deadlines that have passed; return their flows."""
        return self._deadlines.pop_due(now)
