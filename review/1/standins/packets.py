"""Packets of the platform: the head of 32 bytes that PROTOCOL.md describes."""

import socket
import zlib
from struct import Struct
from typing import NamedTuple

SYN, ACK, FIN, RST, BOUNCED = 64, 2, 32, 4, 8
# seq, ack, len, sum, flags, pad, echo, dport, src, sport, dst
_HEAD = Struct('<IIHIBB4sHIHI')
HEAD_BYTES = _HEAD.size
_FLAGS_AT, _PAD_AT, _ECHO_AT = 14, 15, slice(16, 20)
# The key of the sum is not disclosed; the ends of these tests share one of their own.
_SUM_KEY = b'key of the review'


class Packet(NamedTuple):
    """A packet; ``src`` and ``dst`` are addresses as text."""

    src: str
    sport: int
    dst: str
    dport: int
    flags: int
    seq: int = 0
    ack: int = 0
    data: bytes = b''
    sum: int = 0

    def encode(self) -> bytes:
        """Return the datagram, with its keyed sum."""
        return self._pack(self._keyed_sum()) + self.data

    def has_valid_sum(self) -> bool:
        """Whether the sum is that of the fields."""
        return self.sum == self._keyed_sum()

    def _pack(self, keyed_sum: int) -> bytes:
        return _HEAD.pack(
            self.seq, self.ack, len(self.data), keyed_sum, self.flags & ~BOUNCED, 0,
            bytes(4), self.dport, _to_int(self.src), self.sport, _to_int(self.dst),
        )

    def _keyed_sum(self) -> int:
        return zlib.crc32(_SUM_KEY + self._pack(0) + self.data)


def decode(datagram: bytes) -> Packet:
    """Return the packet in a datagram."""
    fields = _HEAD.unpack_from(datagram)
    seq, ack, size, keyed_sum, flags, _, _, dport, src, sport, dst = fields
    data = datagram[HEAD_BYTES : HEAD_BYTES + size]
    return Packet(
        _to_text(src), sport, _to_text(dst), dport, flags, seq, ack, data, keyed_sum
    )


def bounce(datagram: bytes) -> bytes:
    """Return a datagram as a backend returns it: BOUNCED set, pad 0, echo unchanged."""
    returned = bytearray(datagram)
    returned[_FLAGS_AT] |= BOUNCED
    returned[_PAD_AT] = 0
    return bytes(returned)


def _to_int(address: str) -> int:
    return int.from_bytes(socket.inet_aton(address), 'big')


def _to_text(address: int) -> str:
    return socket.inet_ntoa(address.to_bytes(4, 'big'))
