"""The agent's view of the members, and its own right to admit."""

from collections.abc import Iterable
from typing import Any, Final

from persimmonreach.core import (
    BUCKETS_PER_SERVICE,
    AgentId,
    BucketId,
    Incarnation,
    Send,
    ServiceId,
    Zone,
)
from persimmonreach.membership import Member, View, ViewConfirmed
from persimmonreach.ownership._settings import OwnershipSettings
from persimmonreach.ownership.messages import Sender

_NEVER: Final = float('-inf')


class Peers:
    """Members of the service as this agent sees them.

    Attributes
    ----------
    sender
        Identity of this agent in its messages.
    settings
        Time limits and sizes.
    lease_until
        End of the admission lease, in seconds of the local clock.
    last_loss
        Time at which a member was last seen dead or restarted.
    is_ready
        Whether the open flows of the backend server are known.

    """

    def __init__(
        self,
        agent: AgentId,
        service: ServiceId,
        settings: OwnershipSettings,
    ) -> None:
        self.sender = Sender(agent, Incarnation(0), service)
        self.settings = settings
        self.lease_until = _NEVER
        self.last_loss = _NEVER
        self.is_ready = False
        self._view = View(service)
        self._zones_out: frozenset[Zone] = frozenset()
        self._members: dict[AgentId, Member] = {}
        self._expected: list[Member | None] = [None for _ in range(BUCKETS_PER_SERVICE)]
        self._changed_at = _NEVER
        self._confirmed_at = _NEVER

    @property
    def agent(self) -> AgentId:
        """Id of this agent."""
        return self.sender.agent

    @property
    def in_service(self) -> bool:
        """Whether this agent may own buckets."""
        own = self._members.get(self.agent)
        return own is not None and own.is_eligible and not self.is_out(own)

    @property
    def own_zone_is_out(self) -> bool:
        """Whether this agent's availability zone is out of service."""
        own = self._members.get(self.agent)
        return own is not None and self.is_out(own)

    @property
    def others(self) -> tuple[Member, ...]:
        """Other members that may hold tokens or flows."""
        return tuple(
            row
            for row in self._members.values()
            if row.is_reachable and row.agent != self.agent
        )

    def may_admit(self, now: float) -> bool:
        """Return whether the admission lease is valid."""
        return now < self.lease_until or not self.settings.fencing

    @property
    def has_zones_out(self) -> bool:
        """Whether an availability zone is out of service."""
        return bool(self._zones_out)

    def is_out(self, row: Member) -> bool:
        """Return whether the member's zone is out of service."""
        return row.zone in self._zones_out

    def is_agent_out(self, agent: AgentId) -> bool:
        """Return whether the agent's zone is out of service."""
        row = self._members.get(agent)
        return row is not None and self.is_out(row)

    def confirmed_since(self, moment: float) -> bool:
        """Return whether the present view was confirmed after ``moment``."""
        return self._confirmed_at > max(moment, self._changed_at)

    def holder(self, agent: AgentId) -> Member | None:
        """Return the member if packets may be forwarded to it."""
        row = self._members.get(agent)
        if row is None or not row.is_reachable or self.is_out(row):
            return None
        return row

    def expected(self, bucket: BucketId) -> Member | None:
        """Return the expected owner of ``bucket``."""
        return self._expected[bucket]

    def is_expected(self, bucket: BucketId) -> bool:
        """Return whether this agent is the expected owner of ``bucket``."""
        row = self._expected[bucket]
        return row is not None and row.agent == self.agent

    def change_view(self, view: View, now: float) -> None:
        """Take a new view."""
        if view.service != self.sender.service:
            return
        members = {row.agent: row for row in view.members}
        if any(_lost_state(row, members.get(row.agent)) for row in self.others):
            self.last_loss = now
        if view.digest != self._view.digest or view != self._view:
            self._changed_at = now
            self._confirmed_at = _NEVER
        self._view = view
        self._members = members
        own = members.get(self.agent)
        if own is not None and own.incarnation > self.sender.incarnation:
            self.change_incarnation(own.incarnation)
        self._refresh()

    def change_zones(self, zones_out: frozenset[Zone]) -> None:
        """Take the zones that are out of service."""
        self._zones_out = zones_out
        self._refresh()

    def change_incarnation(self, incarnation: Incarnation) -> None:
        """Take the agent's own incarnation."""
        self.sender = self.sender._replace(incarnation=incarnation)

    def confirm(self, event: ViewConfirmed) -> None:
        """Note that a majority of registrars has the present view."""
        if event.digest == self._view.digest:
            self._confirmed_at = max(self._confirmed_at, event.sent_at)

    def send_each(self, rows: Iterable[Member], message: Any) -> list[Any]:
        """Return the actions that send ``message`` to all ``rows``."""
        return [Send(row.endpoint, message) for row in rows]

    def send_to(self, agent: AgentId, message: Any) -> list[Any]:
        """Return the action that sends ``message``, if the agent is known."""
        row = self._members.get(agent)
        return [] if row is None else [Send(row.endpoint, message)]

    def _refresh(self) -> None:
        self._expected = [
            self._view.expected_owner(BucketId(bucket), self._zones_out)
            for bucket in range(BUCKETS_PER_SERVICE)
        ]


def _lost_state(before: Member, after: Member | None) -> bool:
    if after is None:
        return before.is_reachable
    return after.incarnation > before.incarnation or before.alive > after.alive
