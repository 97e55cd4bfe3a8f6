"""What an agent reports of itself."""

import math
from typing import Any

from persimmonreach.configuration import AgentConfiguration
from persimmonreach.core import Clock
from persimmonreach.daemon._settings import AgentSettings
from persimmonreach.observability.tasks import StatusSource
from persimmonreach.routing.tasks import FlowTask


class AgentStatusSource(StatusSource):
    """Readiness and status of an agent.

    Parameters
    ----------
    settings
        Settings of the agent.
    configuration
        Configuration in force.
    clock
        Source of the time.

    """

    def __init__(
        self,
        settings: AgentSettings,
        configuration: AgentConfiguration,
        clock: Clock,
    ) -> None:
        self._settings = settings
        self._configuration = configuration
        self._clock = clock
        self._flows: FlowTask | None = None

    def attach(self, flows: FlowTask) -> None:
        """Report the flows of this task as well."""
        self._flows = flows

    def is_ready(self) -> bool:
        """Return whether the agent takes new work."""
        if self._flows is None:
            return False
        router = self._flows.router
        return not router.is_draining and router.is_settled(self._clock.now())

    def status(self) -> dict[str, Any]:
        """Return the state of the agent as JSON values."""
        configuration = self._configuration.configuration
        report: dict[str, Any] = {
            'instance': self._settings.instance,
            'role': 'agent',
            'zone': self._settings.zone,
            'service': self._settings.service,
            'ready': self.is_ready(),
            'configuration_version': configuration.version,
            # JSON has no infinity, which stands for "never confirmed".
            'configuration_age_s': None if math.isinf(self.age()) else self.age(),
            'zones_out': sorted(configuration.zones_out),
        }
        if self._flows is not None:
            router = self._flows.router
            report.update(
                flows=router.flow_count,
                draining=router.is_draining,
                buckets_owned=router.owned_buckets,
            )
        return report

    def age(self) -> float:
        """Return the seconds since the version was confirmed to be current."""
        return round(self._configuration.age(self._clock.now()), 1)
