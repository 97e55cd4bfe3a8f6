"""Guards against messages that the codec cannot carry or that exceed a datagram."""

from persimmonreach.packets import RequestFrame
from persimmonreach.requests import (
    PART_BYTES,
    CancelElsewhere,
    Ending,
    RunElsewhere,
    RunOutcome,
)
from persimmonreach.requests.messages import MESSAGE_TYPES
from persimmonreach.runtime import SharedKey, WireCodec


def test_messages_survive_the_codec_and_fit_into_a_datagram() -> None:
    codec = WireCodec(MESSAGE_TYPES, [SharedKey(1, bytes(16))])
    key, request_id, agent = bytes(37), bytes(16), 'a' * 32
    body = b'x' * PART_BYTES
    frame = RequestFrame(request_id, 2, True, 5000, b'body')
    for message in (
        RunElsewhere(7, agent, 1, key, frame),
        RunOutcome(agent, key, request_id, 2, Ending.ANSWERED, '', 0, 4096, body),
        CancelElsewhere(agent, key, request_id, 2),
    ):
        datagram = codec.encode(message)
        assert codec.decode(datagram) == message
        assert len(datagram) <= 1280
