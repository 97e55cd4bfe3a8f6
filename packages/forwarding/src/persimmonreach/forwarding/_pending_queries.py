"""Packet queries whose response depends on the backend server."""

from typing import Final, NamedTuple

from persimmonreach.core import Deadlines, Endpoint, FlowKey
from persimmonreach.lookup import SEARCH_TIMEOUT_S

# A backend server bounces a packet of an unknown flow within 1 to 2 ms. The entry
# instance is told that the flow is unconfirmed if nothing arrives for this time.
BOUNCE_TIMEOUT_S: Final = 0.012


class PendingQuery(NamedTuple):
    """Query that waits for a sign of the backend server.

    Attributes
    ----------
    sender
        Entry instance that waits for the response.
    is_unconfirmed_reported
        Whether the sender has been told that the flow is unconfirmed.

    """

    sender: Endpoint
    is_unconfirmed_reported: bool = False


class PendingQueries:
    """Flows whose packet was delivered to find out whether they are held.

    The backend server bounces the packet if it does not hold the flow, and responds to
    the caller if it does. Until then the flow is unconfirmed. The sender of a query is
    the entry instance that waits for the response.
    """

    def __init__(self) -> None:
        self._queries: dict[FlowKey, PendingQuery] = {}
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
        self._queries[key] = PendingQuery(sender)
        self._deadlines.schedule(key, now + BOUNCE_TIMEOUT_S)

    def pop(self, key: FlowKey) -> PendingQuery | None:
        """Remove a query and return it, or None if there is no query."""
        self._deadlines.cancel(key)
        return self._queries.pop(key, None)

    def pop_all(self) -> list[tuple[FlowKey, Endpoint]]:
        """Remove all queries; return their flows and senders."""
        popped = [(key, query.sender) for key, query in self._queries.items()]
        for key in self._queries:
            self._deadlines.cancel(key)
        self._queries.clear()
        return popped

    def report_unconfirmed(self, now: float) -> list[tuple[FlowKey, Endpoint]]:
        """Return the flows and senders of the queries that were pending for too long.

        They stay pending for as long as a search of an entry instance lasts.
        """
        reported = []
        for key in self._deadlines.pop_due(now):
            query = self._queries[key]
            if query.is_unconfirmed_reported:
                self._queries.pop(key)
                continue
            self._queries[key] = query._replace(is_unconfirmed_reported=True)
            self._deadlines.schedule(key, now + SEARCH_TIMEOUT_S)
            reported.append((key, query.sender))
        return reported
