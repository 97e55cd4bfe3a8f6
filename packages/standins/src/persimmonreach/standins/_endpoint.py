"""The part of TCP that callers and backend servers of the stand-ins share."""

from typing import Final

from persimmonreach.packets import ACK, FIN, RST, SYN, PacketHeader, Segment

_MODULUS: Final = 0x100000000
# Receive window; a segment beyond it moves no number (RFC 9293, 3.10.7.4).
_WINDOW: Final = 0x10000


class SequenceState:
    """Sequence numbers of one end of a flow.

    Payloads are not reassembled: each carries a whole frame. A payload that
    was received before is recognized by its sequence number.

    Parameters
    ----------
    first
        Sequence number of the own SYN.

    """

    def __init__(self, first: int) -> None:
        self._first = first
        self._next = first
        self._expected: int | None = None
        self._received: set[int] = set()

    @property
    def expected(self) -> int | None:
        """Next sequence number of the other end; None before its SYN."""
        return self._expected

    def opening(self, flags: int) -> Segment:
        """Return the own SYN or SYN and ACK; the same one when repeated."""
        self._next = max(self._next, self._first + 1)
        return Segment(flags, self._first, self._expected or 0)

    def segment(self, flags: int, payload: bytes = b'') -> Segment:
        """Return the next segment and count what it takes up."""
        built = Segment(flags, self._next % _MODULUS, self._expected or 0, payload)
        self._next += len(payload) + int(bool(flags & FIN))
        return built

    def is_acknowledged_by(self, header: PacketHeader) -> bool:
        """Return whether a segment acknowledges the own SYN and no unsent data."""
        step = (header.acknowledgement - self._first) % _MODULUS
        return 0 < step <= self._next - self._first

    def is_repeated(self, header: PacketHeader) -> bool:
        """Return whether the payload of a segment was received before."""
        return bool(header.payload_size) and header.sequence in self._received

    def observe(self, header: PacketHeader) -> bool:
        """Note a segment of the other end; return whether to acknowledge it.

        A bare ACK away from the expected sequence number is answered: that
        is how a keepalive probe is recognized (RFC 9293, 3.8.4). The expected
        number only rises, so two ends cannot answer each other for ever.
        """
        known = self._expected
        after = header.next_sequence
        if known is None or (after - known) % _MODULUS < _WINDOW:
            self._expected = after
        if header.payload_size:
            self._received.add(header.sequence)
        is_bare = header.flags & (SYN | FIN | RST | ACK) == ACK
        return is_bare and not header.payload_size and header.sequence != known
