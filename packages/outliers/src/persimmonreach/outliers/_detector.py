"""Ejection of backend servers that fail, are slow or restart repeatedly."""

from collections.abc import Iterable, Mapping
from typing import Final, final

from persimmonreach.core import Action, AgentId, Count, LogStateChange
from persimmonreach.discovery import AgentState
from persimmonreach.load import AgentLoad
from persimmonreach.outliers._agent_history import AgentHistory
from persimmonreach.outliers._criteria import Evidence, Outlier, find_outliers
from persimmonreach.outliers._ejections import Ejections

# Percentage of the ready agents of a service that may be ejected at the same time.
MAX_EJECTED_PERCENT: Final = 30


@final
class OutlierDetector(Ejections):
    """Ejects the outliers of each service for a time that grows with each ejection.

    State is kept only for agents that were ejected or down recently.
    """

    def __init__(self) -> None:
        self._histories: dict[AgentId, AgentHistory] = {}

    @property
    def ejected_count(self) -> int:
        """Number of ejected agents of all services."""
        return sum(history.is_held_off for history in self._histories.values())

    def is_ejected(self, agent: AgentId, now: float) -> bool:
        """Return whether the backend server of an agent is ejected at ``now``."""
        history = self._histories.get(agent)
        return history is not None and history.is_ejected(now)

    def choice_share(self, agent: AgentId, now: float) -> float:
        """Return the share of its choices that an agent gets, from 0 to 1."""
        history = self._histories.get(agent)
        return 1 if history is None else history.choice_share(now)

    def record_state(self, agent: AgentId, state: AgentState, now: float) -> None:
        """Record the state in the newest status of an agent."""
        if state is AgentState.DOWN or agent in self._histories:
            self._histories.setdefault(agent, AgentHistory()).record_state(state, now)

    def tick(self, now: float) -> tuple[Action, ...]:
        """Return agents whose ejection has ended, and forget obsolete histories."""
        if not self._histories:
            return ()
        returned_agents = [
            agent
            for agent, history in self._histories.items()
            if history.is_held_off and not history.is_ejected(now)
        ]
        actions = self._end_ejections(returned_agents, 'ejection has ended', now)
        self._histories = {
            agent: history
            for agent, history in self._histories.items()
            if not history.is_obsolete(now)
        }
        return actions

    def evaluate(
        self, loads: Mapping[AgentId, AgentLoad | None], now: float
    ) -> tuple[Action, ...]:
        """Eject the outliers among the ready agents of one service.

        Parameters
        ----------
        loads
            Newest load of each ready agent of the service; None if it has sent none.
        now
            Current time, in seconds.

        """
        evidence = {
            agent: self._observe(agent, load, now) for agent, load in loads.items()
        }
        ejected_agents = sorted(
            (agent for agent in loads if self.is_ejected(agent, now)),
            key=lambda agent: self._histories[agent].ejected_until,
        )
        outliers = [
            outlier
            for outlier in find_outliers(evidence)
            if outlier.agent not in ejected_agents
        ]
        if 2 * (len(ejected_agents) + len(outliers)) > len(loads):
            return self._end_ejections(ejected_agents, 'most are outliers', now)
        max_ejected = len(loads) * MAX_EJECTED_PERCENT // 100
        room = max_ejected - len(ejected_agents)
        if room < 0:
            return self._end_ejections(ejected_agents[:-room], 'too few are ready', now)
        return self._eject(outliers[:room], loads, now)

    def release(self, agents: Iterable[AgentId], now: float) -> tuple[Action, ...]:
        """End the ejections of agents whose outliers are no longer detected.

        Parameters
        ----------
        agents
            Agents, of which some may be ejected.
        now
            Current time, in seconds.

        """
        ejected_agents = [
            agent
            for agent in agents
            if agent in self._histories and self._histories[agent].is_held_off
        ]
        return self._end_ejections(ejected_agents, 'detection is switched off', now)

    def _observe(self, agent: AgentId, load: AgentLoad | None, now: float) -> Evidence:
        history = self._histories.get(agent)
        if history is not None:
            return history.observe(load, now)
        if load is None:
            return Evidence()
        return Evidence(load.requests, load.failures, load.service_ms)

    def _eject(
        self,
        outliers: Iterable[Outlier],
        loads: Mapping[AgentId, AgentLoad | None],
        now: float,
    ) -> tuple[Action, ...]:
        actions: list[Action] = []
        for agent, reason, _ in outliers:
            history = self._histories.setdefault(agent, AgentHistory())
            history.observe(loads[agent], now)
            duration_s = history.eject(now)
            detail = f'{reason}, for {duration_s} s'
            actions.append(LogStateChange('agent_ejected', agent, detail))
            actions.append(Count('ejections'))
        return tuple(actions)

    def _end_ejections(
        self, agents: Iterable[AgentId], reason: str, now: float
    ) -> tuple[Action, ...]:
        actions: list[Action] = []
        for agent in agents:
            self._histories[agent].end_ejection(now)
            actions.append(LogStateChange('agent_returned', agent, reason))
        return tuple(actions)
