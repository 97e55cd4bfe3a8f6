"""Last heartbeat of each agent, for operators."""

from typing import NamedTuple

from persimmonreach.core import AgentId, Incarnation
from persimmonreach.membership._table import MemberTable
from persimmonreach.membership.messages import Heartbeat


class AgentReport(NamedTuple):
    """What an agent reported of itself.

    Attributes
    ----------
    incarnation
        Incarnation of the agent.
    sequence
        Sequence number of the heartbeat.
    config_version
        Newest configuration version that the agent knows to exist.
    flows
        Flows at the backend server.
    flow_limit
        Flows that the agent admits at most.
    heard_at
        Time at which the heartbeat arrived, in seconds of the local clock.

    """

    incarnation: Incarnation
    sequence: int
    config_version: int
    flows: int
    flow_limit: int
    heard_at: float


class AgentReports:
    """Last heartbeat of each agent that this entry instance is registrar of."""

    def __init__(self) -> None:
        self._reports: dict[AgentId, AgentReport] = {}

    def find(self, agent: AgentId) -> AgentReport | None:
        """Return the last report of an agent."""
        return self._reports.get(agent)

    def note(self, heartbeat: Heartbeat, now: float) -> None:
        """Keep a heartbeat unless a later one was received before."""
        member = heartbeat.member
        report = AgentReport(
            member.incarnation,
            heartbeat.sequence,
            heartbeat.config_version,
            heartbeat.flows,
            heartbeat.flow_limit,
            now,
        )
        known = self._reports.get(member.agent)
        if known is None or known[:2] < report[:2]:
            self._reports[member.agent] = report

    def forget_removed(self, table: MemberTable) -> None:
        """Forget agents that have no row any more."""
        for agent in tuple(self._reports):
            if table.find(agent) is None:
                self._reports.pop(agent)
