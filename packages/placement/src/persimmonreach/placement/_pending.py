"""Flows that are being placed, and flows that were accepted recently."""

from typing import Final

from persimmonreach.core import AgentId, Deadlines, FlowKey
from persimmonreach.placement._classed_progress import ClassedProgress
from persimmonreach.placement._events import PlaceFlow
from persimmonreach.placement.messages import FlowAccepted

# The retransmissions of a SYN and the responses to them arrive within this time after
# the first SYN. A caller without a response has timed out by then.
SYN_LIFETIME_S: Final = 1.4
# All retransmissions of a SYN and the responses to them have arrived within this
# time: the last retransmission is sent 0.6 s after the first SYN.
ACCEPTED_RETENTION_S: Final = 3
_SEQUENCE_MODULUS: Final = 0x100000000
# The acknowledgement number for a SYN-ACK equals its sequence number, or exceeds it by
# one if the SYN-ACK counts as one byte.
_MAX_ACKNOWLEDGED_BYTES: Final = 1
_RANK_WITHOUT_CLASS: Final = (False, 0, False, 0)


class PendingFlow:
    """A new flow that is offered to one agent at a time, in rounds.

    Parameters
    ----------
    event
        Event that started the placement.
    now
        Current time, in seconds.

    Attributes
    ----------
    event
        Event that started the placement.
    offered_agents
        Agents that received an offer in this round.
    current_agent
        Agent whose response to the offer is awaited; None between two rounds.
    may_accept_later
        Whether an agent of this round may accept the flow in a later round.
    busy_loads
        Occupying flows per slot of each agent that refused the flow as busy in this
        round.
    syn_sent_at
        Time at which the caller first sent the SYN.
    gives_up_at
        Time at which the caller gives up.
    progress
        Progress of the placement of a flow with a class; None without a class.

    """

    __slots__ = (
        'busy_loads',
        'current_agent',
        'event',
        'gives_up_at',
        'may_accept_later',
        'offered_agents',
        'progress',
        'syn_sent_at',
    )

    def __init__(self, event: PlaceFlow, now: float) -> None:
        self.event = event
        self.syn_sent_at = now - event.age_s
        self.offered_agents: list[AgentId] = []
        self.current_agent: AgentId | None = None
        self.may_accept_later = False
        self.busy_loads: dict[AgentId, float] = {}
        self.gives_up_at = self.syn_sent_at + SYN_LIFETIME_S
        self.progress: ClassedProgress | None = None
        if event.class_of_service is not None:
            timeout_s = event.class_of_service.traffic_class.timeout_s
            if timeout_s:
                self.gives_up_at = self.syn_sent_at + min(timeout_s, SYN_LIFETIME_S)
            self.progress = ClassedProgress(event.class_of_service, self.syn_sent_at)

    def start_round(self) -> None:
        """Start a new round of offers, to all agents."""
        self.offered_agents.clear()
        self.current_agent = None
        self.may_accept_later = False
        self.busy_loads.clear()

    def pop_least_busy(self) -> AgentId | None:
        """Remove and return the least loaded of the busy agents; None without any."""
        busy_loads = self.busy_loads
        if not busy_loads:
            return None
        agent = min(busy_loads, key=busy_loads.__getitem__)
        busy_loads.pop(agent)
        return agent

    def rank(self, now: float) -> tuple[bool, int, bool, float]:
        """Return the sort key for flows that are offered at the same time."""
        return self.progress.rank(now) if self.progress else _RANK_WITHOUT_CLASS


class _AcceptedFlow:
    __slots__ = ('expires_at', 'initial_sequences')

    def __init__(self, expires_at: float) -> None:
        self.expires_at = expires_at
        self.initial_sequences: dict[AgentId, int] = {}


class PendingFlows:
    """Flows that are being placed and flows that were accepted recently, by key."""

    def __init__(self) -> None:
        self._pending_flows: dict[FlowKey, PendingFlow] = {}
        self._accepted_flows: dict[FlowKey, _AcceptedFlow] = {}
        self._deadlines: Deadlines[FlowKey] = Deadlines()

    @property
    def next_deadline(self) -> float:
        """Time of the next offer timeout or retry."""
        return self._deadlines.next_at

    def find(self, key: FlowKey) -> PendingFlow | None:
        """Return the pending flow; None if the flow is not being placed."""
        return self._pending_flows.get(key)

    def add(self, pending: PendingFlow) -> None:
        """Add a flow that is to be placed."""
        self._pending_flows[pending.event.key] = pending

    def record_offer(self, pending: PendingFlow, agent: AgentId, deadline: float) -> None:
        """Record an offer to ``agent`` that times out at ``deadline``."""
        pending.offered_agents.append(agent)
        pending.current_agent = agent
        self.schedule(pending, deadline)

    def schedule_retry(self, pending: PendingFlow, retry_at: float) -> None:
        """Schedule a new round of offers, to all agents, at ``retry_at``."""
        pending.start_round()
        self.schedule(pending, retry_at)

    def schedule(self, pending: PendingFlow, deadline: float) -> None:
        """Set the time at which the flow is due next."""
        self._deadlines.schedule(pending.event.key, deadline)

    def remove(self, key: FlowKey) -> None:
        """Remove a flow whose placement has ended, and cancel its deadline."""
        self._pending_flows.pop(key)
        self._deadlines.cancel(key)

    def record_acceptance(
        self, acceptance: FlowAccepted, now: float
    ) -> PendingFlow | None:
        """Record that an agent accepted a flow, which is then no longer pending.

        Parameters
        ----------
        acceptance
            Message of the agent.
        now
            Current time, in seconds.

        Returns
        -------
        PendingFlow or None
            The flow; None if it is not pending, as after an earlier acceptance.

        """
        self._expire_accepted(now)
        accepted_flow = self._accepted_flows.get(acceptance.key)
        pending = self._pending_flows.pop(acceptance.key, None)
        self._deadlines.cancel(acceptance.key)
        if accepted_flow is None:
            accepted_flow = _AcceptedFlow(now + ACCEPTED_RETENTION_S)
            self._accepted_flows[acceptance.key] = accepted_flow
        accepted_flow.initial_sequences[acceptance.agent] = acceptance.sequence
        return pending

    def pop_acknowledged(self, key: FlowKey, acknowledgement: int) -> AgentId | None:
        """Return the agent whose backend server sent the acknowledged SYN-ACK.

        The caller has completed the handshake with one backend server, so all
        acceptances of the flow are removed. Returns None if none of them matches.
        """
        accepted_flow = self._accepted_flows.pop(key, None)
        if accepted_flow is None:
            return None
        for agent, sequence in accepted_flow.initial_sequences.items():
            acknowledged_bytes = (acknowledgement - sequence) % _SEQUENCE_MODULUS
            if acknowledged_bytes <= _MAX_ACKNOWLEDGED_BYTES:
                return agent
        return None

    def expire(self, now: float) -> list[PendingFlow]:
        """Return the flows whose offer has timed out or whose retry is due.

        Flows with a class are ordered by it: the first of them find free slots.
        """
        self._expire_accepted(now)
        due_flows = [self._pending_flows[key] for key in self._deadlines.pop_due(now)]
        return sorted(due_flows, key=lambda pending: pending.rank(now))

    def _expire_accepted(self, now: float) -> None:
        while self._accepted_flows:
            key = next(iter(self._accepted_flows))
            if self._accepted_flows[key].expires_at > now:
                return
            self._accepted_flows.pop(key)
