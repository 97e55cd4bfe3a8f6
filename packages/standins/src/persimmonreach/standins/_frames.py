"""Encoding of frames inside packets."""

from abc import ABC, abstractmethod
from typing import Any, Final

import msgspec

from persimmonreach.standins._frame_types import FRAME_TYPES

# A payload without this prefix is opaque and passed through unchanged.
_MAGIC: Final = b'\xf7PR1'


class FrameError(ValueError):
    """A payload that claims to be a frame is malformed."""


class UnknownFrameError(FrameError):
    """A payload has the prefix of a frame of a type that is not known here."""


class FrameCodec(ABC):
    """Reads and writes frames."""

    @abstractmethod
    def encode(self, frame: Any) -> bytes:
        """Return the payload that carries ``frame``."""

    @abstractmethod
    def decode(self, payload: bytes) -> Any:
        """Return the frame in ``payload``, or None if it is opaque.

        Raises
        ------
        UnknownFrameError
            If the payload has the prefix of a frame and an unknown type.
        FrameError
            If the payload has the prefix of a frame and is malformed.

        """


class MsgpackFrameCodec(FrameCodec):
    """Frames as a prefix, a type byte and a msgpack array."""

    def __init__(self) -> None:
        self._encoder = msgspec.msgpack.Encoder()
        self._numbers = {
            frame_type: bytes((number,)) for number, frame_type in FRAME_TYPES.items()
        }
        self._decoders = {
            number: msgspec.msgpack.Decoder(type=frame_type)
            for number, frame_type in FRAME_TYPES.items()
        }

    def encode(self, frame: Any) -> bytes:
        """Return the payload that carries ``frame``."""
        return _MAGIC + self._numbers[type(frame)] + self._encoder.encode(frame)

    def decode(self, payload: bytes) -> Any:
        """Return the frame in ``payload``, or None if it is opaque."""
        if not payload.startswith(_MAGIC):
            return None
        number = payload[len(_MAGIC) : len(_MAGIC) + 1]
        if not number:
            raise FrameError('frame without a type')
        decoder = self._decoders.get(number[0])
        if decoder is None:
            raise UnknownFrameError('unknown frame type')
        try:
            return decoder.decode(payload[len(_MAGIC) + 1 :])
        except ValueError as error:
            raise FrameError(str(error)) from error
