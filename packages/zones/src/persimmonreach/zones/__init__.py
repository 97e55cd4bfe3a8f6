"""Changes of zones that operators make while the store is away."""

from persimmonreach.zones._overrides import (
    AbsorbOverrides,
    OverrideSet,
    OverrideTable,
)
from persimmonreach.zones.messages import ZoneOverrides

__all__ = ('AbsorbOverrides', 'OverrideSet', 'OverrideTable', 'ZoneOverrides')
