"""Flows that the backend server beside an agent holds."""

from typing import Final

from persimmonreach.core import Endpoint, FlowKey
from persimmonreach.packets import FIN, RST, PacketHeader

_SEQUENCE_MODULUS: Final = 0x100000000
# The backend server's first packet may count as one byte.
_LARGEST_FIRST_STEP: Final = 1


class HeldFlow:
    """One flow of the local backend server.

    Attributes
    ----------
    entry
        Entry instance that sent the latest packet; None if only packets of the
        backend server were seen.
    sequence
        Sequence number that the backend server began with; None if it was not
        seen.
    is_open
        Whether the caller has acknowledged the backend server.
    is_busy
        Whether the caller has sent data that was not answered yet.
    acknowledged
        What the caller acknowledged last.
    used_at
        Time of the latest packet.

    """

    __slots__ = (
        'acknowledged',
        'entry',
        'is_busy',
        'is_closing',
        'is_open',
        'sequence',
        'used_at',
    )

    def __init__(self, entry: Endpoint | None, now: float) -> None:
        self.entry = entry
        self.sequence: int | None = None
        self.is_open = False
        self.is_busy = False
        self.is_closing = False
        self.acknowledged = 0
        self.used_at = now

    def is_chosen_by(self, header: PacketHeader) -> bool:
        """Whether the caller's packet can belong to this backend server.

        Several backend servers may have answered copies of one first packet;
        the caller's second packet acknowledges one of them.
        """
        if self.is_open or self.sequence is None:
            return True
        step = (header.acknowledgement - self.sequence) % _SEQUENCE_MODULUS
        return step <= _LARGEST_FIRST_STEP


class HeldFlows:
    """Flows of the local backend server, learned from the packets.

    Parameters
    ----------
    retention_s
        Seconds without a packet after which a flow is forgotten.

    """

    def __init__(self, retention_s: float) -> None:
        self._retention_s = retention_s
        self._flows: dict[FlowKey, HeldFlow] = {}
        self._busy = 0

    def __len__(self) -> int:
        """Return the number of flows."""
        return len(self._flows)

    @property
    def busy(self) -> int:
        """Flows on which a request waits for its answer."""
        return self._busy

    @property
    def keys(self) -> tuple[FlowKey, ...]:
        """All flows."""
        return tuple(self._flows)

    def find(self, key: FlowKey) -> HeldFlow | None:
        """Return the flow if it is held."""
        return self._flows.get(key)

    def add(self, key: FlowKey, entry: Endpoint | None, now: float) -> HeldFlow:
        """Note a flow and return it."""
        flow = HeldFlow(entry, now)
        self._flows[key] = flow
        return flow

    def remove(self, key: FlowKey) -> HeldFlow | None:
        """Forget a flow."""
        flow = self._flows.pop(key, None)
        if flow is not None and flow.is_busy:
            self._busy -= 1
        return flow

    def note_caller(self, flow: HeldFlow, header: PacketHeader, now: float) -> None:
        """Take note of a packet from the caller."""
        flow.used_at = now
        flow.is_open = True
        flow.acknowledged = header.acknowledgement
        if header.payload_size and not flow.is_busy:
            flow.is_busy = True
            self._busy += 1

    def note_backend(self, key: FlowKey, header: PacketHeader, now: float) -> None:
        """Take note of a packet from the backend server."""
        flow = self._flows[key]
        flow.used_at = now
        if flow.sequence is None:
            # The flow was open before the agent started.
            flow.is_open = True
            flow.acknowledged = header.sequence
        if header.payload_size and flow.is_busy:
            flow.is_busy = False
            self._busy -= 1
        if header.flags & FIN:
            flow.is_closing = True
        if header.flags & RST:
            self.remove(key)

    def forget_idle(self, now: float) -> int:
        """Forget flows without a packet for the retention time; count them."""
        limit = now - self._retention_s
        idle = [key for key, flow in self._flows.items() if flow.used_at < limit]
        for key in idle:
            self.remove(key)
        return len(idle)

    def clear(self) -> None:
        """Forget all flows: the backend server has started anew."""
        self._flows.clear()
        self._busy = 0
