"""What an agent or entry instance knows of the members of a service."""

from collections.abc import Collection
from enum import IntEnum
from typing import NamedTuple

from persimmonreach.core import (
    AgentId,
    BucketId,
    Endpoint,
    Incarnation,
    ServiceId,
    Zone,
    rendezvous_score,
)


class MemberState(IntEnum):
    """Announced state of an agent; a later one wins within an incarnation."""

    JOINING = 0
    ACTIVE = 1
    DRAINING = 2
    LEFT = 3


class Member(NamedTuple):
    """One agent of a service.

    Attributes
    ----------
    agent
        Id of the agent, stable across restarts.
    incarnation
        Rises whenever the agent restarts or its lease has lapsed.
    service
        Service of the backend server beside it.
    zone
        Availability zone of the agent.
    endpoint
        Address for packets and messages between own processes.
    state
        State that the agent announced.
    alive
        False once a majority of registrars declared the agent dead.

    """

    agent: AgentId
    incarnation: Incarnation
    service: ServiceId
    zone: Zone
    endpoint: Endpoint
    state: MemberState
    alive: bool = True

    @property
    def is_eligible(self) -> bool:
        """Whether the agent may own buckets and receive new flows."""
        return self.alive and self.state is MemberState.ACTIVE

    @property
    def is_reachable(self) -> bool:
        """Whether the agent may still hold flows."""
        return self.alive and self.state is not MemberState.LEFT


class View(NamedTuple):
    """Members of one service as one node sees them.

    Attributes
    ----------
    service
        Service that the members belong to.
    members
        Known agents, ordered by id.
    digest
        Hash of the members' rows and liveness; equal views have equal
        digests.

    """

    service: ServiceId
    members: tuple[Member, ...] = ()
    digest: int = 0

    def find(self, agent: AgentId) -> Member | None:
        """Return the member with this id."""
        return next((row for row in self.members if row.agent == agent), None)

    def expected_owner(
        self,
        bucket: BucketId,
        zones_out: Collection[Zone],
    ) -> Member | None:
        """Return the eligible member with the highest score for ``bucket``."""
        candidates = [
            row for row in self.members if row.is_eligible and row.zone not in zones_out
        ]
        subject = f'{self.service}/{bucket}'
        return max(
            candidates,
            key=lambda row: (rendezvous_score(subject, row.agent), row.agent),
            default=None,
        )


class ViewChanged(NamedTuple):
    """The members of the agent's service have changed."""

    view: View


class ViewConfirmed(NamedTuple):
    """A majority of registrars acknowledged the present view.

    Attributes
    ----------
    digest
        Digest of the confirmed view.
    sent_at
        Time at which the oldest confirming heartbeat was sent, in seconds of
        the local clock.

    """

    digest: int
    sent_at: float


class LeaseRenewed(NamedTuple):
    """The admission lease is valid until ``valid_until`` (local clock)."""

    valid_until: float


class LeaseLapsed(NamedTuple):
    """The admission lease ended before it was renewed."""

    incarnation: Incarnation
