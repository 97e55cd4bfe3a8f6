"""Builds the state machines of an agent once its service is known."""

import random

from persimmonreach.admission import (
    LimitSettings,
    Placement,
    PlacementSettings,
    SlowStartLimit,
    TwoChoices,
)
from persimmonreach.admission.messages import MESSAGE_TYPES as ADMISSION_TYPES
from persimmonreach.configuration import ServiceConfig
from persimmonreach.core import AgentId, Endpoint, StateMachine, Zone
from persimmonreach.daemon._settings import AgentSettings
from persimmonreach.flows import FlowTable
from persimmonreach.ownership import BucketOwnership, OwnershipSettings
from persimmonreach.ownership.messages import MESSAGE_TYPES as OWNERSHIP_TYPES
from persimmonreach.packets import Ipv4TcpCodec, MsgpackFrameCodec
from persimmonreach.packets.builder import FlowEnds, flow_key
from persimmonreach.requests import Requests, RequestSettings
from persimmonreach.requests.messages import MESSAGE_TYPES as REQUEST_TYPES
from persimmonreach.routing import AgentParts, AgentRouter, AgentState, Codecs


def make_router(
    settings: AgentSettings,
    service: ServiceConfig,
    endpoint: Endpoint,
) -> AgentRouter:
    """Return the decisions of an agent.

    Parameters
    ----------
    settings
        Settings of the agent.
    service
        Declared service of its backend server.
    endpoint
        Address of the agent toward other processes.

    """
    parts = make_parts(settings, service, endpoint)
    routes: dict[type, StateMachine] = {
        **dict.fromkeys(OWNERSHIP_TYPES.values(), parts.ownership),
        **dict.fromkeys(ADMISSION_TYPES.values(), parts.placement),
        **dict.fromkeys(REQUEST_TYPES.values(), parts.requests),
    }
    return AgentRouter(parts, routes)


def make_parts(
    settings: AgentSettings,
    service: ServiceConfig,
    endpoint: Endpoint,
) -> AgentParts:
    """Return the state machines of an agent."""
    agent = AgentId(settings.instance)
    zone = Zone(settings.zone)
    rng = random.SystemRandom()
    flows = FlowTable(settings.probing)
    limit = SlowStartLimit(LimitSettings(service.slots, service.slow_start_floor))
    request_settings = RequestSettings(
        service.service,
        zone,
        service.largest_deadline_ms,
        service.retry_budget,
    )
    return AgentParts(
        state=AgentState(service),
        zone=zone,
        flows=flows,
        ownership=BucketOwnership(
            agent,
            service.service,
            OwnershipSettings(),
            flows,
            rng,
        ),
        placement=Placement(
            agent,
            zone,
            service.service,
            PlacementSettings(service.connections),
            TwoChoices(),
            rng,
        ),
        requests=Requests(agent, request_settings, limit, rng),
        limit=limit,
        codecs=Codecs(Ipv4TcpCodec(), MsgpackFrameCodec()),
        own_key=flow_key(FlowEnds(endpoint, service.address)),
    )
