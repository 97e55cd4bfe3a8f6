"""Agents that an entry instance tells of a change at once."""

from typing import Final

from persimmonreach.core import Endpoint

# Agents ask a random entry instance every 2 s, so that each one is known to
# about three entry instances; with 8 agents an entry instance knows about 24.
REMEMBERED_S: Final = 6


class Recipients:
    """Agents that asked lately, with the service that each asked for."""

    def __init__(self) -> None:
        self._asked_at: dict[Endpoint, float] = {}
        self._services: dict[Endpoint, str] = {}

    def remember(self, agent: Endpoint, service: str, now: float) -> None:
        """Keep an agent, and drop those that have not asked for long."""
        self._asked_at.pop(agent, None)
        self._asked_at[agent] = now
        self._services[agent] = service
        self._drop_old(now)

    def current(self, now: float) -> tuple[tuple[Endpoint, str], ...]:
        """Return the agents and the names of their services."""
        self._drop_old(now)
        return tuple(self._services.items())

    def _drop_old(self, now: float) -> None:
        # The agents are ordered by the time of their last request.
        while self._asked_at:
            oldest = next(iter(self._asked_at))
            if now - self._asked_at[oldest] <= REMEMBERED_S:
                return
            self._asked_at.pop(oldest)
            self._services.pop(oldest)
