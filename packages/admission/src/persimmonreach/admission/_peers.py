"""Estimated load of the other agents of a service."""

from collections.abc import Iterable
from typing import NamedTuple

from persimmonreach.admission.messages import LoadReport, PlaceAnswer
from persimmonreach.core import AgentId, Incarnation


class _Load(NamedTuple):
    incarnation: Incarnation
    sequence: int
    flows: int
    flow_limit: int
    placed: int = 0


class PeerLoads:
    """Last reported load of each peer and the own placements since then.

    Parameters
    ----------
    connections
        Flow limit to assume of a peer that has not reported yet.

    """

    def __init__(self, connections: int) -> None:
        self._connections = connections
        self._loads: dict[AgentId, _Load] = {}

    def report(self, message: LoadReport) -> bool:
        """Take a report and return whether it is newer than the last one."""
        known = self._load(message.agent)
        age = (message.incarnation, message.sequence)
        if age <= (known.incarnation, known.sequence):
            return False
        self._loads[message.agent] = _Load(
            message.incarnation,
            message.sequence,
            message.flows,
            message.flow_limit,
        )
        return True

    def answer(self, message: PlaceAnswer) -> None:
        """Take the load that came with an answer."""
        self._loads[message.agent] = self._load(message.agent)._replace(
            flows=message.flows,
            flow_limit=message.flow_limit,
            placed=0,
        )

    def placed(self, agent: AgentId) -> None:
        """Count a flow that was sent to ``agent``."""
        load = self._load(agent)
        self._loads[agent] = load._replace(placed=load.placed + 1)

    def keep(self, agents: Iterable[AgentId]) -> None:
        """Forget all peers but ``agents``."""
        kept = set(agents)
        self._loads = {
            agent: load for agent, load in self._loads.items() if agent in kept
        }

    def flows(self, agent: AgentId) -> int:
        """Return the estimated flows of ``agent``."""
        load = self._load(agent)
        return load.flows + load.placed

    def flow_limit(self, agent: AgentId) -> int:
        """Return the flows that ``agent`` takes at present."""
        return self._load(agent).flow_limit

    def _load(self, agent: AgentId) -> _Load:
        unknown = _Load(Incarnation(-1), -1, 0, self._connections)
        return self._loads.get(agent, unknown)
