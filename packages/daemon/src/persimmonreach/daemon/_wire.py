"""Wire messages of all slices with their numbers."""

from collections.abc import Sequence

from persimmonreach.admission.messages import MESSAGE_TYPES as ADMISSION_TYPES
from persimmonreach.configuration.messages import MESSAGE_TYPES as CONFIGURATION_TYPES
from persimmonreach.membership.messages import MESSAGE_TYPES as MEMBERSHIP_TYPES
from persimmonreach.ownership.messages import MESSAGE_TYPES as OWNERSHIP_TYPES
from persimmonreach.packets.messages import MESSAGE_TYPES as PACKET_MESSAGE_TYPES
from persimmonreach.requests.messages import MESSAGE_TYPES as REQUEST_TYPES
from persimmonreach.runtime import LARGEST_WINDOW_S, SharedKey, WireCodec

_SLICES = (
    PACKET_MESSAGE_TYPES,
    MEMBERSHIP_TYPES,
    OWNERSHIP_TYPES,
    ADMISSION_TYPES,
    REQUEST_TYPES,
    CONFIGURATION_TYPES,
)

# Message types that carry packets of callers.
PACKET_TYPES = frozenset(PACKET_MESSAGE_TYPES.values())


def make_codec(
    keys: Sequence[SharedKey],
    window_s: float = LARGEST_WINDOW_S,
) -> WireCodec:
    """Return a codec for the messages of all slices.

    Parameters
    ----------
    keys
        Keys in force; the first one signs.
    window_s
        Largest age of a message in seconds.

    Raises
    ------
    ValueError
        If two slices use the same number.

    """
    types: dict[int, type] = {}
    for message_types in _SLICES:
        taken = types.keys() & message_types.keys()
        if taken:
            raise ValueError(f'message numbers used twice: {sorted(taken)}')
        types.update(message_types)
    return WireCodec(types, keys, window_s)
