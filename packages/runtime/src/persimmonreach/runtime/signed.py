"""Codec that authenticates the messages between processes of the load balancer.

It is separate from the other codecs because it loads the cryptographic libraries.
"""

import hmac
import time
from collections.abc import Callable, Mapping, Sequence
from hashlib import blake2b
from struct import Struct
from typing import Any, Final

import msgspec

from persimmonreach.runtime._codec import (
    MAX_MESSAGE_WINDOW_S,
    AuthenticationError,
    MessageCodec,
    MessageDecodeError,
    OutOfWindowError,
    SharedKey,
    make_decoders,
)

_TAG_BYTES: Final = 16
_TAG_SLICE: Final = slice(1, 1 + _TAG_BYTES)
# Send time in nanoseconds and message type.
_SIGNED_HEADER: Final = Struct('!QB')
_BODY_OFFSET: Final = _TAG_SLICE.stop + _SIGNED_HEADER.size
_NS_PER_S: Final = 1_000_000_000


class SignedCodec(MessageCodec):
    """Codec whose datagrams carry a send time and an authentication tag.

    A datagram consists of the key id (1 byte), a keyed BLAKE2b tag (16 bytes),
    the wall clock of the sender in nanoseconds (8 bytes), the message type
    (1 byte) and a msgpack array of the fields of the message. The tag covers
    everything after it.

    Parameters
    ----------
    message_types
        Message types by their number on the wire, from 0 to 255.
    keys
        Accepted keys. The first one signs; all of them verify, so that two keys
        can be in use during a rotation.
    window_s
        Maximum difference in seconds between the send time of a datagram and the
        wall clock of the receiver.
    wall_clock
        Returns the Unix time in nanoseconds.

    """

    def __init__(
        self,
        message_types: Mapping[int, type],
        keys: Sequence[SharedKey],
        window_s: float = MAX_MESSAGE_WINDOW_S,
        wall_clock: Callable[[], int] = time.time_ns,
    ) -> None:
        self._encoder = msgspec.msgpack.Encoder()
        self._type_numbers = {
            message_type: type_number
            for type_number, message_type in message_types.items()
        }
        self._decoders = make_decoders(message_types)
        self._signing_key_id = bytes((keys[0].key_id,))
        self._signing_secret = keys[0].secret
        self._secrets = {key.key_id: key.secret for key in keys}
        self._window_ns = int(window_s * _NS_PER_S)
        self._wall_clock = wall_clock
        self._last_sent_ns = 0

    def authentication_tag(self, datagram: bytes) -> bytes:
        """Return the tag that identifies a datagram."""
        return datagram[_TAG_SLICE]

    def encode(self, message: Any) -> bytes:
        """Return ``message`` as an authenticated datagram."""
        # Each datagram gets a later send time than the one before, so that two
        # messages with the same content have different tags and a retransmission
        # is not rejected as a replay.
        self._last_sent_ns = max(self._last_sent_ns + 1, self._wall_clock())
        header = _SIGNED_HEADER.pack(
            self._last_sent_ns, self._type_numbers[type(message)]
        )
        signed_bytes = header + self._encoder.encode(message)
        return (
            self._signing_key_id
            + _compute_tag(signed_bytes, self._signing_secret)
            + signed_bytes
        )

    def decode(self, datagram: bytes) -> Any:
        """Return the message in ``datagram``.

        Raises
        ------
        AuthenticationError
            If the key is unknown or the tag does not match.
        OutOfWindowError
            If the send time is outside the window.
        MessageDecodeError
            If the datagram is too short, the message type is unknown or a field
            has the wrong type.

        """
        if len(datagram) < _BODY_OFFSET:
            raise MessageDecodeError('datagram is shorter than its header')
        secret = self._secrets.get(datagram[0])
        if secret is None:
            raise AuthenticationError('key id of the datagram is unknown')
        expected = _compute_tag(datagram[_TAG_SLICE.stop :], secret)
        if not hmac.compare_digest(expected, datagram[_TAG_SLICE]):
            raise AuthenticationError('authentication tag does not match the datagram')
        sent_ns, type_number = _SIGNED_HEADER.unpack_from(datagram, _TAG_SLICE.stop)
        if not -self._window_ns <= self._wall_clock() - sent_ns <= self._window_ns:
            raise OutOfWindowError('send time is outside the window of the receiver')
        decoder = self._decoders.get(type_number)
        if decoder is None:
            raise MessageDecodeError(f'unknown message type {type_number}')
        return decoder.decode(datagram[_BODY_OFFSET:])


def _compute_tag(signed_bytes: bytes, secret: bytes) -> bytes:
    return blake2b(signed_bytes, key=secret, digest_size=_TAG_BYTES).digest()
