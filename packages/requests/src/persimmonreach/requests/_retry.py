"""Retry budget, and the other agents that may run an attempt."""

from collections import deque
from collections.abc import Collection
from random import Random
from typing import Final, NamedTuple

from persimmonreach.core import AgentId, Incarnation, Zone
from persimmonreach.membership import Member, View
from persimmonreach.requests._records import Record

_WINDOW_S: Final = 10
_MIN_RETRIES: Final = 1


class _Second(NamedTuple):
    second: int
    requests: int
    retries: int


class RetryBudget:
    """Limits retries to a share of the requests of the last 10 s.

    Parameters
    ----------
    share
        Retries per request.

    """

    def __init__(self, share: float) -> None:
        self._share = share
        self._seconds: deque[_Second] = deque()

    def configure(self, share: float) -> None:
        """Use a newly declared share."""
        self._share = share

    def note_request(self, now: float) -> None:
        """Count a request."""
        self._add(now, requests=1, retries=0)

    def try_spend(self, now: float) -> bool:
        """Count a retry and return True, or return False if none is left."""
        self._drop_old(now)
        requests = sum(row.requests for row in self._seconds)
        retries = sum(row.retries for row in self._seconds)
        if retries + 1 > max(_MIN_RETRIES, self._share * requests):
            return False
        self._add(now, requests=0, retries=1)
        return True

    def _add(self, now: float, requests: int, retries: int) -> None:
        second = int(now)
        last = _Second(second, 0, 0)
        if self._seconds and self._seconds[-1].second == second:
            last = self._seconds.pop()
        self._seconds.append(
            _Second(second, last.requests + requests, last.retries + retries),
        )
        self._drop_old(now)

    def _drop_old(self, now: float) -> None:
        while self._seconds and self._seconds[0].second < int(now) - _WINDOW_S:
            self._seconds.popleft()


class RetryTargets:
    """Members that may run an attempt.

    Parameters
    ----------
    agent
        The local agent.
    saturated_s
        Seconds for which a member that refused counts as saturated.
    rng
        Random numbers of the choice.

    """

    def __init__(self, agent: AgentId, saturated_s: float, rng: Random) -> None:
        self._agent = agent
        self._saturated_s = saturated_s
        self._rng = rng
        self._members: tuple[Member, ...] = ()
        self._zones_out: Collection[Zone] = ()
        self._saturated_until: dict[AgentId, float] = {}

    @property
    def incarnation(self) -> Incarnation:
        """Incarnation of the local agent; -1 while the view does not name it."""
        own = [row.incarnation for row in self._members if row.agent == self._agent]
        return own[0] if own else Incarnation(-1)

    def change_view(self, view: View) -> None:
        """Use the members of a new view."""
        self._members = view.members
        names = {row.agent for row in view.members}
        self._saturated_until = {
            agent: until
            for agent, until in self._saturated_until.items()
            if agent in names
        }

    def change_zones(self, zones_out: Collection[Zone]) -> None:
        """Exclude the members of these availability zones."""
        self._zones_out = zones_out

    def saturated(self, agent: AgentId, now: float) -> None:
        """Note that ``agent`` had no free slot."""
        self._saturated_until[agent] = now + self._saturated_s

    def choose(self, record: Record, now: float) -> Member | None:
        """Return a member for the next attempt; None if all are saturated."""
        candidates = [
            row
            for row in self._members
            if self._is_open(row, now) and row.agent not in record.tried
        ]
        return self._rng.choice(candidates) if candidates else None

    def is_lost(self, asked: Member) -> bool:
        """Whether the asked process can no longer answer."""
        rows = [row for row in self._members if row.agent == asked.agent]
        return not (
            rows and rows[0].is_reachable and rows[0].incarnation == asked.incarnation
        )

    def _is_open(self, member: Member, now: float) -> bool:
        if member.agent == self._agent or not member.is_eligible:
            return False
        is_saturated = self._saturated_until.get(member.agent, now) > now
        return member.zone not in self._zones_out and not is_saturated
