"""Admission lease and view confirmation of an agent."""

from typing import NamedTuple

from persimmonreach.core import EntryId, ServiceId
from persimmonreach.membership._registrars import RegistrarSets
from persimmonreach.membership._view import ViewConfirmed
from persimmonreach.membership.messages import HeartbeatAck


class _Confirmation(NamedTuple):
    digest: int
    sent_at: float


class Lease:
    """Acknowledgements of the present incarnation and what follows from them.

    Parameters
    ----------
    service
        Service of the agent.
    registrars
        Sets of registrars that count.
    lease_s
        Longest lease in seconds, whatever a registrar grants.

    """

    def __init__(
        self,
        service: ServiceId,
        registrars: RegistrarSets,
        lease_s: float,
    ) -> None:
        self._service = service
        self._registrars = registrars
        self._lease_s = lease_s
        self._sent: dict[int, float] = {}
        self._granted: dict[EntryId, float] = {}
        self._confirmed: dict[EntryId, _Confirmation] = {}
        self._valid_until: float | None = None
        self._last: ViewConfirmed | None = None

    @property
    def valid_until(self) -> float | None:
        """End of the lease by the local clock; ``None`` without a lease."""
        return self._valid_until

    def note_sent(self, sequence: int, now: float) -> None:
        """Remember when a heartbeat was sent."""
        oldest = now - self._lease_s
        self._sent = {key: sent for key, sent in self._sent.items() if sent > oldest}
        self._sent[sequence] = now

    def acknowledge(self, ack: HeartbeatAck, now: float) -> bool:
        """Take in an acknowledgement; return whether it extends the lease."""
        sent = self._sent.get(ack.sequence)
        if sent is None or ack.lease_s <= 0 or sent < self._granted.get(ack.entry, sent):
            return False
        self._granted[ack.entry] = sent
        self._confirmed[ack.entry] = _Confirmation(ack.digest, sent)
        self._lease_s = min(self._lease_s, ack.lease_s)
        oldest = self._registrars.majority_time(self._service, self._granted)
        if oldest is None or oldest + self._lease_s <= max(now, self._valid_until or now):
            return False
        self._valid_until = oldest + self._lease_s
        return True

    def confirm(self, digest: int) -> ViewConfirmed | None:
        """Return the confirmation of a view if it is newer than the last."""
        times = {
            entry: confirmation.sent_at
            for entry, confirmation in self._confirmed.items()
            if confirmation.digest == digest
        }
        sent_at = self._registrars.majority_time(self._service, times)
        last = self._last
        if sent_at is None or (
            last and digest == last.digest and sent_at <= last.sent_at
        ):
            return None
        self._last = ViewConfirmed(digest, sent_at)
        return self._last

    def drop(self) -> None:
        """Forget all acknowledgements, for a new incarnation."""
        self._sent = {}
        self._granted = {}
        self._confirmed = {}
        self._valid_until = None
