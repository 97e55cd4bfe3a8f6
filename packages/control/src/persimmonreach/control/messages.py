"""Requests and replies of the gRPC operator service."""

from types import MappingProxyType
from typing import Any, Final, NamedTuple

from persimmonreach.core import Endpoint


class StatusRequest(NamedTuple):
    """Requests the state of an entry instance and of its known agents."""


class AgentReport(NamedTuple):
    """Figures of the latest status that an entry instance received from an agent.

    Attributes
    ----------
    config_version
        Highest version of the configuration that an entry instance has reported
        to the agent.
    age_s
        Seconds since the entry instance last received a message of the agent.
    flows
        Number of flows that the agent holds.
    flow_limit
        Maximum number of concurrent flows of the agent, from the rules of the entry
        instance; 0 if they declare no limit.
    incarnation
        Incarnation that sent the status; the agent may have restarted since.

    """

    config_version: int
    age_s: float
    flows: int
    flow_limit: int
    incarnation: int


class AgentSummary(NamedTuple):
    """State of an agent, as recorded by an entry instance.

    Attributes
    ----------
    service
        Service of the agent.
    agent
        Id of the agent.
    zone
        Availability zone of the agent.
    state
        Name of the agent's state, such as ``active`` or ``draining``.
    alive
        Whether no message of the agent is overdue; False before its first message.
    incarnation
        Latest known incarnation of the agent.
    report
        Figures of the latest status; None if the entry instance has received
        no message of the agent.

    """

    service: str
    agent: str
    zone: str
    state: str
    alive: bool
    incarnation: int
    report: AgentReport | None = None


class EntrySummary(NamedTuple):
    """Id and availability zone of a known entry instance."""

    entry: str
    zone: str


class StatusReply(NamedTuple):
    """State of an entry instance.

    Attributes
    ----------
    instance
        Id of the entry instance that sends the reply.
    configuration_version
        Version of the configuration in force there.
    configuration_age_s
        Seconds since the store last confirmed that version to be current; None
        if it has not done so since the start of the process.
    zones_out
        Availability zones that are out of service.
    members
        Known agents.
    entries
        Known entry instances, including this one.
    ready
        Whether the fabric should route packets to the entry instance.

    """

    instance: str
    configuration_version: int
    configuration_age_s: float | None
    zones_out: tuple[str, ...]
    members: tuple[AgentSummary, ...]
    entries: tuple[EntrySummary, ...]
    ready: bool = False


class ExplainRequest(NamedTuple):
    """Requests the route of the packets of a TCP flow over IPv4."""

    caller_host: str
    caller_port: int
    service_host: str
    service_port: int


class ExplainReply(NamedTuple):
    """Route of the packets of a flow.

    Attributes
    ----------
    service
        Service of the destination address; empty if no service has it or the
        request is not for an IPv4 flow.
    agent
        Known holder of the flow, otherwise the agent to which the flow would be
        offered first; empty if there is none.
    zone
        Availability zone of that agent; empty if there is none.
    reason
        Explanation of the route in one sentence.

    """

    service: str
    agent: str
    zone: str
    reason: str


class ZoneRequest(NamedTuple):
    """Requests an override of the state of an availability zone.

    The override takes effect without the store.

    Attributes
    ----------
    zone
        Name of the availability zone.
    out
        Whether to take the zone out of service; otherwise return it to service.
    sequence
        Wall-clock time at the operator in milliseconds. The entry instance increases
        it if necessary to exceed the known sequence of the zone; of several changes
        of a zone, the one with the highest sequence applies.
    override_id
        Unique id of the override; orders changes with equal sequences. A repeated
        request is not recognized by its id: it sets the state of the zone again,
        with a higher sequence, also if another change was made in between.

    """

    zone: str
    out: bool
    sequence: int
    override_id: str


class ZoneReply(NamedTuple):
    """Reply to a request for a zone override.

    Attributes
    ----------
    accepted
        Whether the entry instance accepts the override, which it then applies
        asynchronously; it refuses an override of an undeclared zone.
    reason
        Reason for the decision.

    """

    accepted: bool
    reason: str


class CallResult(NamedTuple):
    """Result of a call to an entry instance.

    Attributes
    ----------
    endpoint
        Control address of the entry instance.
    reply
        Reply to the request; None if the call failed.
    problem
        Reason for the failure; empty if the call succeeded.

    """

    endpoint: Endpoint
    reply: Any = None
    problem: str = ''


class Method(NamedTuple):
    """gRPC method of the operator service.

    Attributes
    ----------
    path
        Path of the method in gRPC requests.
    reply_type
        Type of the reply.

    """

    path: str
    reply_type: type


METHODS: Final = MappingProxyType(
    {
        StatusRequest: Method('/persimmonreach.Operator/Status', StatusReply),
        ExplainRequest: Method('/persimmonreach.Operator/Explain', ExplainReply),
        ZoneRequest: Method('/persimmonreach.Operator/SetZone', ZoneReply),
    },
)
