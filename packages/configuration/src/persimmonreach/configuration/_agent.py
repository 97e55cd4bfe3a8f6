"""Configuration in force at an agent."""

from random import Random
from typing import Final

from persimmonreach.configuration._confirmation import Confirmation
from persimmonreach.configuration._events import AgentSettings, VersionOffered
from persimmonreach.configuration._head import (
    Snapshot,
    ZoneState,
    make_configuration,
    merge_zones,
)
from persimmonreach.configuration._model import (
    Configuration,
    ConfigurationChanged,
    EntriesChanged,
)
from persimmonreach.configuration.messages import ServicePull, ServicePush
from persimmonreach.core import (
    Action,
    Count,
    Endpoint,
    Event,
    Received,
    Send,
    StateMachine,
    Tick,
)

# Overrides of zones do not raise the version, so agents ask regularly; an
# entry instance with 8 agents answers 4 small messages/s.
PULL_S: Final = 2
# Ten times the round trip between zones, doubled for delay variation.
RETRY_S: Final = 0.5


class AgentConfiguration(StateMachine):
    """Keeps the service of an agent and the states of the zones current.

    Events: ``Tick``, ``Received``, ``VersionOffered``, ``EntriesChanged``.
    Actions: ``Send``, ``ConfigurationChanged``, ``Count``.

    Parameters
    ----------
    settings
        Settings of this agent.
    random
        Source of the choice of entry instances.

    """

    def __init__(self, settings: AgentSettings, random: Random) -> None:
        self._settings = settings
        self._random = random
        self._endpoints = settings.endpoints
        self._snapshot = Snapshot()
        self._confirmation = Confirmation()
        self._pull_at: float = 0

    @property
    def configuration(self) -> Configuration:
        """Configuration in force: the own service and all zones."""
        return make_configuration(self._snapshot)

    def age(self, now: float) -> float:
        """Return the seconds since the version was confirmed."""
        return self._confirmation.age(now)

    def is_stale(self, now: float) -> bool:
        """Whether a newer version may have been in force for long."""
        return self._confirmation.is_stale(now)

    def handle(self, event: Event, now: float) -> tuple[Action, ...]:
        """Return the actions that ``event`` causes."""
        if isinstance(event, Tick):
            return self._on_tick(now)
        if isinstance(event, VersionOffered):
            return self._on_version_offered(event, now)
        if isinstance(event, EntriesChanged):
            self._endpoints = tuple(row.endpoint for row in event.entries)
            return ()
        if isinstance(event, Received) and isinstance(event.message, ServicePush):
            return self._on_push(event.message, now)
        return (Count('configuration_unknown_event'),)

    def _on_tick(self, now: float) -> tuple[Action, ...]:
        endpoints = self._endpoints or self._settings.endpoints
        if now < self._pull_at or not endpoints:
            return ()
        return self._pull(self._random.choice(endpoints), now)

    def _on_version_offered(
        self,
        event: VersionOffered,
        now: float,
    ) -> tuple[Action, ...]:
        if event.version <= self._snapshot.version:
            return ()
        return self._pull(event.endpoint, now)

    def _pull(self, endpoint: Endpoint, now: float) -> tuple[Action, ...]:
        # Until an answer has arrived, another entry instance is asked soon.
        self._pull_at = now + RETRY_S
        pull = ServicePull(self._settings.service, self._snapshot.version)
        return (Send(endpoint, pull),)

    def _on_push(self, push: ServicePush, now: float) -> tuple[Action, ...]:
        present = self._snapshot
        if push.version < present.version and self._settings.enforce_version_order:
            # The entry instance is behind; another one is asked soon.
            return (Count('configuration_older_versions_refused'),)
        if push.unchanged and push.version != present.version:
            return (Count('configuration_answers_for_predecessor'),)
        self._pull_at = now + PULL_S
        if push.version == present.version:
            self._confirmation.improve(push.age_ms, now)
            zones = merge_zones(present.zones, push.zones)
            return self._take(present._replace(zones=zones))
        self._confirmation = Confirmation()
        self._confirmation.improve(push.age_ms, now)
        services = () if push.service is None else (push.service,)
        zones = self._merged(push.zones)
        return self._take(Snapshot(push.version, services, zones))

    def _merged(self, zones: tuple[ZoneState, ...]) -> tuple[ZoneState, ...]:
        """Return newer zones with later overrides that are known here."""
        return merge_zones(zones, self._snapshot.zones)

    def _take(self, snapshot: Snapshot) -> tuple[Action, ...]:
        before = self.configuration
        self._snapshot = snapshot
        if self.configuration == before:
            return ()
        return (ConfigurationChanged(self.configuration),)
