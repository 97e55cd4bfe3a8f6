"""Record of one agent in an entry instance."""

from math import inf
from typing import Final

from persimmonreach.core import AgentId, Endpoint
from persimmonreach.discovery.messages import (
    AgentState,
    AgentStatus,
    RegisteredAgent,
)

# Minimum time without a message after which an agent is unresponsive. It covers three
# consecutive statuses at the shortest period.
UNRESPONSIVE_AFTER_S: Final = 1.6
# The same limit as a number of periods of the agent, because periods grow with the
# number of entry instances. One message may be lost.
UNRESPONSIVE_AFTER_PERIODS: Final = 2.2
# An agent that has never responded is unreachable this long after its discovery, or
# after most agents became responsive if that is later. It is probed four times a second
# and starts within 0.5 s, so its instance has failed or is partitioned from this one.
UNREACHABLE_AFTER_S: Final = 2.0
_MS_PER_S: Final = 1000


class AgentRecord:
    """State, load and reachability of one agent, as recorded by an entry instance.

    Parameters
    ----------
    status
        First status; a placeholder if no message of the agent has arrived.
    endpoint
        Address of the agent.
    now
        Time at which the agent was discovered.

    Attributes
    ----------
    is_unreachable
        Whether the agent has never responded to this entry instance, while
        most other agents have.

    """

    __slots__ = (
        '_discovered_at',
        '_last_message_at',
        '_offers_since_status',
        '_suspected_until',
        'endpoint',
        'is_unreachable',
        'status',
    )

    def __init__(self, status: AgentStatus, endpoint: Endpoint, now: float = 0) -> None:
        self.status = status
        self.endpoint = endpoint
        self.is_unreachable = False
        self._discovered_at = now
        self._last_message_at = -inf
        self._offers_since_status = 0
        self._suspected_until = -inf

    @property
    def agent(self) -> AgentId:
        """Id of the agent."""
        return self.status.agent

    @property
    def has_responded(self) -> bool:
        """Whether any message of the agent has arrived."""
        return self._last_message_at != -inf

    @property
    def flows(self) -> int:
        """Number of flows in the latest status plus offers since then."""
        return self.status.flows + self._offers_since_status

    @property
    def is_leaving(self) -> bool:
        """Whether the backend server is leaving for good, or has left."""
        return self.status.state in {AgentState.DRAINING, AgentState.LEFT}

    @property
    def is_down(self) -> bool:
        """Whether the agent has reported its backend server as down."""
        return self.status.state is AgentState.DOWN

    @property
    def load(self) -> float:
        """Flows plus flows with a request that waits for its response, per slot."""
        return (self.flows + self.status.busy) / max(1, self.status.slots)

    def apply_status(self, status: AgentStatus, now: float) -> None:
        """Store a status, unless a later one has arrived before it."""
        self.mark_responsive(now)
        current = self.status
        is_same_process = status.incarnation == current.incarnation
        if is_same_process and status.sequence <= current.sequence:
            return
        if status.state is AgentState.STARTING and current.state is AgentState.DRAINING:
            # The agent restarted while its backend server was draining.
            status = status._replace(state=current.state)
        self.status = status
        self._offers_since_status = 0

    def count_offer(self) -> None:
        """Add an offer to the number of flows until the next status."""
        self._offers_since_status += 1

    def mark_responsive(self, now: float) -> None:
        """Record the arrival of a message of the agent."""
        self.is_unreachable = False
        self._last_message_at = now
        self._suspected_until = -inf

    def suspect(self, until: float) -> None:
        """Avoid the agent for new flows until ``until`` or an earlier message of it."""
        self._suspected_until = until

    def apply_refusal(self, state: AgentState) -> None:
        """Set the state that the reason of a refusal implies."""
        self.status = self.status._replace(state=state)

    def is_response_overdue(self, since: float, now: float) -> bool:
        """Whether the agent has never responded although it had the time to.

        Parameters
        ----------
        since
            Time since which most of the agents have been responsive, in seconds.
        now
            Current time, in seconds.

        """
        waited_s = now - max(self._discovered_at, since)
        return not self.has_responded and waited_s > UNREACHABLE_AFTER_S

    def seconds_since_message(self, now: float) -> float:
        """Return the seconds since the latest message; infinite if there is none."""
        return now - self._last_message_at

    def is_unresponsive(self, now: float) -> bool:
        """Whether a message of the agent is overdue."""
        period_s = self.status.period_ms / _MS_PER_S
        return now - self._last_message_at > max(
            UNRESPONSIVE_AFTER_S, UNRESPONSIVE_AFTER_PERIODS * period_s
        )

    def may_hold_flows(self, now: float) -> bool:
        """Whether the agent may be the holder of a flow.

        An agent that became unresponsive while its backend server was down
        holds no flows. Flows of an unreachable agent cannot be continued; after
        a reset their callers connect to another agent.
        """
        if self.is_unreachable:
            return False
        if self.is_down:
            return not self.is_unresponsive(now)
        return self.status.state is not AgentState.LEFT

    def is_suspected(self, now: float) -> bool:
        """Whether an offer timed out and no message has arrived since."""
        return now < self._suspected_until


def record_from_registration(registration: RegisteredAgent, now: float) -> AgentRecord:
    """Return the record of an agent of which no message has arrived."""
    status = AgentStatus(
        agent=registration.agent,
        incarnation=0,
        sequence=0,
        service=registration.service,
        zone=registration.zone,
        state=AgentState.STARTING,
    )
    return AgentRecord(status, registration.endpoint, now)
