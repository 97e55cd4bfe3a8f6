"""Packet queries whose response depends on the backend server."""

from typing import Final

from persimmonreach.core import Deadlines, Endpoint, FlowKey
from persimmonreach.lookup import SEARCH_TIMEOUT_S

# A backend server bounces a packet of an unknown flow within 1 to 2 ms. The entry
# instance is told that the flow is unconfirmed if nothing arrives for this time.
BOUNCE_TIMEOUT_S: Final = 0.012


class PendingQueries:
    """Flows whose packet was delivered to find out whether they are held.

    The backend server bounces the packet if it does not hold the flow, and responds to
    the caller if it does. Until then the flow is unconfirmed. The senders of a query are
    the entry instances that wait for the response; after a change of the fabric's hash
    two of them may search for the same flow.
    """

    def __init__(self) -> None:
        # Senders of the queries for each flow, and whether each has been told that the
        # flow is unconfirmed.
        self._queries: dict[FlowKey, dict[Endpoint, bool]] = {}
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
        self._queries.setdefault(key, {})[sender] = False
        self._deadlines.schedule(key, now + BOUNCE_TIMEOUT_S)

    def pop(self, key: FlowKey, sender: Endpoint | None = None) -> dict[Endpoint, bool]:
        """Remove the queries for a flow.

        Parameters
        ----------
        key
            Key of the flow.
        sender
            Sender whose query is removed; None to remove those of all senders.

        Returns
        -------
        dict
            Senders of the removed queries, and whether each has been told that the flow
            is unconfirmed.

        """
        queries = self._queries.get(key, {})
        senders = tuple(queries) if sender is None else (sender,)
        removed = {popped: queries.pop(popped) for popped in senders if popped in queries}
        if not queries:
            self._queries.pop(key, None)
            self._deadlines.cancel(key)
        return removed

    def pop_all(self) -> list[tuple[FlowKey, Endpoint]]:
        """Remove all queries; return their flows and senders."""
        return [(key, sender) for key in tuple(self._queries) for sender in self.pop(key)]

    def report_unconfirmed(self, now: float) -> list[tuple[FlowKey, Endpoint]]:
        """Return the flows and senders of the queries that were pending for too long.

        They stay pending for as long as a search of an entry instance lasts.
        """
        reported = []
        for key in self._deadlines.pop_due(now):
            queries = self._queries[key]
            senders = [sender for sender, is_told in queries.items() if not is_told]
            if not senders:
                self._queries.pop(key)
                continue
            queries.update(dict.fromkeys(senders, True))
            self._deadlines.schedule(key, now + SEARCH_TIMEOUT_S)
            reported.extend((key, sender) for sender in senders)
        return reported
