"""Flows of which the backend server has not shown yet that it holds them."""

from typing import Final

from persimmonreach.core import FlowKey

# A backend server resets a packet of an unknown flow within 1 to 2 ms, but it may be
# busy or paused, and several packets of the flow may be in flight to it.
REJECTION_RETENTION_S: Final = 2
# A flow that stays unconfirmed has expired after this time without a packet.
UNCONFIRMED_RETENTION_S: Final = 60


class UnconfirmedFlows:
    """Flows whose packets were delivered although the backend server may not hold them.

    Used with formats in which a backend server does not bounce a packet of an unknown
    flow, but resets the flow (RFC 9293, 3.10.7.1). Such a reset responds to the agent
    and must not reach the caller, whose flow may be open at another backend server.
    """

    def __init__(self) -> None:
        # Latest delivered packet of each flow and its time; ordered by time.
        self._packets: dict[FlowKey, tuple[bytes, float]] = {}
        self._rejected_at: dict[FlowKey, float] = {}

    def __contains__(self, key: FlowKey) -> bool:
        """Return whether the backend server may not hold the flow."""
        return key in self._packets

    def add(self, key: FlowKey, packet: bytes, now: float) -> None:
        """Record that a packet of an unconfirmed flow is delivered."""
        self._packets.pop(key, None)
        self._packets[key] = (packet, now)

    def confirm(self, key: FlowKey) -> None:
        """Record that the backend server has sent a packet of the flow."""
        self._packets.pop(key, None)

    def reject(self, key: FlowKey, now: float) -> bytes | None:
        """Record a reset of the backend server.

        Returns
        -------
        bytes or None
            The latest packet of the flow; None if the flow is not unconfirmed.

        """
        delivered = self._packets.pop(key, None)
        if delivered is None:
            return None
        self._rejected_at.pop(key, None)
        self._rejected_at[key] = now
        return delivered[0]

    def clear(self) -> None:
        """Remove all flows, because the agent has ended them."""
        self._packets.clear()

    def was_rejected(self, key: FlowKey, now: float) -> bool:
        """Whether the backend server reset another packet of the flow a moment ago."""
        rejected_at = self._rejected_at.get(key)
        return rejected_at is not None and now - rejected_at < REJECTION_RETENTION_S

    def remove_expired(self, now: float) -> None:
        """Remove flows without a recent packet, and old rejections."""
        while self._packets:
            key = next(iter(self._packets))
            if now - self._packets[key][1] < UNCONFIRMED_RETENTION_S:
                break
            self._packets.pop(key)
        while self._rejected_at:
            key = next(iter(self._rejected_at))
            if now - self._rejected_at[key] < REJECTION_RETENTION_S:
                break
            self._rejected_at.pop(key)
