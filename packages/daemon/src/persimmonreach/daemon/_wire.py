"""Codec for messages between the processes of the load balancer."""

from collections.abc import Mapping, Sequence
from types import MappingProxyType
from typing import Final

from persimmonreach.process import MESSAGE_TYPES
from persimmonreach.runtime import MAX_MESSAGE_WINDOW_S, SharedKey
from persimmonreach.runtime.signed import SignedCodec
from persimmonreach.zones.messages import MESSAGE_TYPES as ZONES_TYPES

ALL_MESSAGE_TYPES: Final = MappingProxyType({**MESSAGE_TYPES, **ZONES_TYPES})


def make_codec(
    keys: Sequence[SharedKey],
    message_window_s: float = MAX_MESSAGE_WINDOW_S,
    message_types: Mapping[int, type] = ALL_MESSAGE_TYPES,
) -> SignedCodec:
    """Return a codec that authenticates messages with the shared keys.

    Parameters
    ----------
    keys
        Keys in force; the first one signs.
    message_window_s
        Maximum difference in seconds between the local clock and the sender's time
        in a message.
    message_types
        Message types by their number on the wire.

    """
    return SignedCodec(message_types, keys, message_window_s)
