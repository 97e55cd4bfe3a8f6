"""Promises that are checked after every tick."""

from __future__ import annotations

from collections import Counter
from typing import TYPE_CHECKING

from persimmonreach.core import BucketId
from persimmonreach.proof._settings import IN_FORCE_S

if TYPE_CHECKING:
    from persimmonreach.proof._world import World


class Invariants:
    """Checks the state of all nodes.

    Parameters
    ----------
    world
        Deployment to check.

    """

    def __init__(self, world: World) -> None:
        self._world = world

    def check(self) -> None:
        """Record the promises that are broken now."""
        self._check_admission()
        self._check_versions()

    def admitting(self, service: str) -> Counter[BucketId]:
        """Return the number of agents that admit new flows by bucket."""
        now = self._world.now
        return Counter(
            bucket
            for agent in self._world.agents.values()
            if agent.is_well and agent.service == service and agent.ownership
            for bucket in agent.ownership.owned
            if agent.ownership.admits(bucket, now)
        )

    def _check_admission(self) -> None:
        for service in ('counter', 'sheet'):
            for bucket, agents in self.admitting(service).items():
                if agents > 1:
                    detail = f'{agents} agents admit in bucket {bucket} of {service}'
                    self._world.journal.breaks('one_agent_admits', detail)

    def _check_versions(self) -> None:
        world = self._world
        for version, at in world.accepted:
            for node in world.nodes:
                since = max(at, node.present_since, world.journal.deaf_until)
                is_due = node.is_well and world.now > since + IN_FORCE_S
                if is_due and node.configuration.version < version:
                    detail = f'{node.name} lacks version {version}'
                    world.journal.breaks('in_force_in_time', detail)
