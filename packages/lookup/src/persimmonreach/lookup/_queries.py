"""Queries to agents for flows by key, with many flows in one message."""

from collections import OrderedDict
from math import inf
from typing import Final, NamedTuple

from persimmonreach.core import AgentId, FlowKey, Send
from persimmonreach.discovery import AgentRecord
from persimmonreach.lookup.messages import FlowsQuery

# Interval between two rounds of queries, for each agent to query. Unless the interval
# reaches its upper bound, an entry instance queries at most 1,000 agents a second.
# After a restart all flows of an availability zone are searched for at once; flows that
# are queued for the next round share its messages.
ROUND_INTERVAL_PER_AGENT_S: Final = 0.001
# Upper bound of the interval between two rounds; callers retransmit after 0.2 s.
MAX_ROUND_INTERVAL_S: Final = 0.1
# This number of 14-byte keys fits a datagram of 1,200 bytes.
MAX_KEYS_PER_MESSAGE: Final = 64
# Responses arrive within 0.1 s; with 70 agents, the limit covers the queries sent
# within 0.4 s. Beyond it, the oldest pending query is dropped.
MAX_PENDING_QUERIES: Final = 2000


class _PendingQuery(NamedTuple):
    agent: AgentId
    keys: tuple[FlowKey, ...]


class _Batch(NamedTuple):
    record: AgentRecord
    keys: list[FlowKey]


class KeyQueries:
    """Batches the key queries of a round, and matches responses to queries."""

    def __init__(self) -> None:
        self._queued: list[FlowKey] = []
        self._send_at = inf
        self._next_round_at = -inf
        self._batches: dict[AgentId, _Batch] = {}
        self._pending: OrderedDict[int, _PendingQuery] = OrderedDict()
        self._last_query_id = 0

    @property
    def send_at(self) -> float:
        """Time at which the next round is due; infinite if no flow is queued."""
        return self._send_at

    def enqueue(self, key: FlowKey, agent_count: int, now: float) -> None:
        """Queue a flow for the next round, which queries ``agent_count`` agents."""
        if not self._queued:
            self._send_at = max(now, self._next_round_at)
        self._queued.append(key)
        interval_s = min(agent_count * ROUND_INTERVAL_PER_AGENT_S, MAX_ROUND_INTERVAL_S)
        self._next_round_at = max(self._next_round_at, self._send_at + interval_s)

    def pop_queued(self) -> tuple[FlowKey, ...]:
        """Remove and return the flows that are queued for the next round."""
        queued_keys = tuple(self._queued)
        self._queued.clear()
        self._send_at = inf
        return queued_keys

    def add_to_batch(self, record: AgentRecord, key: FlowKey) -> None:
        """Add a flow to the next queries to an agent."""
        self._batches.setdefault(record.agent, _Batch(record, [])).keys.append(key)

    def send(self) -> tuple[Send, ...]:
        """Return the queries of all batches, and clear the batches."""
        batches = tuple(self._batches.values())
        self._batches.clear()
        return tuple(
            Send(record.endpoint, self._create_query(record.agent, keys[start:]))
            for record, keys in batches
            for start in range(0, len(keys), MAX_KEYS_PER_MESSAGE)
        )

    def pop_pending(self, query_id: int, agent: AgentId) -> tuple[FlowKey, ...]:
        """Remove a pending query and return its flows.

        The result is empty if the query is not pending or was sent to another
        agent.
        """
        query = self._pending.get(query_id)
        if query is None or query.agent != agent:
            return ()
        return self._pending.pop(query_id).keys

    def _create_query(self, agent: AgentId, keys: list[FlowKey]) -> FlowsQuery:
        self._last_query_id += 1
        keys_in_message = tuple(keys[:MAX_KEYS_PER_MESSAGE])
        self._pending[self._last_query_id] = _PendingQuery(agent, keys_in_message)
        if len(self._pending) > MAX_PENDING_QUERIES:
            self._pending.popitem(last=False)
        return FlowsQuery(self._last_query_id, keys_in_message)
