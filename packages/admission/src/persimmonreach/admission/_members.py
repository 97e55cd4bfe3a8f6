"""Members of the service that may take a new flow."""

from collections.abc import Collection
from typing import NamedTuple

from persimmonreach.admission._accepting import FlowAcceptor
from persimmonreach.admission._peers import PeerLoads
from persimmonreach.admission._policy import Candidate
from persimmonreach.admission.messages import Verdict
from persimmonreach.core import AgentId, ServiceId, Zone
from persimmonreach.membership import Member, View


class MemberId(NamedTuple):
    """Identity of the local agent."""

    agent: AgentId
    zone: Zone
    service: ServiceId


class ServiceMembers:
    """View of the service, availability zones out of service, and loads.

    Parameters
    ----------
    own
        Identity of the local agent.
    acceptor
        Load of the local backend server.
    peers
        Load of the other members.

    """

    def __init__(self, own: MemberId, acceptor: FlowAcceptor, peers: PeerLoads) -> None:
        self._own = own
        self._acceptor = acceptor
        self._peers = peers
        self._view = View(own.service)
        self._zones_out: Collection[Zone] = ()

    @property
    def service(self) -> ServiceId:
        """Service of the agent."""
        return self._own.service

    @property
    def is_zone_out(self) -> bool:
        """Whether the agent's availability zone is out of service."""
        return self._own.zone in self._zones_out

    @property
    def own_row(self) -> Member | None:
        """The local agent in the view."""
        return self._view.find(self._own.agent)

    def change_view(self, view: View) -> None:
        """Use the members of a new view."""
        self._view = view
        self._peers.keep(row.agent for row in view.members)

    def change_zones(self, zones_out: Collection[Zone]) -> None:
        """Exclude the members of these availability zones."""
        self._zones_out = zones_out

    def find(self, agent: AgentId) -> Member | None:
        """Return the member with this id."""
        return self._view.find(agent)

    def is_lost(self, asked: Member) -> bool:
        """Whether the asked agent can no longer answer.

        An agent of a later incarnation answers: it may hold the flow, as its
        lease may have lapsed, or its restart adopted the flow.
        """
        row = self._view.find(asked.agent)
        return row is None or not row.is_reachable

    def candidates(self, refused: Collection[AgentId]) -> list[Candidate]:
        """Return the members that may take a flow and have not refused it."""
        candidates = [
            self._candidate(row)
            for row in self._view.members
            if row.agent not in refused and self._may_take(row)
        ]
        # A report may be out of date: members that reported themselves full
        # are asked when there is no other.
        free = [row for row in candidates if row.flows < row.flow_limit]
        return free or candidates

    def _may_take(self, member: Member) -> bool:
        if not member.is_eligible or member.zone in self._zones_out:
            return False
        is_own = member.agent == self._own.agent
        return not is_own or self._acceptor.verdict is Verdict.ACCEPTED

    def _candidate(self, member: Member) -> Candidate:
        is_near = member.zone == self._own.zone
        if member.agent == self._own.agent:
            own = self._acceptor
            return Candidate(member.agent, is_near, own.flows, own.flow_limit)
        return Candidate(
            member.agent,
            is_near,
            self._peers.flows(member.agent),
            self._peers.flow_limit(member.agent),
        )
