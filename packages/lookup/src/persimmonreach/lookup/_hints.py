"""Use of the holder that a directory returns, and whether responses are missing."""

from persimmonreach.core import AgentId
from persimmonreach.discovery import AgentRecord, AgentTable
from persimmonreach.lookup._state import Search, eligible_records


def resolve_hint(
    agent_table: AgentTable, search: Search, agent: AgentId | None, now: float
) -> list[AgentRecord]:
    """Return the record of the agent that a directory returned, if eligible."""
    record = agent_table.find(agent) if agent else None
    if record is None:
        return []
    search.hinted_agent = record.agent
    return list(eligible_records((record,), search, now))


def are_responses_missing(agent_table: AgentTable, search: Search) -> bool:
    """Whether an agent that may hold the flow has not responded to the search."""
    return (
        bool(search.pending)
        or not agent_table.is_loaded
        or _is_hinted_agent_silent(agent_table, search)
    )


def _is_hinted_agent_silent(agent_table: AgentTable, search: Search) -> bool:
    """Whether the agent that a directory returned is registered, but silent.

    Its process may only be paused, and the flow goes on after that.
    """
    hinted_agent = search.hinted_agent
    record = agent_table.find(hinted_agent) if hinted_agent else None
    return record is not None and record.is_unreachable
