"""Zone overrides, which set the state of zones while the store is unavailable."""

from persimmonreach.zones._overrides import (
    OverrideRequested,
    OverrideTable,
    PersistOverrides,
)
from persimmonreach.zones.messages import ZoneOverrides

__all__ = ('OverrideRequested', 'OverrideTable', 'PersistOverrides', 'ZoneOverrides')
