"""Wire messages of all slices with their numbers."""

from collections.abc import Sequence

from persimmonreach.admission.messages import MESSAGE_TYPES as ADMISSION_TYPES
from persimmonreach.configuration.messages import MESSAGE_TYPES as CONFIGURATION_TYPES
from persimmonreach.membership.messages import MESSAGE_TYPES as MEMBERSHIP_TYPES
from persimmonreach.ownership.messages import MESSAGE_TYPES as OWNERSHIP_TYPES
from persimmonreach.packets.messages import MESSAGE_TYPES as PACKET_TYPES
from persimmonreach.requests.messages import MESSAGE_TYPES as REQUEST_TYPES
from persimmonreach.runtime import SharedKey, WireCodec

_SLICES = (
    PACKET_TYPES,
    MEMBERSHIP_TYPES,
    OWNERSHIP_TYPES,
    ADMISSION_TYPES,
    REQUEST_TYPES,
    CONFIGURATION_TYPES,
)


def make_codec(keys: Sequence[SharedKey]) -> WireCodec:
    """Return a codec for the messages of all slices.

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
    return WireCodec(types, keys)
