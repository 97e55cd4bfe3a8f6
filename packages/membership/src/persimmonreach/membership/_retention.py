"""Removal of rows of dead and departed members."""

from typing import Final, NamedTuple

from persimmonreach.core import AgentId, ServiceId
from persimmonreach.membership._table import MemberTable

# The incarnation of a removed row is kept for 24 times the retention (4 h by
# default), longer than a node stays cut off and still holds the row as live.
_INCARNATION_RETENTIONS: Final = 24


class _Settled(NamedTuple):
    incarnation: int
    since: float


class Retention:
    """Removes rows once they have been settled for long enough.

    Parameters
    ----------
    table
        Member rows.
    retention_s
        Seconds for which a settled row is kept.

    """

    def __init__(self, table: MemberTable, retention_s: float) -> None:
        self._table = table
        self._retention_s = retention_s
        self._settled: dict[AgentId, _Settled] = {}
        self._removed_at: dict[AgentId, float] = {}

    def sweep(self, now: float) -> set[ServiceId]:
        """Remove rows; return the services that lost one."""
        services: set[ServiceId] = set()
        for row in self._table.settled:
            member = row.member
            if self._is_due(member.agent, member.incarnation, now):
                self._table.remove(member.agent)
                self._settled.pop(member.agent)
                self._removed_at[member.agent] = now
                services.add(member.service)
        self._forget_removed(now)
        return services

    def _is_due(self, agent: AgentId, incarnation: int, now: float) -> bool:
        settled = self._settled.get(agent)
        if settled is None or settled.incarnation != incarnation:
            self._settled[agent] = _Settled(incarnation, now)
            return False
        return now - settled.since >= self._retention_s

    def _forget_removed(self, now: float) -> None:
        oldest = now - _INCARNATION_RETENTIONS * self._retention_s
        for agent, removed_at in tuple(self._removed_at.items()):
            if removed_at < oldest:
                self._table.forget_removed(agent)
                self._removed_at.pop(agent)
