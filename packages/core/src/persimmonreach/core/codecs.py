"""Decoding of JSON that other writers may have written.

Each value is decoded as a declared type, whose fields have bounds. A value of another
type, out of range or nested too deeply raises ``ContentError`` and nothing else, so that
one malformed entry cannot end the task that reads it.
"""

from collections.abc import Iterator
from typing import Annotated, Any, Final, Generic, TypeVar

import msgspec

# Some JSON writers represent larger integers inexactly (RFC 8259, section 6).
MAX_INTEGER: Final = 0x1FFFFFFFFFFFFF
# Limit of rates, weights and durations in seconds; 31 years in seconds.
MAX_QUANTITY: Final = 1e9
MAX_PORT: Final = 65_535
# The store limits keys, of which names are parts, to 200 bytes.
_MAX_NAME_LENGTH: Final = 200
_OCTET: Final = '(25[0-5]|2[0-4][0-9]|1[0-9][0-9]|[1-9]?[0-9])'

Count = Annotated[int, msgspec.Meta(ge=0, le=MAX_INTEGER)]
Quantity = Annotated[float, msgspec.Meta(ge=0, le=MAX_QUANTITY)]
Port = Annotated[int, msgspec.Meta(ge=1, le=MAX_PORT)]
Name = Annotated[str, msgspec.Meta(min_length=1, max_length=_MAX_NAME_LENGTH)]
# A host name would need a resolver, which instances do not have.
IpAddress = Annotated[
    str, msgspec.Meta(pattern=rf'\A{_OCTET}\.{_OCTET}\.{_OCTET}\.{_OCTET}\Z')
]

Content = TypeVar('Content')


class ContentError(ValueError):
    """Content is not JSON, or has a field of another type or out of range."""


class JsonDecoder(Generic[Content]):
    """Decoder of JSON content of one type.

    Parameters
    ----------
    content_type
        Type of the content; its ``TypedDict`` types ignore unknown fields.

    """

    def __init__(self, content_type: Any) -> None:
        self._decoder = msgspec.json.Decoder(content_type)

    def decode(self, content: bytes) -> Content:
        """Return the decoded content.

        Raises
        ------
        ContentError
            If the content is not JSON, or has a field of another type or out of range.

        """
        try:
            return self._decoder.decode(content)
        except (ValueError, RecursionError) as error:
            raise ContentError(str(error)) from error


def is_endpoint(host: object, port: object) -> bool:
    """Return whether a host and a port are an IPv4 address and a valid port."""
    try:
        msgspec.convert((host, port), tuple[IpAddress, Port])
    except ValueError:
        return False
    return True


def iterate_tuples(message: object) -> Iterator[tuple[Any, ...]]:
    """Yield a message and all tuples in it, at any depth."""
    if isinstance(message, tuple):
        yield message
        for field in message:
            yield from iterate_tuples(field)
