"""State of an agent that several slices depend on."""

from typing import Final

from persimmonreach.configuration import ServiceConfig

# Looking through 1,230 flows takes 0.3 ms, which is half of an idle agent's
# processor time at 10 ticks/s. A silent flow ends at most this much later.
PROBING_PERIOD_S: Final = 0.5


class AgentState:
    """Declared service of an agent, and since when it takes no new work.

    Parameters
    ----------
    service
        Service of the backend server.

    """

    def __init__(self, service: ServiceConfig) -> None:
        self._service = service
        self._started_at: float | None = None
        # Whether the open flows of the backend server are known.
        self.is_adopted = False
        self._probing_at: float = 0

    @property
    def service(self) -> ServiceConfig:
        """Declaration of the service that is in force."""
        return self._service

    @property
    def is_draining(self) -> bool:
        """Whether draining has started."""
        return self._started_at is not None

    def configure(self, service: ServiceConfig) -> None:
        """Put a newer declaration of the service in force."""
        self._service = service

    def start_draining(self, now: float) -> bool:
        """Start draining; return False if it had started before."""
        if self._started_at is not None:
            return False
        self._started_at = now
        return True

    def is_probing_due(self, now: float) -> bool:
        """Return whether to look for silent flows; the next time is set."""
        if now < self._probing_at:
            return False
        self._probing_at = now + PROBING_PERIOD_S
        return True

    def is_past_deadline(self, now: float) -> bool:
        """Return whether the declared deadline of draining has passed."""
        deadline = self._service.drain_deadline_s
        if self._started_at is None or not deadline:
            return False
        return now - self._started_at > deadline
