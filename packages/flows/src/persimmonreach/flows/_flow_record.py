"""State that an agent keeps for one flow of its backend server."""

from math import inf

from persimmonreach.core import Endpoint
from persimmonreach.packets import ACK, FIN, PacketHeader

_SEQUENCE_MODULUS = 0x100000000
# Sequence numbers wrap around: one is ahead of another if it is less than half
# the range above it (RFC 9293, 3.4).
_SEQUENCE_HALF_RANGE = _SEQUENCE_MODULUS // 2
# The SYN-ACK of the backend server may occupy one sequence number.
_SYN_ACK_SEQUENCE_COUNT = 1


class SenderState:
    """State of one sender of a flow: the caller or the backend server.

    Attributes
    ----------
    last_packet_at
        Time of its latest packet, in seconds.
    next_sequence
        Sequence number of the next byte that it sends; 0 before its first
        packet.
    acknowledged
        Latest acknowledgement number that it sent; 0 before the first one.
    probe_count
        Number of keepalive probes sent to it since its latest packet.
    has_sent_fin
        Whether it has closed its direction of the flow.

    """

    __slots__ = (
        '_has_sent_packet',
        'acknowledged',
        'has_sent_fin',
        'last_packet_at',
        'next_sequence',
        'probe_count',
    )

    def __init__(self, now: float) -> None:
        self.last_packet_at = now
        self.next_sequence = 0
        self.acknowledged = 0
        self.probe_count = 0
        self.has_sent_fin = False
        self._has_sent_packet = False

    def advances_sequence(self, header: PacketHeader) -> bool:
        """Whether a packet ends beyond all bytes that this sender sent before."""
        advance = (header.next_sequence - self.next_sequence) % _SEQUENCE_MODULUS
        return not self._has_sent_packet or 0 < advance < _SEQUENCE_HALF_RANGE

    def observe(self, header: PacketHeader, now: float) -> None:
        """Update the state from a packet of this sender."""
        self.last_packet_at = now
        # A retransmission must not move the sequence number back.
        if self.advances_sequence(header):
            self.next_sequence = header.next_sequence
        self._has_sent_packet = True
        self.probe_count = 0
        if header.flags & ACK:
            self.acknowledged = header.acknowledgement
        if header.flags & FIN:
            self.has_sent_fin = True


class FlowRecord:
    """State of one flow of the local backend server.

    Attributes
    ----------
    entry_endpoint
        Address of the entry instance that sent the latest packet of the caller;
        None if it is not known.
    initial_sequence
        Initial sequence number of the backend server, from its SYN-ACK; None if
        the SYN-ACK was not seen.
    syn_sequence
        Sequence number of the caller's SYN; None if the agent has not seen it.
    is_open
        Whether the caller has acknowledged the backend server's SYN-ACK, or the
        flow was open before the agent first saw it.
    confirmed_at
        Time at which the backend server has shown that it holds the flow: it has sent the
        first packet of the flow, or has listed the flow as open. Infinite before.
    is_busy
        Whether a request of the caller waits for its response.
    has_carried_request
        Whether the caller has sent a request.
    caller
        State of the caller.
    backend
        State of the backend server.

    """

    __slots__ = (
        'backend',
        'caller',
        'confirmed_at',
        'entry_endpoint',
        'has_carried_request',
        'initial_sequence',
        'is_busy',
        'is_open',
        'syn_sequence',
    )

    def __init__(
        self,
        entry_endpoint: Endpoint | None,
        now: float,
        syn_sequence: int | None = None,
    ) -> None:
        self.entry_endpoint = entry_endpoint
        self.syn_sequence = syn_sequence
        self.initial_sequence: int | None = None
        self.confirmed_at = inf
        self.is_open = False
        self.is_busy = False
        self.has_carried_request = False
        self.caller = SenderState(now)
        self.backend = SenderState(now)

    @property
    def last_packet_at(self) -> float:
        """Time of the latest packet in either direction, in seconds."""
        return max(self.caller.last_packet_at, self.backend.last_packet_at)

    @property
    def is_confirmed(self) -> bool:
        """Whether the backend server has shown that it holds the flow."""
        return self.confirmed_at != inf

    @property
    def is_held(self) -> bool:
        """Whether the flow is open, and the backend server has shown that it holds it.

        Packets of a caller do not show this. A backend server that is not running,
        or not responding, does not reject packets of flows that it does not hold.
        """
        return self.is_open and self.is_confirmed

    @property
    def is_closed(self) -> bool:
        """Whether both sides have sent a FIN."""
        return self.caller.has_sent_fin and self.backend.has_sent_fin

    @property
    def acknowledged(self) -> int:
        """Latest acknowledgement number of the caller.

        If none was seen, the next sequence number of the backend server, which
        the caller acknowledges once it has received all packets.
        """
        return self.caller.acknowledged or self.backend.next_sequence

    def is_replaced_by(self, syn: PacketHeader) -> bool:
        """Whether a SYN opens a new flow with the addresses and ports of this one.

        Another copy of the SYN of this flow has the same sequence number.
        """
        return self.is_closed and self.syn_sequence not in {None, syn.sequence}

    def matches(self, header: PacketHeader) -> bool:
        """Whether a packet of the caller can belong to this backend server.

        Several backend servers may have responded to copies of one SYN. The
        acknowledgement number of the caller identifies the one whose SYN-ACK
        the caller accepted.
        """
        if self.is_open:
            return True
        if self.initial_sequence is None:
            # The caller has nothing to acknowledge until it gets a SYN-ACK.
            return self.syn_sequence is None
        acknowledged_bytes = (
            header.acknowledgement - self.initial_sequence
        ) % _SEQUENCE_MODULUS
        sent_bytes = (
            self.backend.next_sequence - self.initial_sequence
        ) % _SEQUENCE_MODULUS
        return acknowledged_bytes <= max(sent_bytes, _SYN_ACK_SEQUENCE_COUNT)
