"""Cache of the holders of flows in an entry instance."""

from persimmonreach.core import AgentId, FlowKey


class HolderCache:
    """Two-generation cache of the agents that hold flows.

    A holder that is neither stored nor looked up for a whole generation is evicted.
    Generations avoid a timestamp for each flow.

    Parameters
    ----------
    generation_s
        Duration of a generation, in seconds.

    """

    def __init__(self, generation_s: float) -> None:
        self._generation_s = generation_s
        self._current: dict[FlowKey, AgentId] = {}
        self._previous: dict[FlowKey, AgentId] = {}
        self._next_rotation_at: float = 0

    def __len__(self) -> int:
        """Return the number of cached flows."""
        return len(self._current) + len(self._previous)

    def find(self, key: FlowKey) -> AgentId | None:
        """Return the holder of a flow, which keeps it cached; None if not cached."""
        agent = self._current.get(key)
        if agent is not None:
            return agent
        agent = self._previous.pop(key, None)
        if agent is not None:
            self._current[key] = agent
        return agent

    def put(self, key: FlowKey, agent: AgentId) -> None:
        """Store the holder of a flow."""
        self._current[key] = agent
        self._previous.pop(key, None)

    def remove(self, key: FlowKey) -> None:
        """Remove a flow if it is cached."""
        self._current.pop(key, None)
        self._previous.pop(key, None)

    def rotate(self, now: float) -> None:
        """Drop the previous generation and start a new one, if one is due."""
        if now < self._next_rotation_at:
            return
        self._next_rotation_at = now + self._generation_s
        self._previous = self._current
        self._current = {}
