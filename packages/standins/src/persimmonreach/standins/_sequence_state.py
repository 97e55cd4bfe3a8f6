"""TCP sequence numbers of the callers and backend servers of the stand-ins."""

from typing import Final

from persimmonreach.packets import ACK, FIN, RST, SYN, PacketHeader, Segment

_SEQUENCE_MODULUS: Final = 0x100000000
# A segment outside the receive window does not advance the expected sequence
# number (RFC 9293, 3.10.7.4).
_WINDOW_BYTES: Final = 0x10000


class SequenceState:
    """Sequence numbers of one end of a flow.

    Payloads are not reassembled, since each holds a whole frame. A retransmitted
    payload is recognized by its sequence number.

    Parameters
    ----------
    initial_sequence
        Sequence number of the SYN of this end.

    """

    def __init__(self, initial_sequence: int) -> None:
        self._initial_sequence = initial_sequence
        self._next_sequence = initial_sequence
        self._expected_sequence: int | None = None
        self._received_sequences: set[int] = set()

    @property
    def expected_sequence(self) -> int | None:
        """Next sequence number expected from the other end; None before its SYN."""
        return self._expected_sequence

    def syn_segment(self, flags: int) -> Segment:
        """Return the SYN or SYN-ACK of this end; later calls retransmit it."""
        self._next_sequence = max(self._next_sequence, self._initial_sequence + 1)
        return Segment(flags, self._initial_sequence, self._expected_sequence or 0)

    def next_segment(self, flags: int, payload: bytes = b'') -> Segment:
        """Return the next segment and advance the sequence number past it."""
        segment = Segment(
            flags,
            self._next_sequence % _SEQUENCE_MODULUS,
            self._expected_sequence or 0,
            payload,
        )
        self._next_sequence += len(payload) + int(bool(flags & FIN))
        return segment

    def is_acknowledged_by(self, header: PacketHeader) -> bool:
        """Return whether a segment acknowledges the own SYN and no unsent data."""
        offset = (header.acknowledgement - self._initial_sequence) % _SEQUENCE_MODULUS
        return 0 < offset <= self._next_sequence - self._initial_sequence

    def is_retransmission(self, header: PacketHeader) -> bool:
        """Return whether the payload of a segment was received before."""
        return bool(header.payload_size) and header.sequence in self._received_sequences

    def observe(self, header: PacketHeader) -> bool:
        """Update from a segment of the other end; return whether to acknowledge it.

        A pure ACK whose sequence number is not the expected one is acknowledged,
        because a keepalive probe looks like this (RFC 9293, 3.8.4). The expected
        sequence number never moves back, so two ends do not acknowledge each other
        endlessly.
        """
        expected = self._expected_sequence
        next_sequence = header.next_sequence
        if (
            expected is None
            or (next_sequence - expected) % _SEQUENCE_MODULUS < _WINDOW_BYTES
        ):
            self._expected_sequence = next_sequence
        if header.payload_size:
            self._received_sequences.add(header.sequence)
        is_ack_only = header.flags & (SYN | FIN | RST | ACK) == ACK
        return is_ack_only and not header.payload_size and header.sequence != expected
