"""Encoding of frames in the payloads of packets."""

from abc import ABC, abstractmethod
from typing import Any, Final

import msgspec

from persimmonreach.standins._frame_types import FRAME_TYPES

# A payload without this prefix is opaque: it is not decoded.
_FRAME_PREFIX: Final = b'\xf7PR1'


class FrameError(ValueError):
    """A payload has the prefix of a frame and is malformed."""


class UnknownFrameError(FrameError):
    """A payload has the prefix of a frame and an unknown frame type."""


class FrameCodec(ABC):
    """Encodes and decodes frames."""

    @abstractmethod
    def encode(self, frame: Any) -> bytes:
        """Return the payload that carries ``frame``."""

    @abstractmethod
    def decode(self, payload: bytes) -> Any:
        """Return the frame in ``payload``; None if it is opaque.

        Raises
        ------
        UnknownFrameError
            If the payload has the prefix of a frame and an unknown frame type.
        FrameError
            If the payload has the prefix of a frame and is malformed.

        """


class MsgpackFrameCodec(FrameCodec):
    """Encodes a frame as a prefix, a byte with its type and a msgpack array."""

    def __init__(self) -> None:
        self._encoder = msgspec.msgpack.Encoder()
        self._type_bytes = {
            frame_type: bytes((number,)) for number, frame_type in FRAME_TYPES.items()
        }
        self._decoders = {
            number: msgspec.msgpack.Decoder(type=frame_type)
            for number, frame_type in FRAME_TYPES.items()
        }

    def encode(self, frame: Any) -> bytes:
        """Return the payload that carries ``frame``."""
        return _FRAME_PREFIX + self._type_bytes[type(frame)] + self._encoder.encode(frame)

    def decode(self, payload: bytes) -> Any:
        """Return the frame in ``payload``; None if it is opaque."""
        if not payload.startswith(_FRAME_PREFIX):
            return None
        type_byte = payload[len(_FRAME_PREFIX) : len(_FRAME_PREFIX) + 1]
        if not type_byte:
            raise FrameError('expected a frame type after the prefix, found nothing')
        decoder = self._decoders.get(type_byte[0])
        if decoder is None:
            raise UnknownFrameError('unknown frame type')
        try:
            return decoder.decode(payload[len(_FRAME_PREFIX) + 1 :])
        except ValueError as error:
            raise FrameError(str(error)) from error
