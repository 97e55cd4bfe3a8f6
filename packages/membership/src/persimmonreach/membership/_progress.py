"""State that the membership machines carry from event to event."""

from persimmonreach.membership._events import FlowsCounted
from persimmonreach.membership._view import Member
from persimmonreach.membership.messages import Heartbeat


class AgentProgress:
    """Heartbeats sent so far and what acknowledgements reported."""

    def __init__(self) -> None:
        self.sequence = 0
        self.announced_in = 1
        self.config_version = 0
        self.next_heartbeat = float(0)
        self.heard_at = float(0)
        self.had_lease = False
        self.replaced = False
        self.flows = FlowsCounted(0, 0)

    def heartbeat(self, member: Member, digest: int, entries_version: int) -> Heartbeat:
        """Return the heartbeat with the present sequence number."""
        return Heartbeat(
            member,
            self.sequence,
            self.flows.flows,
            self.flows.limit,
            digest,
            self.config_version,
            entries_version,
        )


class EntryProgress:
    """Due times of an entry instance and its configuration version."""

    def __init__(self) -> None:
        self.config_version = 0
        self.next_gossip = float(0)
        self.next_scan = float(0)
