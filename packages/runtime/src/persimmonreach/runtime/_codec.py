"""Encoding and authentication of messages between own processes."""

import hmac
from collections.abc import Mapping, Sequence
from hashlib import blake2b
from typing import Any, Final, NamedTuple

import msgspec

_TAG_BYTES: Final = 16
_HEADER_BYTES: Final = 2 + _TAG_BYTES


class WireError(ValueError):
    """A datagram is not a well-formed message."""


class EnvelopeError(WireError):
    """A datagram does not carry a valid authentication tag."""


class SharedKey(NamedTuple):
    """Key that authenticates messages between own processes.

    Attributes
    ----------
    key_id
        Number from 0 to 255 that names the key in the envelope.
    secret
        16 to 64 bytes.

    """

    key_id: int
    secret: bytes


class WireCodec:
    """Encodes message types as datagrams and back.

    A datagram is: key id (1 byte), keyed BLAKE2 tag (16 bytes), message type
    (1 byte), msgpack array of the message's fields.

    Parameters
    ----------
    message_types
        Message type by its number on the wire, from 0 to 255.
    keys
        Keys in force. The first one signs; all of them verify, so that two
        keys can be in force during a rotation.

    """

    def __init__(
        self,
        message_types: Mapping[int, type],
        keys: Sequence[SharedKey],
    ) -> None:
        self._encoder = msgspec.msgpack.Encoder()
        self._numbers = {
            message_type: bytes((number,))
            for number, message_type in message_types.items()
        }
        self._decoders = {
            number: msgspec.msgpack.Decoder(type=message_type)
            for number, message_type in message_types.items()
        }
        self._signing_id = bytes((keys[0].key_id,))
        self._signing_secret = keys[0].secret
        self._secrets = {key.key_id: key.secret for key in keys}

    def encode(self, message: Any) -> bytes:
        """Return ``message`` as an authenticated datagram."""
        body = self._numbers[type(message)] + self._encoder.encode(message)
        return self._signing_id + _tag(self._signing_secret, body) + body

    def decode(self, datagram: bytes) -> Any:
        """Return the message in ``datagram``.

        Raises
        ------
        EnvelopeError
            If the key is unknown or the tag does not match.
        WireError
            If the type or a field is not as declared.

        """
        if len(datagram) < _HEADER_BYTES:
            raise WireError('datagram is shorter than its header')
        secret = self._secrets.get(datagram[0])
        body = datagram[_HEADER_BYTES - 1 :]
        if secret is None:
            raise EnvelopeError('datagram names an unknown key')
        tag = datagram[1 : _HEADER_BYTES - 1]
        if not hmac.compare_digest(_tag(secret, body), tag):
            raise EnvelopeError('authentication tag does not match')
        decoder = self._decoders.get(body[0])
        if decoder is None:
            raise WireError(f'unknown message type {body[0]}')
        try:
            return decoder.decode(body[1:])
        except msgspec.DecodeError as error:
            raise WireError(str(error)) from error


def _tag(secret: bytes, body: bytes) -> bytes:
    return blake2b(body, key=secret, digest_size=_TAG_BYTES).digest()
