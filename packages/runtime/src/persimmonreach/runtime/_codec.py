"""Encoding of messages between processes of the load balancer."""

from abc import ABC, abstractmethod
from collections.abc import Mapping
from typing import Any, ClassVar, Final, NamedTuple, get_args, get_type_hints

import msgspec

from persimmonreach.core import Endpoint
from persimmonreach.core.codecs import is_endpoint, iterate_tuples

# Upper limit of the accepted difference between the send time of a message and the
# clock of its receiver. A message is accepted for at most twice this time after it
# was sent, since the clock of its sender may be ahead by the whole window.
MAX_MESSAGE_WINDOW_S: Final = 5.0


class MessageDecodeError(ValueError):
    """A datagram is not a well-formed message.

    Attributes
    ----------
    counter
        Name of the metric that counts the datagrams rejected for this reason; each
        subclass has its own.

    """

    counter: ClassVar[str] = 'messages_malformed'


class AuthenticationError(MessageDecodeError):
    """A datagram does not carry a valid authentication tag."""

    counter: ClassVar[str] = 'messages_unauthenticated'


class OutOfWindowError(AuthenticationError):
    """The send time of a datagram is outside the accepted window.

    Either the datagram is too old, or the clocks of sender and receiver differ
    by too much.
    """

    counter: ClassVar[str] = 'messages_out_of_window'


class SharedKey(NamedTuple):
    """Key that authenticates messages between processes of the load balancer.

    Attributes
    ----------
    key_id
        Identifier of the key in the header of a datagram, from 0 to 255.
    secret
        Secret of 16 to 64 bytes.

    """

    key_id: int
    secret: bytes


class MessageDecoder:
    """Decoder of the messages of one type.

    Parameters
    ----------
    message_type
        Type of the messages.

    """

    def __init__(self, message_type: type) -> None:
        self.type = message_type
        self._decoder = msgspec.msgpack.Decoder(type=message_type)
        # Packets and most other messages carry no address, so the check costs nothing.
        self._has_endpoints = _contains_endpoint(message_type)

    def decode(self, content: bytes | memoryview) -> Any:
        """Return the message in ``content``.

        Raises
        ------
        MessageDecodeError
            If a field has the wrong type, or an address is not valid.

        """
        try:
            message = self._decoder.decode(content)
        except (ValueError, RecursionError) as error:
            raise MessageDecodeError(str(error)) from error
        if self._has_endpoints:
            _check_endpoints(message)
        return message


def make_decoders(message_types: Mapping[int, type]) -> dict[int, MessageDecoder]:
    """Return the decoder of each message type, by its number on the wire."""
    return {
        type_number: MessageDecoder(message_type)
        for type_number, message_type in message_types.items()
    }


def _contains_endpoint(field_type: Any) -> bool:
    if field_type is Endpoint:
        return True
    nested_types = list(get_args(field_type))
    if hasattr(field_type, '_fields'):
        nested_types.extend(get_type_hints(field_type).values())
    return any(_contains_endpoint(nested_type) for nested_type in nested_types)


def _check_endpoints(message: Any) -> None:
    """Reject addresses that a socket cannot send to.

    Raises
    ------
    MessageDecodeError
        If an address of the message is not an IPv4 address with a valid port.

    """
    for fields in iterate_tuples(message):
        if isinstance(fields, Endpoint) and not is_endpoint(*fields):
            raise MessageDecodeError(f'{fields} is not an address with a port')


class MessageCodec(ABC):
    """Encodes messages as datagrams and decodes datagrams."""

    @abstractmethod
    def authentication_tag(self, datagram: bytes) -> bytes | None:
        """Return the tag that identifies a datagram; None if there are no tags."""

    @abstractmethod
    def encode(self, message: Any) -> bytes:
        """Return ``message`` as a datagram."""

    @abstractmethod
    def decode(self, datagram: bytes) -> Any:
        """Return the message in ``datagram``.

        Raises
        ------
        MessageDecodeError
            If the datagram is not a valid message.

        """


class PlainCodec(MessageCodec):
    """Codec without authentication, for a network that admits no other senders.

    A datagram consists of the message type (1 byte) and a msgpack array of the
    fields of the message.

    Parameters
    ----------
    message_types
        Message types by their number on the wire, from 0 to 255.

    """

    def __init__(self, message_types: Mapping[int, type]) -> None:
        self._encoder = msgspec.msgpack.Encoder()
        self._encoded_type_numbers = {
            message_type: bytes((type_number,))
            for type_number, message_type in message_types.items()
        }
        self._decoders = make_decoders(message_types)

    def authentication_tag(self, datagram: bytes) -> None:
        """Return None: datagrams carry no tags."""

    def encode(self, message: Any) -> bytes:
        """Return ``message`` as a datagram."""
        return self._encoded_type_numbers[type(message)] + self._encoder.encode(message)

    def decode(self, datagram: bytes) -> Any:
        """Return the message in ``datagram``.

        Raises
        ------
        MessageDecodeError
            If the message type is unknown or a field has the wrong type.

        """
        decoder = self._decoders.get(datagram[0]) if datagram else None
        if decoder is None:
            raise MessageDecodeError('datagram is empty or has an unknown message type')
        return decoder.decode(memoryview(datagram)[1:])
