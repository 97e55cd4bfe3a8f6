"""Guards against undeclared exceptions of decoders on malformed or hostile input."""

import time
from contextlib import suppress
from typing import Any

import msgspec
import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from persimmonreach.core import Endpoint, FindingsError
from persimmonreach.daemon._settings import AgentSettings, EntrySettings
from persimmonreach.daemon._settings_reader import convert_settings
from persimmonreach.daemon._wire import make_codec
from persimmonreach.discovery import PeerMembership, RegisteredAgent
from persimmonreach.packets import ACK, PSH, Ipv4TcpCodec, PacketError, Segment
from persimmonreach.packets.builder import FlowEndpoints, build_inbound, pack_flow_key
from persimmonreach.runtime import AuthenticationError, MessageDecodeError, SharedKey
from persimmonreach.runtime.signed import _compute_tag
from persimmonreach.standins._frame_types import FRAME_TYPES
from persimmonreach.standins._frames import FrameError, MsgpackFrameCodec

SHARED_KEY = SharedKey(1, bytes(16))
CODEC = make_codec([SHARED_KEY])
TYPE_NUMBERS = sorted(CODEC._decoders)
PACKET_CODEC = Ipv4TcpCodec()
FRAME_CODEC = MsgpackFrameCodec()
FLOW_ENDPOINTS = FlowEndpoints(Endpoint('10.0.0.9', 40000), Endpoint('10.9.0.1', 443))
PACKET = build_inbound(pack_flow_key(FLOW_ENDPOINTS), Segment(PSH | ACK, payload=b'abc'))

# Messages name addresses to which the receiver sends, so a codec rejects all others.
st.register_type_strategy(
    Endpoint,
    st.builds(
        Endpoint,
        st.ip_addresses(v=4).map(str),
        st.integers(min_value=1, max_value=65_535),
    ),
)
msgpack_scalars = (
    st.none()
    | st.booleans()
    | st.integers(-(2**63), 2**64 - 1)
    | st.floats()
    | st.text(max_size=6)
    | st.binary(max_size=20)
)
msgpack_values = st.recursive(
    msgpack_scalars,
    lambda children: (
        st.lists(children, max_size=6)
        | st.dictionaries(st.text(max_size=4), children, max_size=3)
    ),
    max_leaves=20,
)
message_bodies = (
    st.binary(max_size=200)
    | msgpack_values.map(msgspec.msgpack.encode)
    # Strings that are not UTF-8, and arrays nested too deeply.
    | st.binary(max_size=9).map(lambda raw: bytes((0x91, 0xA0 + len(raw))) + raw)
    | st.integers(1, 3000).map(lambda depth: b'\x91' * depth)
)


def make_authenticated_datagram(number: int, body: bytes) -> bytes:
    """Return a datagram with a valid authentication tag and an arbitrary body."""
    content = time.time_ns().to_bytes(8) + bytes((number,)) + body
    return (
        bytes((SHARED_KEY.key_id,)) + _compute_tag(content, SHARED_KEY.secret) + content
    )


@pytest.mark.parametrize('number', TYPE_NUMBERS)
@settings(derandomize=True, max_examples=25)
@given(body=message_bodies)
def test_authenticated_datagrams_raise_only_decode_errors(
    number: int, body: bytes
) -> None:
    with suppress(MessageDecodeError):
        CODEC.decode(make_authenticated_datagram(number, body))


@pytest.mark.parametrize('number', TYPE_NUMBERS)
@settings(derandomize=True, max_examples=8)
@given(data=st.data())
def test_messages_with_one_wrong_field_are_rejected_or_have_declared_types(
    number: int, data: st.DataObject
) -> None:
    message_type = CODEC._decoders[number].type
    message = data.draw(st.from_type(message_type))
    try:
        content = msgspec.msgpack.encode(message)
    except OverflowError:
        # The type allows integers that msgpack cannot encode.
        return
    decoded = CODEC.decode(make_authenticated_datagram(number, content))
    assert decoded == message or 'nan' in repr(message)
    fields = msgspec.msgpack.decode(content)
    if not fields:
        return
    fields[data.draw(st.integers(0, len(fields) - 1))] = data.draw(msgpack_values)
    with suppress(MessageDecodeError):
        changed = CODEC.decode(
            make_authenticated_datagram(number, msgspec.msgpack.encode(fields))
        )
        # An accepted message has the declared field types.
        msgspec.convert(
            msgspec.to_builtins(changed, builtin_types=(bytes,)),
            message_type,
            builtin_types=(bytes,),
        )


@pytest.mark.parametrize(
    'endpoint',
    [
        Endpoint('10.0.0.1', 0),
        Endpoint('10.0.0.1', 99_999),
        Endpoint('10.0.0.1', -1),
        Endpoint('10.0.0.256', 7000),
        Endpoint('entry.internal', 7000),
        Endpoint('', 7000),
    ],
)
def test_members_with_an_invalid_address_are_rejected(endpoint: Endpoint) -> None:
    """A socket raises errors other than OSError for such a port, and resolves a host
    name; either ends or blocks the task that sends to the member.
    """
    agent = RegisteredAgent('a', 's', 'z', endpoint)
    with pytest.raises(MessageDecodeError):
        CODEC.decode(CODEC.encode(PeerMembership((agent,), ())))


@settings(derandomize=True, max_examples=300)
@given(st.binary(max_size=80))
def test_unauthenticated_datagrams_are_rejected(raw: bytes) -> None:
    valid_datagram = make_authenticated_datagram(TYPE_NUMBERS[0], b'\x90')
    for datagram in (
        raw,
        valid_datagram[: len(raw)],
        b''.join((valid_datagram, raw, b'0')),
    ):
        with pytest.raises(MessageDecodeError):
            CODEC.decode(datagram)
    corrupted = bytearray(valid_datagram)
    corrupted[len(raw) % len(valid_datagram)] ^= 1
    with pytest.raises(AuthenticationError):
        CODEC.decode(bytes(corrupted))


@settings(derandomize=True, max_examples=500)
@given(
    st.lists(st.tuples(st.integers(0, 42), st.integers(0, 255)), max_size=6),
    message_bodies,
)
def test_corrupted_packets_give_a_payload_inside_the_packet(
    changes: list[tuple[int, int]], tail: bytes
) -> None:
    corrupted = bytearray(PACKET + tail)
    for offset, byte in changes:
        corrupted[offset] = byte
    with suppress(PacketError):
        header = PACKET_CODEC.read_inbound(bytes(corrupted))
        assert 40 <= header.payload_offset
        assert header.payload_offset + header.payload_size <= len(corrupted)
        assert len(header.key) == 13


@pytest.mark.parametrize('number', [*FRAME_TYPES, 0, 200])
@settings(derandomize=True, max_examples=100)
@given(body=message_bodies)
def test_frames_raise_only_frame_errors(number: int, body: bytes) -> None:
    with suppress(FrameError):
        frame = FRAME_CODEC.decode(b''.join((b'\xf7PR1', bytes((number,)), body)))
        assert isinstance(frame, FRAME_TYPES[number])


VALID_ENTRY = {
    'instance': 'entry-1',
    'zone': 'a',
    'host': '127.0.0.1',
    'store': {'host': '127.0.0.1', 'port': 1},
    'keys': [{'key_id': 1, 'secret': '00' * 16}],
}
VALID_AGENT = {
    'instance': 'agent-1',
    'zone': 'a',
    'service': 's',
    'host': '127.0.0.1',
    'backend': {'host': '127.0.0.1', 'port': 1, 'http_port': 2},
    'fabric': {'host': '127.0.0.1', 'port': 1},
    'seeds': [{'host': '127.0.0.1', 'port': 1}],
    'keys': [{'key_id': 1, 'secret': '00' * 16}],
}
json_values = st.recursive(
    st.none()
    | st.booleans()
    | st.integers()
    | st.floats(allow_nan=False)
    | st.text(max_size=5),
    lambda children: (
        st.lists(children, max_size=3)
        | st.dictionaries(
            st.sampled_from(['host', 'port', 'http_port', 'key_id', 'secret', 'x']),
            children,
            max_size=4,
        )
    ),
    max_leaves=8,
)


@pytest.mark.parametrize(
    ('valid', 'settings_type'),
    [(VALID_ENTRY, EntrySettings), (VALID_AGENT, AgentSettings)],
)
@settings(derandomize=True, max_examples=150)
@given(data=st.data())
def test_settings_raise_only_findings(
    valid: dict[str, Any], settings_type: type, data: st.DataObject
) -> None:
    field_names = [*settings_type._fields, 'unknown']
    changes = data.draw(
        st.dictionaries(st.sampled_from(field_names), json_values, min_size=1, max_size=3)
    )
    try:
        convert_settings({**valid, **changes}, 'x.json', settings_type)
    except FindingsError as error:
        assert all(finding.source == 'x.json' for finding in error.findings)
        assert all(finding.path.startswith('$') for finding in error.findings)
