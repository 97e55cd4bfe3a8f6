"""Decoding of the class of service of a route.

A malformed class field costs only itself: it gets its default, and the route keeps its
other fields.
"""

import re
from collections.abc import Iterator, Mapping
from types import MappingProxyType
from typing import Annotated, Final, NamedTuple, NotRequired, TypedDict

from msgspec import Meta, Raw

from persimmonreach.core.codecs import ContentError, JsonDecoder
from persimmonreach.rules import DEFAULT_CLASS, LOWEST_PRIORITY, TrafficClass

MS_PER_S: Final = 1000
_MAX_DURATION_MS: Final = 3_600_000
_PRIORITY: Final = 'priority'
_OBJECTIVE: Final = 'targetLatencyMs'
_TIMEOUT: Final = 'timeoutMs'
# Fields of a route are at this depth in the configuration: object, array, object.
_ROUTE_DEPTH: Final = 3
# The closing quote is optional, so that the time for an unterminated string is linear.
_TOKEN: Final = re.compile(
    rb'"(?:[^"\\]++|\\.)*+"?|[\[\]{},:]|[^\s"\[\]{},:]++', re.DOTALL
)
_NUMBER: Final = re.compile(rb'-?(?:0|[1-9][0-9]*+)(?:\.[0-9]++)?(?:[eE][+-]?[0-9]++)?')
_DEPTH_STEPS: Final = MappingProxyType({b'[': 1, b'{': 1, b']': -1, b'}': -1})
_EMPTY_VALUES: Final = MappingProxyType({b'[': b'[]', b'{': b'{}', b'"': b'""'})
_NO_VALUE: Final = b'null'

_Duration = Annotated[float, Meta(ge=1, le=_MAX_DURATION_MS)]

# Each field is decoded on its own, so that a malformed one does not reject the route.
ClassFields = TypedDict(
    'ClassFields',
    {
        'priority': NotRequired[Raw],
        'targetLatencyMs': NotRequired[Raw],
        'timeoutMs': NotRequired[Raw],
    },
)

_DECODERS: Final = MappingProxyType(
    {
        _PRIORITY: JsonDecoder[float](Annotated[int, Meta(ge=0, le=LOWEST_PRIORITY)]),
        _OBJECTIVE: JsonDecoder[float](_Duration),
        _TIMEOUT: JsonDecoder[float](_Duration),
    },
)
_QUOTED_NAMES: Final = frozenset(f'"{name}"'.encode() for name in _DECODERS)


class DecodedClass(NamedTuple):
    """Class of a route, and one problem for each field that has its default instead."""

    traffic_class: TrafficClass
    problems: tuple[str, ...] = ()


def decode_class(fields: Mapping[str, object]) -> DecodedClass:
    """Decode the class fields of a route.

    A route without any of the fields declares no class, which is no problem.

    Parameters
    ----------
    fields
        All fields of the route; the values of the class fields are raw JSON.

    """
    if _DECODERS.keys().isdisjoint(fields):
        return DecodedClass(DEFAULT_CLASS)
    numbers: dict[str, float] = {}
    problems: list[str] = []
    for name, decoder in _DECODERS.items():
        raw = fields.get(name)
        if not isinstance(raw, Raw):
            problems.append(f'{name} is missing; the default is used')
            continue
        try:
            numbers[name] = decoder.decode(bytes(raw))
        except ContentError as error:
            problems.append(f'{name}: {error}; the default is used')
    traffic_class = TrafficClass(
        int(numbers.get(_PRIORITY, DEFAULT_CLASS.priority)),
        numbers.get(_OBJECTIVE, 0) / MS_PER_S,
        numbers.get(_TIMEOUT, 0) / MS_PER_S,
    )
    return DecodedClass(traffic_class, tuple(problems))


def empty_class_fields(content: bytes) -> bytes:
    """Return a configuration whose class fields hold only numbers and empty values.

    The JSON decoder rejects the whole content because of a deeply nested value, an
    unpaired surrogate or a number like NaN, also in a field that it does not decode.
    """
    kept: list[bytes] = []
    position = 0
    for start, end in _find_odd_values(content):
        first_byte = content[start : start + 1]
        kept.extend((content[position:start], _EMPTY_VALUES.get(first_byte, _NO_VALUE)))
        position = end
    kept.append(content[position:])
    return b''.join(kept)


def _find_odd_values(content: bytes) -> Iterator[tuple[int, int]]:
    """Yield start and end of each value of a class field that is not a number."""
    depth = 0
    tokens = _TOKEN.finditer(content)
    previous_token = b''
    is_value_next = False
    for match in tokens:
        token = match.group()
        if is_value_next and not _NUMBER.fullmatch(token):
            yield match.start(), _find_end(match, tokens)
        else:
            depth += _DEPTH_STEPS.get(token, 0)
        is_value_next = (
            token == b':' and depth == _ROUTE_DEPTH and previous_token in _QUOTED_NAMES
        )
        previous_token = token


def _find_end(first: re.Match[bytes], tokens: Iterator[re.Match[bytes]]) -> int:
    """Return the end of the value that starts with ``first``."""
    depth = _DEPTH_STEPS.get(first.group(), 0)
    end = first.end()
    while depth > 0:
        match = next(tokens, None)
        if match is None:
            return end
        depth += _DEPTH_STEPS.get(match.group(), 0)
        end = match.end()
    return end
