"""Search for the agent that holds a flow."""

from collections.abc import Sequence
from typing import Any, Final

from persimmonreach.core import (
    Action,
    AgentId,
    Count,
    Deadlines,
    EntryId,
    Event,
    FlowKey,
    Received,
    Send,
    StateMachine,
    Tick,
)
from persimmonreach.discovery import AgentRecord, AgentTable, RegisteredEntry
from persimmonreach.lookup._directories import FlowDirectory, directories_of
from persimmonreach.lookup._events import EntriesChanged, FindHolder, HolderFound
from persimmonreach.lookup._hints import are_responses_missing, resolve_hint
from persimmonreach.lookup._outcomes import (
    report_found,
    report_missing,
    report_unfinished,
)
from persimmonreach.lookup._packet_queries import (
    forward_packet,
    pop_indeterminate,
    query_by_packet,
    select_likely,
    unconfirmed_records,
)
from persimmonreach.lookup._queries import KeyQueries
from persimmonreach.lookup._state import (
    NegativeCache,
    Phase,
    Search,
    eligible_records,
)
from persimmonreach.lookup.messages import (
    FlowFound,
    FlowNotFound,
    FlowsPublished,
    FlowsResponse,
    FlowUnconfirmed,
    HolderQuery,
    HolderResponse,
)

# Round trip between availability zones, with jitter.
DIRECTORY_TIMEOUT_S: Final = 0.02
# Round trip between availability zones with jitter, and the time in which a backend
# server bounces a packet of a flow that it does not hold.
PACKET_QUERY_TIMEOUT_S: Final = 0.025
# Timeout of key queries and of the packet queries that follow them. The delay before
# unresponsive agents are queried again is twice this at first, and doubles each round.
KEY_QUERY_TIMEOUT_S: Final = 0.06
# Maximum age at which an incomplete search queries agents again. It exceeds the 1.6 s
# between the last retransmissions of a caller, because the next packet, which would
# start another search, may arrive only after that time.
SEARCH_TIMEOUT_S: Final = 2.0


class HolderSearch(StateMachine):
    """Finds the holder of a flow, with the cheapest queries first.

    A search queries the directories of the flow, then sends packet queries to the
    agents that placement ranks first, then queries all other agents by key only.

    Events: ``FindHolder``, ``EntriesChanged``, ``Received`` with a response or with
    a message to the directory of this entry instance, ``Tick``. Actions: ``Send``,
    ``HolderFound``, ``HolderNotFound``, ``Count``, ``LogDecision``.

    Parameters
    ----------
    agent_table
        Known agents.
    own_entry
        Id of this entry instance.

    """

    def __init__(self, agent_table: AgentTable, own_entry: EntryId = '') -> None:
        self._agent_table = agent_table
        self._own_entry = own_entry
        self._flow_directory = FlowDirectory()
        self._entries: dict[EntryId, RegisteredEntry] = {}
        self._searches: dict[FlowKey, Search] = {}
        self._deadlines: Deadlines[FlowKey] = Deadlines()
        self._queries = KeyQueries()
        self._negative_cache = NegativeCache()

    @property
    def wake_at(self) -> float:
        """Time at which the next timeout or round of queries is due."""
        return min(self._deadlines.next_at, self._queries.send_at)

    @property
    def flows_published(self) -> int:
        """Number of flows that agents have published to this entry instance."""
        return len(self._flow_directory)

    def handle(self, event: Event, now: float) -> tuple[Action, ...]:
        """Return the actions that ``event`` causes."""
        match event:
            case FindHolder():
                return self._on_find_holder(event, now)
            case Received(_, FlowsPublished() | HolderQuery()):
                return self._flow_directory.handle(event, now)
            case Received(_, message):
                return self._on_response(message, now)
            case EntriesChanged(entries):
                self._entries = {registered.entry: registered for registered in entries}
                return ()
            case Tick():
                self._negative_cache.remove_expired(now)
                return (*self._flow_directory.handle(event, now), *self._on_tick(now))
            case _:
                return (Count('lookup_unknown_events'),)

    def _on_response(self, message: Any, now: float) -> tuple[Action, ...]:
        match message:
            case FlowFound():
                return self._on_flow_found(message, now)
            case FlowNotFound(key, agent) | FlowUnconfirmed(key, agent):
                search = self._searches.get(key)
                if search is None:
                    return ()
                if isinstance(message, FlowUnconfirmed):
                    return self._on_unconfirmed(search, agent, now)
                search.record_non_holder(agent)
                return self._continue(search, now)
            case FlowsResponse():
                return self._on_flows_response(message, now)
            case HolderResponse():
                return self._on_holder_response(message, now)
            case _:
                return (Count('lookup_unknown_events'),)

    def _on_find_holder(self, event: FindHolder, now: float) -> tuple[Action, ...]:
        search = self._searches.get(event.key)
        if search is not None:
            return self._on_further_packet(search, event, now)
        search = Search(event, now)
        self._negative_cache.apply_to(search, now)
        self._searches[event.key] = search
        return (Count('searches_started'), *self._query_directories(search, now))

    def _on_further_packet(
        self, search: Search, event: FindHolder, now: float
    ) -> tuple[Action, ...]:
        """Queue a packet of a flow that is being searched for, or offer it.

        Only the backend server that holds the flow responds to the packet, so the
        agents whose backend server may hold it get each packet of the flow.
        """
        if event.not_held_by is not None:
            if event.packet != search.first_packet:
                search.queued_packets.append(event.packet)
            search.record_non_holder(event.not_held_by)
            return self._continue(search, now)
        candidates = unconfirmed_records(self._agent_table, search, now)
        if not candidates:
            search.queued_packets.append(event.packet)
        return forward_packet(event.packet, candidates)

    def _query_directories(self, search: Search, now: float) -> tuple[Action, ...]:
        key = search.key
        entries = directories_of(key, self._entries)
        if self._own_entry in entries:
            entries.remove(self._own_entry)
            records = resolve_hint(
                self._agent_table, search, self._flow_directory.find(key), now
            )
            if records:
                return self._query_hinted(search, records, now)
        search.pending_directories = len(entries)
        if not entries:
            return self._advance(search, now)
        self._deadlines.schedule(key, now + DIRECTORY_TIMEOUT_S)
        query = HolderQuery(key)
        return tuple(Send(self._entries[entry].endpoint, query) for entry in entries)

    def _on_holder_response(
        self, response: HolderResponse, now: float
    ) -> tuple[Action, ...]:
        search = self._searches.get(response.key)
        if search is None or search.phase is not Phase.DIRECTORIES:
            return ()
        search.pending_directories -= 1
        records = resolve_hint(self._agent_table, search, response.agent, now)
        if records:
            return self._query_hinted(search, records, now)
        return () if search.pending_directories else self._advance(search, now)

    def _query_hinted(
        self, search: Search, records: Sequence[AgentRecord], now: float
    ) -> tuple[Action, ...]:
        search.phase = Phase.HINT
        self._deadlines.schedule(search.key, now + PACKET_QUERY_TIMEOUT_S)
        return (Count('searches_hinted'), *query_by_packet(search, records))

    def _on_flow_found(self, found: FlowFound, now: float) -> tuple[Action, ...]:
        search = self._searches.get(found.key)
        if search is None:
            return (HolderFound(found.key, found.agent, ()),)
        return self._end_with_holder(search, found.agent, now)

    def _on_unconfirmed(
        self, search: Search, agent: AgentId, now: float
    ) -> tuple[Action, ...]:
        """Process the response of an agent whose backend server may hold the flow.

        If a directory has returned the same agent, it is the holder: agents publish
        only flows that their backend server has been seen to hold.
        """
        search.record_unconfirmed(agent)
        if agent == search.hinted_agent:
            return self._end_with_holder(search, agent, now)
        return self._continue(search, now)

    def _end_with_holder(
        self, search: Search, agent: AgentId, now: float
    ) -> tuple[Action, ...]:
        self._searches.pop(search.key)
        self._deadlines.cancel(search.key)
        return report_found(search, agent, now)

    def _on_flows_response(
        self, response: FlowsResponse, now: float
    ) -> tuple[Action, ...]:
        agent = response.agent
        actions: list[Action] = []
        for key in self._queries.pop_pending(response.query_id, agent):
            search = self._searches.get(key)
            if search is None:
                continue
            if key in response.held:
                actions.extend(self._on_flow_found(FlowFound(key, agent), now))
                continue
            if key in response.indeterminate:
                search.record_indeterminate(agent)
            else:
                search.record_non_holder(agent)
            actions.extend(self._continue(search, now))
        return tuple(actions)

    def _on_tick(self, now: float) -> tuple[Action, ...]:
        actions: list[Action] = []
        if now >= self._queries.send_at:
            actions.extend(self._send_key_queries(now))
        for key in self._deadlines.pop_due(now):
            actions.extend(self._advance(self._searches[key], now))
        return tuple(actions)

    def _continue(self, search: Search, now: float) -> tuple[Action, ...]:
        """Continue a search after a response that did not end it."""
        sends = self._query_indeterminate(search, now)
        if sends or search.pending or search.phase is Phase.GATHERING:
            return sends
        return self._advance(search, now)

    def _advance(self, search: Search, now: float) -> tuple[Action, ...]:
        """Move a search to its next phase, or end it after the last one."""
        if search.phase is Phase.ALL:
            # Packet queries that timed out no longer count as in flight, so that
            # unresponsive agents do not block the packet queries still to be sent.
            search.pending_packet_queries.clear()
            sends = self._query_indeterminate(search, now)
            return sends or self._conclude(search, now)
        if search.phase is Phase.PAUSED:
            return self._retry_unresponsive(search, now)
        if search.phase < Phase.LIKELY:
            search.phase = Phase.LIKELY
            self._deadlines.schedule(search.key, now + PACKET_QUERY_TIMEOUT_S)
            records = select_likely(self._agent_table, search, now)
            sends = query_by_packet(search, records)
            return sends or self._advance(search, now)
        if search.phase is Phase.LIKELY:
            search.phase = Phase.GATHERING
            self._deadlines.cancel(search.key)
            self._queries.enqueue(search.key, len(self._agent_table), now)
        return ()

    def _retry_unresponsive(self, search: Search, now: float) -> tuple[Action, ...]:
        if not search.pending:
            return self._conclude(search, now)
        self._queries.enqueue(search.key, len(search.pending), now)
        search.reset_unresponsive()
        search.phase = Phase.GATHERING
        return (Count('searches_repeated'),)

    def _schedule_retry(self, search: Search, now: float) -> bool:
        """Pause a search; return False if its timeout ends before the next round."""
        delay_s = KEY_QUERY_TIMEOUT_S * 2**search.rounds
        if now + delay_s > search.started_at + SEARCH_TIMEOUT_S:
            return False
        search.phase = Phase.PAUSED
        self._deadlines.schedule(search.key, now + delay_s)
        return True

    def _send_key_queries(self, now: float) -> tuple[Action, ...]:
        """Query the agents not queried yet, each for all queued flows at once."""
        actions: list[Action] = []
        for key in self._queries.pop_queued():
            search = self._searches.get(key)
            if search is None:
                continue
            search.phase = Phase.ALL
            search.rounds += 1
            self._deadlines.schedule(key, now + KEY_QUERY_TIMEOUT_S)
            records = tuple(eligible_records(self._agent_table.records, search, now))
            for record in records:
                search.record_query(record.agent)
                self._queries.add_to_batch(record, key)
            if not (records or search.pending):
                actions.extend(self._advance(search, now))
        return (*actions, *self._queries.send())

    def _query_indeterminate(self, search: Search, now: float) -> tuple[Action, ...]:
        records = pop_indeterminate(self._agent_table, search)
        if records:
            self._deadlines.schedule(search.key, now + KEY_QUERY_TIMEOUT_S)
        return query_by_packet(search, records)

    def _conclude(self, search: Search, now: float) -> tuple[Action, ...]:
        """End a search without a holder, or pause it if responses are missing."""
        key = search.key
        if any(eligible_records(self._agent_table.records, search, now)):
            # An agent that was discovered during the search may hold the flow.
            search.phase = Phase.GATHERING
            self._deadlines.cancel(key)
            self._queries.enqueue(key, len(self._agent_table), now)
            return ()
        is_incomplete = are_responses_missing(self._agent_table, search)
        candidates = unconfirmed_records(self._agent_table, search, now)
        if len(candidates) == 1 and not is_incomplete:
            # All other agents have denied the flow.
            return self._end_with_holder(search, candidates[0].agent, now)
        is_incomplete = is_incomplete or bool(candidates)
        if is_incomplete and self._schedule_retry(search, now):
            return ()
        self._searches.pop(key)
        self._deadlines.cancel(key)
        self._negative_cache.put(key, search.non_holders, now)
        if is_incomplete:
            return report_unfinished(search, now)
        return report_missing(search, now)
