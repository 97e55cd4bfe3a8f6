"""Actions at the end of a search."""

from persimmonreach.core import Action, AgentId, Count, LogDecision
from persimmonreach.lookup._events import HolderFound, HolderNotFound
from persimmonreach.lookup._state import Search


def report_found(search: Search, agent: AgentId, now: float) -> tuple[Action, ...]:
    """Return the actions for a search that found the holder."""
    return (
        HolderFound(search.key, agent, search.undelivered_packets(agent)),
        Count('searches_found'),
        LogDecision('holder_found', search.key, agent, search.decision_inputs(now)),
    )


def report_missing(search: Search, now: float) -> tuple[Action, ...]:
    """Return the actions for a flow that all agents have denied."""
    inputs = search.decision_inputs(now)
    return (
        HolderNotFound(search.key, search.latest_packet),
        Count('searches_missing'),
        LogDecision('holder_not_found', search.key, 'reset', inputs),
    )


def report_unfinished(search: Search, now: float) -> tuple[Action, ...]:
    """Return the actions for a search without the response of each agent."""
    inputs = search.decision_inputs(now)
    return (
        Count('searches_unfinished'),
        LogDecision('holder_not_found', search.key, 'dropped', inputs),
    )
