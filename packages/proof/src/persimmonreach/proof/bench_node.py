"""One agent with the decisions of the product, for virtual time."""

import random
from typing import Final

from persimmonreach.admission import (
    LimitSettings,
    Placement,
    PlacementPolicy,
    PlacementSettings,
    SlowStartLimit,
)
from persimmonreach.admission.messages import MESSAGE_TYPES as ADMISSION_TYPES
from persimmonreach.core import StateMachine
from persimmonreach.flows import FlowTable, ProbeSettings
from persimmonreach.membership import Member
from persimmonreach.ownership import BucketOwnership, OwnershipSettings
from persimmonreach.ownership.messages import MESSAGE_TYPES as OWNERSHIP_TYPES
from persimmonreach.packets import Ipv4TcpCodec, MsgpackFrameCodec
from persimmonreach.packets.builder import FlowEnds, flow_key
from persimmonreach.proof.bench_inputs import make_member, make_services
from persimmonreach.requests import Requests, RequestSettings
from persimmonreach.requests.messages import MESSAGE_TYPES as REQUEST_TYPES
from persimmonreach.routing import AgentParts, AgentRouter, AgentState, Codecs

# Above the 2,000 flows of a backend server, so that the limit does not decide.
CONNECTIONS: Final = 4000
# Flows are looked through for silent ones, but none counts as silent.
_NO_PROBES_S: Final = 1_000_000


class Node:
    """One agent with its state machines.

    Parameters
    ----------
    number
        Number of the agent; decides its id and zone.
    policy
        Choice of the backend server of a new flow.

    """

    def __init__(self, number: int, policy: PlacementPolicy) -> None:
        self.member = make_member(number, 1)
        self.parts = make_parts(self.member, policy)
        routes: dict[type, StateMachine] = {
            **dict.fromkeys(OWNERSHIP_TYPES.values(), self.parts.ownership),
            **dict.fromkeys(ADMISSION_TYPES.values(), self.parts.placement),
            **dict.fromkeys(REQUEST_TYPES.values(), self.parts.requests),
        }
        self.router = AgentRouter(self.parts, routes)


def make_parts(member: Member, policy: PlacementPolicy) -> AgentParts:
    """Return the state machines of an agent without slow start and probes."""
    service = make_services(1)[0]._replace(connections=CONNECTIONS)
    rng = random.Random(member.agent)
    flows = FlowTable(ProbeSettings(idle_s=_NO_PROBES_S))
    limit = SlowStartLimit(LimitSettings(service.slots, service.slots))
    requests = RequestSettings(service.service, member.zone)
    placement = PlacementSettings(CONNECTIONS)
    identity = (member.agent, member.zone, service.service)
    return AgentParts(
        AgentState(service),
        member.zone,
        flows,
        BucketOwnership(member.agent, service.service, OwnershipSettings(), flows, rng),
        Placement(*identity, placement, policy, rng),
        Requests(member.agent, requests, limit, rng),
        limit,
        Codecs(Ipv4TcpCodec(), MsgpackFrameCodec()),
        flow_key(FlowEnds(member.endpoint, service.address)),
    )
