"""Messages that replicate zone overrides between entry instances."""

from types import MappingProxyType
from typing import Final, NamedTuple

from persimmonreach.rules import ZoneState


class ZoneOverrides(NamedTuple):
    """Overrides that the sender has not read back from the store yet.

    Attributes
    ----------
    states
        Latest override of each zone, unless the configuration head that the sender
        last read holds that override or a later change of the zone.

    """

    states: tuple[ZoneState, ...]


MESSAGE_TYPES: Final = MappingProxyType({80: ZoneOverrides})
