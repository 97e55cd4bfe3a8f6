"""Progress of the placement of a flow with a class of service."""

from math import inf
from typing import Final

from persimmonreach.core import AgentId
from persimmonreach.placement._classed_round import ClassedRound
from persimmonreach.placement._outstanding_offers import OutstandingOffers
from persimmonreach.queueing import OfferedClass
from persimmonreach.rules import ClassOfService

_MS_PER_S: Final = 1000


class ClassedProgress:
    """Progress of the placement of one flow with a class of service.

    Parameters
    ----------
    class_of_service
        Class of the flow.
    syn_sent_at
        Time at which the caller first sent the SYN.

    Attributes
    ----------
    class_of_service
        Class of the flow.
    is_retry
        Whether the caller was rejected shortly before.
    may_be_open
        Whether another entry instance may have placed the flow, since it received an
        earlier copy of the SYN.
    offers
        Offers that may still take effect.
    round
        Responses in the present round.
    unready_agents
        Time from which each agent is asked again that refused the flow because its
        backend server was down, or because it was stopping.
    left_agents
        Agents whose queue the flow has left since the round was scheduled.
    queued_elsewhere
        Agent that reported that the flow waits there, while another agent has an
        offer of it.
    is_asked_to_wait
        Whether the agent that has the current offer may queue the flow.
    is_checking
        Whether a repeated offer of the queued flow awaits its response.

    """

    __slots__ = (
        '_deferrals_ms',
        '_objective_at',
        '_queued_s',
        '_queued_since',
        '_response_due_at',
        'class_of_service',
        'is_asked_to_wait',
        'is_checking',
        'is_retry',
        'left_agents',
        'may_be_open',
        'offers',
        'queued_elsewhere',
        'round',
        'unready_agents',
    )

    def __init__(self, class_of_service: ClassOfService, syn_sent_at: float) -> None:
        traffic_class = class_of_service.traffic_class
        self.class_of_service = class_of_service
        self.is_retry = False
        self.may_be_open = False
        self.offers = OutstandingOffers()
        self.round = ClassedRound()
        self.unready_agents: dict[AgentId, float] = {}
        self.left_agents: list[AgentId] = []
        self.queued_elsewhere: AgentId | None = None
        self.is_asked_to_wait = False
        self.is_checking = False
        self._objective_at = syn_sent_at + traffic_class.objective_s
        self._response_due_at = syn_sent_at + (traffic_class.timeout_s or inf)
        self._deferrals_ms: dict[AgentId, int] = {}
        self._queued_since: float | None = None
        self._queued_s: float = 0

    @property
    def is_queued(self) -> bool:
        """Whether the agent that has the current offer has queued the flow."""
        return self._queued_since is not None

    def start_round(self) -> None:
        """Discard the responses of the previous round."""
        self.round = ClassedRound()
        self.left_agents.clear()

    def restart_round(self, left_agent: AgentId) -> None:
        """Discard the responses of this round, since the flow left a queue."""
        self.round = ClassedRound()
        self.left_agents.append(left_agent)

    def record_offer(
        self, agent: AgentId, answer_due_at: float, *, may_wait: bool
    ) -> None:
        """Record the offer to the agent that is the current one from now on."""
        self.is_asked_to_wait = may_wait
        self.offers.record_offer(agent, answer_due_at, may_wait=may_wait)

    def record_check(self, agent: AgentId, answer_due_at: float) -> None:
        """Record a repeated offer to the agent at which the flow waits."""
        self.is_checking = True
        self.offers.record_offer(agent, answer_due_at, may_wait=True)

    def record_denial(self, agent: AgentId) -> None:
        """Record that an agent refused or deferred the flow."""
        self.offers.record_denial(agent)
        if self.queued_elsewhere == agent:
            self.queued_elsewhere = None

    def enter_queue(self, now: float) -> None:
        """Record that the agent that has the current offer has queued the flow."""
        self.is_asked_to_wait = True
        self.is_checking = False
        self.queued_elsewhere = None
        if self._queued_since is None:
            self._queued_since = now

    def leave_queue(self, now: float) -> None:
        """Record that the flow is no longer expected to wait at the current agent."""
        if self._queued_since is not None:
            self._queued_s += now - self._queued_since
        self._queued_since = None
        self.is_checking = False

    def record_deferral(self, agent: AgentId, wait_ms: int) -> None:
        """Record that an agent deferred the flow in this round."""
        self.round.record_deferral(agent, wait_ms)
        self._deferrals_ms[agent] = wait_ms

    def pop_shortest_wait(self, now: float) -> AgentId | None:
        """Remove and return the deferring agent with the shortest expected wait.

        Returns None if no agent is left, if enough of them were asked, or if the
        response would arrive after the timeout of the caller.
        """
        return self.round.pop_shortest_wait((self._response_due_at - now) * _MS_PER_S)

    def offered_class(self, gives_up_at: float, now: float) -> OfferedClass:
        """Return the class of the flow with its times as of ``now``.

        Parameters
        ----------
        gives_up_at
            Time at which the caller gives up opening the flow.
        now
            Current time, in seconds.

        """
        return OfferedClass(
            self.class_of_service.traffic_class.priority,
            self.class_of_service.is_urgent,
            objective_ms=_remaining_ms(self._objective_at, now),
            open_ms=_remaining_ms(gives_up_at, now),
            time_left_ms=self._time_left_ms(now),
            is_retry=self.is_retry,
        )

    def rank(self, now: float) -> tuple[bool, int, bool, float]:
        """Return the sort key for flows that are offered at the same time."""
        return (
            not self.class_of_service.is_urgent,
            self.class_of_service.traffic_class.priority,
            self._objective_at <= now,
            self._objective_at,
        )

    def describe(self, now: float) -> dict[str, object]:
        """Return the inputs of the log line about the end of the placement."""
        queued_s = self._queued_s
        if self._queued_since is not None:
            queued_s += now - self._queued_since
        return {
            'priority': self.class_of_service.traffic_class.priority,
            'deferred': dict(self._deferrals_ms),
            'queued_ms': round(queued_s * _MS_PER_S, 1),
        }

    def _time_left_ms(self, now: float) -> int:
        if self._response_due_at == inf:
            return 0
        # 0 would say that there is no timeout.
        return max(1, _remaining_ms(self._response_due_at, now))


def _remaining_ms(until: float, now: float) -> int:
    return max(0, int((until - now) * _MS_PER_S))
