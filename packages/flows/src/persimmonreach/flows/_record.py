"""What an agent knows of one flow of its backend server."""

from persimmonreach.core import Deliver, FlowKey, Reply
from persimmonreach.packets import ACK, FIN, RST, SYN, PacketHeader
from persimmonreach.packets.builder import (
    Segment,
    build_inbound,
    build_outbound,
    previous_sequence,
)


class FlowEnd:
    """One end of a flow: when it was last heard and what it sends next.

    Parameters
    ----------
    now
        Time at which the flow was opened or adopted, in seconds.

    """

    __slots__ = ('acknowledged', 'finished', 'heard_at', 'next_sequence', 'probes')

    def __init__(self, now: float) -> None:
        self.heard_at = now
        self.next_sequence = 0
        self.acknowledged = 0
        self.probes = 0
        self.finished = False

    def observe(self, header: PacketHeader, now: float) -> None:
        """Take note of a packet that this end sent."""
        self.heard_at = now
        self.next_sequence = header.next_sequence
        self.probes = 0
        if header.flags & ACK:
            self.acknowledged = header.acknowledgement
        if header.flags & (FIN | RST):
            self.finished = True


class FlowRecord:
    """One flow of the local backend server.

    Parameters
    ----------
    key
        Flow key.
    now
        Time at which the flow was opened or adopted, in seconds.
    adopted
        Whether the flow was read from the backend server after a restart.

    """

    __slots__ = ('adopted', 'backend', 'caller', 'established', 'key')

    def __init__(self, key: FlowKey, now: float, *, adopted: bool) -> None:
        self.key = key
        self.adopted = adopted
        self.established = adopted
        self.caller = FlowEnd(now)
        self.backend = FlowEnd(now)

    @property
    def is_finished(self) -> bool:
        """Whether both ends have closed the flow."""
        return self.caller.finished and self.backend.finished

    def observe_caller(self, header: PacketHeader, now: float) -> None:
        """Take note of a packet from the caller."""
        self.caller.observe(header, now)
        if not header.flags & SYN:
            self.established = True

    def observe_backend(self, header: PacketHeader, now: float) -> None:
        """Take note of a packet from the backend server."""
        self.backend.observe(header, now)

    def probe_caller(self) -> Reply:
        """Return a keepalive probe toward the caller (RFC 9293, 3.8.4).

        On an adopted flow the numbers may still be unknown; a segment outside
        the window is acknowledged as well, so the probe works all the same.
        """
        segment = Segment(
            ACK,
            previous_sequence(self.caller.acknowledged),
            self.caller.next_sequence,
        )
        return Reply(build_outbound(self.key, segment))

    def probe_backend(self) -> Deliver:
        """Return a keepalive probe toward the backend server."""
        segment = Segment(
            ACK,
            previous_sequence(self.backend.acknowledged),
            self.backend.next_sequence,
        )
        return Deliver(build_inbound(self.key, segment))

    def resets(self) -> tuple[Reply, Deliver]:
        """Return the resets toward the caller and the backend server."""
        return (
            Reply(build_outbound(self.key, Segment(RST, self.caller.acknowledged))),
            Deliver(build_inbound(self.key, Segment(RST, self.backend.acknowledged))),
        )
