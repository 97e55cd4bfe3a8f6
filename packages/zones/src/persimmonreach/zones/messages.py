"""Messages that spread overrides between entry instances."""

from types import MappingProxyType
from typing import Final, NamedTuple

from persimmonreach.rules import ZoneState


class ZoneOverrides(NamedTuple):
    """Changes of zones that were made without the store.

    Attributes
    ----------
    states
        Last change of each zone that the sender's head does not hold.

    """

    states: tuple[ZoneState, ...]


MESSAGE_TYPES: Final = MappingProxyType({80: ZoneOverrides})
