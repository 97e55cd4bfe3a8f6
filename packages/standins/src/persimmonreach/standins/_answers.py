"""Content of requests and answers, which lets a caller check its answer."""

from hashlib import sha256
from typing import Final

# Small enough for one datagram with all headers on links between zones.
PART_BYTES: Final = 1000
_SIZE_BYTES: Final = 2


def request_body(answer_bytes: int, content: bytes) -> bytes:
    """Return a request body that asks for an answer of ``answer_bytes``."""
    return answer_bytes.to_bytes(_SIZE_BYTES) + content


def answer_to(request_id: bytes, body: bytes) -> bytes:
    """Return the only right answer: a repeated digest of the request."""
    size = int.from_bytes(body[:_SIZE_BYTES])
    digest = sha256(request_id + body).digest()
    return (digest * (size // len(digest) + 1))[:size]


def split_answer(answer: bytes) -> list[bytes]:
    """Return the parts of an answer, at least one."""
    starts = range(0, max(len(answer), 1), PART_BYTES)
    return [answer[start : start + PART_BYTES] for start in starts]
