"""State machines and settings that an agent's router joins."""

from typing import NamedTuple

from persimmonreach.admission import LocalFlowCount, SlowStartLimit
from persimmonreach.core import Action, FlowKey, StateMachine, Zone
from persimmonreach.flows import FlowTable
from persimmonreach.membership import FlowsCounted
from persimmonreach.ownership import BucketOwnership
from persimmonreach.requests import Requests
from persimmonreach.routing._packet_path import Codecs
from persimmonreach.routing._state import AgentState


class AgentParts(NamedTuple):
    """State machines and settings that an agent's router joins."""

    state: AgentState
    zone: Zone
    flows: FlowTable
    ownership: BucketOwnership
    placement: StateMachine
    requests: Requests
    limit: SlowStartLimit
    codecs: Codecs
    own_key: FlowKey


def report_flows(
    parts: AgentParts,
    now: float,
) -> tuple[Action, ...]:
    """Return the actions that publish the number of local flows."""
    flows = len(parts.flows)
    flow_limit = parts.limit.flow_limit(parts.state.service.connections)
    count = LocalFlowCount(flows, flow_limit, parts.state.is_draining)
    return (
        *parts.placement.handle(count, now),
        FlowsCounted(flows, flow_limit),
    )
