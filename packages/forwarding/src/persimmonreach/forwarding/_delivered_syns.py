"""SYNs that an agent has delivered a short time ago."""

from math import inf
from typing import Final

from persimmonreach.core import FlowKey
from persimmonreach.packets import PacketHeader

# Copies of a SYN arrive within 1.4 s of the first one.
_RETENTION_S: Final = 2


class DeliveredSyns:
    """Remembers delivered SYNs for as long as copies of them may be offered.

    A flow whose SYN was delivered may have been opened, and its request executed, even if
    the agent no longer holds it.
    """

    def __init__(self) -> None:
        # Sequence number of each SYN and the time of its delivery; ordered by time.
        self._syns: dict[FlowKey, tuple[int, float]] = {}
        self._first_asked_at = inf

    def add(self, header: PacketHeader, now: float) -> None:
        """Record that a SYN is delivered, and forget those that have expired."""
        self._syns.pop(header.key, None)
        self._syns[header.key] = (header.sequence, now)
        while now - next(iter(self._syns.values()))[1] > _RETENTION_S:
            self._syns.pop(next(iter(self._syns)))

    def discard(self, key: FlowKey) -> None:
        """Forget a SYN that the backend server has returned."""
        self._syns.pop(key, None)

    def may_contain(
        self, header: PacketHeader, now: float, *, are_all_flows_known: bool
    ) -> bool:
        """Whether a copy of this SYN may have been delivered.

        Parameters
        ----------
        header
            Header of the SYN.
        now
            Current time, in seconds.
        are_all_flows_known
            Whether this process has passed all packets of the backend server. Otherwise
            an earlier process of the agent may have delivered any SYN whose copies are
            still offered.

        """
        self._first_asked_at = min(self._first_asked_at, now)
        if not are_all_flows_known and now - self._first_asked_at <= _RETENTION_S:
            return True
        sequence, delivered_at = self._syns.get(header.key, (None, now))
        return sequence == header.sequence and now - delivered_at <= _RETENTION_S
