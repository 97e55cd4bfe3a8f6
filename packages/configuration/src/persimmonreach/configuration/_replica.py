"""A node's copy of the configuration, with overrides on top."""

from typing import Any

from persimmonreach.configuration._head import (
    Head,
    Snapshot,
    ZoneState,
    make_configuration,
    merge_zones,
)
from persimmonreach.configuration._model import Configuration, ServiceConfig
from persimmonreach.configuration._replication import Delta, VersionedTable
from persimmonreach.configuration._transfer import Transferred, serve_config
from persimmonreach.configuration.messages import ConfigPull, ConfigPush
from persimmonreach.core import ServiceId, Zone


class ConfigReplica:
    """Copy of one version of the configuration, and later zone changes.

    Parameters
    ----------
    enforce_order
        Whether only higher versions are taken over.

    """

    def __init__(self, enforce_order: bool) -> None:
        self._enforce_order = enforce_order
        self._table = VersionedTable(_service_of)
        self._head_zones: tuple[ZoneState, ...] = ()
        self._overrides: dict[Zone, ZoneState] = {}
        self._digest = Snapshot().digest

    @property
    def version(self) -> int:
        """Version of the head in force."""
        return self._table.version

    @property
    def digest(self) -> int:
        """Hash of the configuration without overrides."""
        return self._digest

    @property
    def zones(self) -> tuple[ZoneState, ...]:
        """States of the zones with overrides applied."""
        return merge_zones(self._head_zones, self.overrides)

    @property
    def overrides(self) -> tuple[ZoneState, ...]:
        """Changes of zones that the head does not hold yet."""
        return tuple(self._overrides[zone] for zone in sorted(self._overrides))

    @property
    def configuration(self) -> Configuration:
        """Configuration in force."""
        return make_configuration(self._snapshot, self.overrides)

    @property
    def _snapshot(self) -> Snapshot:
        return Snapshot(self.version, self._table.rows, self._head_zones)

    def find(self, name: str) -> ServiceConfig | None:
        """Return the service with this name."""
        named = (row for row in self._table.rows if row.name == name)
        return next(named, None)

    def accepts(self, version: int) -> bool:
        """Whether a configuration of ``version`` may replace the present one."""
        if self._enforce_order:
            return version > self.version
        return version != self.version

    def load(self, head: Head, services: tuple[ServiceConfig, ...]) -> bool:
        """Take over what was read from the store; return whether it is news."""
        if not self.accepts(head.version):
            return False
        return self._take(head.version, head.zones, Delta(0, (), services))

    def fits(self, done: Transferred) -> bool:
        """Whether a transfer leads to the content that the peer has."""
        first: ConfigPush = done.pushes[0]
        rows = self._table.preview(done.delta)
        return Snapshot(done.version, rows, first.zones).digest == first.digest

    def apply(self, done: Transferred) -> bool:
        """Take over a transfer from a peer; return whether it is news."""
        fits = done.delta.since in {0, self.version}
        if not fits or not self.accepts(done.version):
            return False
        first: ConfigPush = done.pushes[0]
        return self._take(done.version, first.zones, done.delta)

    def override(self, changes: tuple[ZoneState, ...]) -> bool:
        """Apply changes of zones; return whether one was news."""
        before = self._overrides
        pending = (*self.overrides, *changes)
        latest = merge_zones(self._head_zones, pending)
        self._overrides = {
            state.zone: state for state in latest if state not in self._head_zones
        }
        return self._overrides != before

    def next_sequence(self, zone: Zone, wall_ms: int) -> int:
        """Return a sequence above every known one; 0 if ``zone`` is unknown."""
        for state in self.zones:
            if state.zone == zone:
                return max(wall_ms, state.sequence + 1)
        return 0

    def serve(self, pull: ConfigPull) -> list[ConfigPush]:
        """Return the chunks that answer a peer."""
        return serve_config(self._table, self._head_zones, self._digest, pull)

    def _take(self, version: int, zones: tuple[ZoneState, ...], delta: Delta) -> bool:
        self._table.apply(version, delta)
        self._head_zones = zones
        self._digest = self._snapshot.digest
        # Drops the overrides that the new head holds or has overtaken.
        self.override(())
        return True


def _service_of(row: Any) -> ServiceId:
    return row.service
