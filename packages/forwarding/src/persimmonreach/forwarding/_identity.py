"""Identity of an agent, and its settings that depend on the front end."""

from typing import Final, NamedTuple

from persimmonreach.core import AgentId, Endpoint, Incarnation, ServiceName, Zone
from persimmonreach.discovery import AgentState, AgentStatus
from persimmonreach.flows import ProbeSettings


class AgentIdentity(NamedTuple):
    """Identity of an agent process, and its seed addresses.

    Attributes
    ----------
    agent
        Id of the agent.
    service
        Service of its backend server.
    zone
        Availability zone of the agent.
    incarnation
        Number of this process, unique among all processes of the agent.
    seeds
        Addresses of entry instances that receive the status while no entry
        instance is known.
    started_at_ms
        Start of this process in Unix milliseconds; None if the start time
        that the backend server reports is from another clock.

    """

    agent: AgentId
    service: ServiceName
    zone: Zone
    incarnation: Incarnation
    seeds: tuple[Endpoint, ...] = ()
    started_at_ms: int | None = None

    @property
    def first_status(self) -> AgentStatus:
        """Status before the backend server has reported its state."""
        return AgentStatus(
            self.agent, self.incarnation, 1, self.service, self.zone, AgentState.STARTING
        )


class AgentPolicy(NamedTuple):
    """Settings of an agent that depend on the front end.

    Attributes
    ----------
    ends_flows_on_zone_out
        Whether open flows are reset when their availability zone is taken out
        of service; otherwise they continue until they close.
    probing
        When idle flows are probed and unresponsive flows are reset.
    shares_clock_with_backend
        Whether the start time that the backend server reports is from the
        clock of the agent's instance.

    """

    ends_flows_on_zone_out: bool = False
    probing: ProbeSettings = ProbeSettings()
    shares_clock_with_backend: bool = False


DEFAULT_AGENT_POLICY: Final = AgentPolicy()
