"""Packet queries of a search, and the agents that get them."""

from collections.abc import Iterable, Sequence
from typing import Final

from persimmonreach.core import Send
from persimmonreach.discovery import AgentRecord, AgentTable
from persimmonreach.lookup._state import Search, eligible_records
from persimmonreach.lookup.messages import PacketQuery
from persimmonreach.placement import rank_near_agents_first

# Agents that get a packet query if no directory returns the holder: placement
# prefers this number of agents in the availability zone of the entry instance.
LIKELY_AGENT_COUNT: Final = 2
# Limit of the bytes that one search has in flight in packet queries to agents with an
# indeterminate response; a link of 5 Mbit/s transmits them in 16 ms.
MAX_PACKET_QUERY_BYTES: Final = 10_000


def select_likely(
    agent_table: AgentTable, search: Search, now: float
) -> Sequence[AgentRecord]:
    """Return the agents that placement ranks first for the flow."""
    records = agent_table.of_service(search.service).values()
    candidates = eligible_records(records, search, now)
    ranked_records = rank_near_agents_first(search.key, candidates, agent_table.zone)
    return ranked_records[:LIKELY_AGENT_COUNT]


def pop_indeterminate(agent_table: AgentTable, search: Search) -> list[AgentRecord]:
    """Remove and return the agents with an indeterminate response to query next."""
    agents = search.pop_indeterminate(MAX_PACKET_QUERY_BYTES // len(search.first_packet))
    candidates = map(agent_table.find, agents)
    return [record for record in candidates if record is not None]


def unconfirmed_records(
    agent_table: AgentTable, search: Search, now: float
) -> list[AgentRecord]:
    """Return the agents whose backend server may hold the flow."""
    candidates = map(agent_table.find, sorted(search.unconfirmed))
    return [
        record
        for record in candidates
        if record is not None and record.may_hold_flows(now)
    ]


def query_by_packet(search: Search, records: Iterable[AgentRecord]) -> tuple[Send, ...]:
    """Send the first packet of a search to agents."""
    query = PacketQuery(search.first_packet)
    sends = []
    for record in records:
        search.record_packet_query(record.agent)
        sends.append(Send(record.endpoint, query))
    return tuple(sends)


def forward_packet(packet: bytes, records: Sequence[AgentRecord]) -> tuple[Send, ...]:
    """Send a further packet of a flow to the agents that may hold the flow."""
    query = PacketQuery(packet)
    limit = MAX_PACKET_QUERY_BYTES // len(packet)
    return tuple(Send(record.endpoint, query) for record in records[:limit])
