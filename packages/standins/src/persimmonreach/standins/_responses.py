"""Bodies of requests and responses, which let a caller check its response."""

from hashlib import sha256
from typing import Final

# A part fits in one datagram with all headers on links between availability zones.
PART_BYTES: Final = 1000
# The request body starts with the size of the response, in a field of this size.
_SIZE_FIELD_BYTES: Final = 2


def request_body(response_bytes: int, content: bytes) -> bytes:
    """Return the body of a request for a response of ``response_bytes``."""
    return response_bytes.to_bytes(_SIZE_FIELD_BYTES) + content


def response_body(request_id: bytes, body: bytes) -> bytes:
    """Return the only correct response: a repeated digest of the request."""
    size = int.from_bytes(body[:_SIZE_FIELD_BYTES])
    digest = sha256(request_id + body).digest()
    return (digest * (size // len(digest) + 1))[:size]


def split_response(response: bytes) -> list[bytes]:
    """Return the parts of a response; an empty one has one empty part."""
    starts = range(0, max(len(response), 1), PART_BYTES)
    return [response[start : start + PART_BYTES] for start in starts]
