"""State of a search for the holder of a flow, and cache of negative responses."""

from collections import deque
from collections.abc import Iterable
from enum import IntEnum
from typing import Final, NamedTuple

from persimmonreach.core import AgentId, FlowKey
from persimmonreach.discovery import AgentRecord
from persimmonreach.lookup._events import FindHolder

# A caller has at most 16 packets in flight.
MAX_QUEUED_PACKETS: Final = 16
# Flows do not move between agents, so the next search for a flow skips agents with
# a recent negative response. A caller reuses a port for another flow only after
# a longer time than this.
NEGATIVE_CACHE_TTL_S: Final = 5
# Number of unresponsive agents that are listed in the log line of a search.
_MAX_LOGGED_AGENTS: Final = 8
_MS_PER_S: Final = 1000


class Phase(IntEnum):
    """Phase of a search, by the instances that it queries.

    Attributes
    ----------
    DIRECTORIES
        The directories of the flow.
    HINT
        The agent that a directory has returned.
    LIKELY
        The agents that placement ranks first for the flow.
    GATHERING
        None; the flow is queued for the next round of key queries.
    ALL
        All agents that were not queried before.
    PAUSED
        None; the search waits before it queries unresponsive agents again.

    """

    DIRECTORIES = 0
    HINT = 1
    LIKELY = 2
    GATHERING = 3
    ALL = 4
    PAUSED = 5


class Search:
    """State of one search: its packets, queries and responses.

    Parameters
    ----------
    event
        Event that started the search.
    now
        Start time of the search, in seconds.

    Attributes
    ----------
    phase
        Current phase of the search.
    first_packet
        Packet that started the search; sent in packet queries.
    queued_packets
        Packets of the caller that arrived during the search.
    pending_directories
        Number of directories that have not responded.
    queried
        Agents that were queried, by packet or by key.
    pending
        Queried agents that have not responded.
    non_holders
        Agents that do not hold the flow.
    unconfirmed
        Agents whose backend server has got a packet of the flow, and has neither
        rejected it nor shown that it holds the flow.
    pending_packet_queries
        Agents that were sent a packet query and have not responded.
    rounds
        Number of rounds of key queries.
    unresponsive
        Agents that did not respond in an earlier round.
    hinted_agent
        Agent that a directory has returned; None if none has.

    """

    def __init__(self, event: FindHolder, now: float) -> None:
        self.key = event.key
        self.service = event.service
        self.started_at = now
        self.phase = Phase.DIRECTORIES
        self.first_packet = event.packet
        self.queued_packets: deque[bytes] = deque(maxlen=MAX_QUEUED_PACKETS)
        self.pending_directories = 0
        self.queried: set[AgentId] = set()
        self.pending: set[AgentId] = set()
        self.non_holders: set[AgentId] = set()
        self.unconfirmed: set[AgentId] = set()
        self.pending_packet_queries: set[AgentId] = set()
        self.rounds = 0
        self.unresponsive: set[AgentId] = set()
        self.hinted_agent: AgentId | None = None
        self._packet_recipients: set[AgentId] = set()
        self._indeterminate: deque[AgentId] = deque()
        if event.not_held_by is not None:
            self.record_non_holder(event.not_held_by)

    @property
    def latest_packet(self) -> bytes:
        """Latest packet of the caller."""
        return self.queued_packets[-1] if self.queued_packets else self.first_packet

    def decision_inputs(self, now: float) -> dict[str, object]:
        """Return the log fields that explain the result of the search."""
        return {
            'phase': self.phase.name.lower(),
            'asked': len(self.queried),
            'missing': len(self.non_holders),
            'unsure': len(self._indeterminate),
            'unconfirmed': sorted(self.unconfirmed)[:_MAX_LOGGED_AGENTS],
            'rounds': self.rounds,
            'silent': sorted(self.pending)[:_MAX_LOGGED_AGENTS],
            'took_ms': round((now - self.started_at) * _MS_PER_S, 1),
        }

    def record_packet_query(self, agent: AgentId) -> None:
        """Record that a packet query is sent to an agent."""
        self.record_query(agent)
        self._packet_recipients.add(agent)
        self.pending_packet_queries.add(agent)

    def record_query(self, agent: AgentId) -> None:
        """Record that a query is sent to an agent."""
        self.queried.add(agent)
        self.pending.add(agent)

    def record_non_holder(self, agent: AgentId) -> None:
        """Record that an agent does not hold the flow."""
        self.non_holders.add(agent)
        self.queried.add(agent)
        self.unconfirmed.discard(agent)
        self._discard_pending(agent)

    def record_unconfirmed(self, agent: AgentId) -> None:
        """Record that an agent has delivered a packet without a sign of the holder."""
        if agent not in self.non_holders:
            self.unconfirmed.add(agent)
        self._discard_pending(agent)

    def reset_unresponsive(self) -> None:
        """Allow another query to the agents that have not responded.

        They no longer count as pending, so an agent that is known to have left when
        the next round starts does not delay the search.
        """
        self.unresponsive |= self.pending
        self.queried -= self.pending
        self.pending_packet_queries.clear()
        self._packet_recipients -= self.pending
        self.pending.clear()

    def record_indeterminate(self, agent: AgentId) -> None:
        """Record that an agent needs a packet to decide whether it holds the flow."""
        if agent in self.pending and agent not in self._packet_recipients:
            self._indeterminate.append(agent)

    def pop_indeterminate(self, max_in_flight: int) -> list[AgentId]:
        """Remove and return the agents to send the next packet queries to.

        At most ``max_in_flight`` packet queries of the search are pending at once.
        """
        count = min(
            max_in_flight - len(self.pending_packet_queries),
            len(self._indeterminate),
        )
        return [self._indeterminate.popleft() for _ in range(count)]

    def undelivered_packets(self, holder: AgentId) -> tuple[bytes, ...]:
        """Return the packets that the holder has not received."""
        first_packets = () if holder in self._packet_recipients else (self.first_packet,)
        return (*first_packets, *self.queued_packets)

    def _discard_pending(self, agent: AgentId) -> None:
        self.pending.discard(agent)
        self.pending_packet_queries.discard(agent)


def eligible_records(
    records: Iterable[AgentRecord], search: Search, now: float
) -> Iterable[AgentRecord]:
    """Return the agents that may hold the flow and have not been queried yet."""
    return (
        record
        for record in records
        if record.agent not in search.queried
        and record.may_hold_flows(now)
        # An agent whose backend server is down is queried once, because the server
        # may have recovered; if the agent does not respond, the search ends without
        # its response.
        and not (record.is_down and record.agent in search.unresponsive)
    )


class _NegativeEntry(NamedTuple):
    expires_at: float
    agents: frozenset[AgentId]


class NegativeCache:
    """Agents that responded negatively in searches that found no holder."""

    def __init__(self) -> None:
        self._entries: dict[FlowKey, _NegativeEntry] = {}

    def put(self, key: FlowKey, agents: set[AgentId], now: float) -> None:
        """Store the agents that do not hold a flow."""
        # Removing the key first keeps the dictionary sorted by expiry time.
        self._entries.pop(key, None)
        self._entries[key] = _NegativeEntry(
            now + NEGATIVE_CACHE_TTL_S,
            frozenset(agents),
        )

    def find(self, key: FlowKey, now: float) -> frozenset[AgentId]:
        """Return the agents that are known not to hold a flow."""
        entry = self._entries.get(key)
        if entry is None or now >= entry.expires_at:
            return frozenset()
        return entry.agents

    def apply_to(self, search: Search, now: float) -> None:
        """Record the agents that are known not to hold the flow of a search."""
        for agent in self.find(search.key, now):
            search.record_non_holder(agent)

    def remove_expired(self, now: float) -> None:
        """Remove expired entries."""
        while self._entries:
            key = next(iter(self._entries))
            if now < self._entries[key].expires_at:
                return
            self._entries.pop(key)
