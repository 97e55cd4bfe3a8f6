"""Builds the state machines of an agent with the switches of a case."""

from random import Random

from persimmonreach.admission import (
    LimitSettings,
    Placement,
    PlacementSettings,
    SlowStartLimit,
    TwoChoices,
)
from persimmonreach.configuration import ServiceConfig
from persimmonreach.core import AgentId, Endpoint, Zone
from persimmonreach.flows import FlowTable
from persimmonreach.ownership import BucketOwnership
from persimmonreach.packets import Ipv4TcpCodec, MsgpackFrameCodec
from persimmonreach.packets.builder import FlowEnds, flow_key
from persimmonreach.proof._settings import Switches
from persimmonreach.requests import Requests, RequestSettings
from persimmonreach.routing import AgentParts, AgentState, Codecs


class PartsMaker:
    """Builds the state machines of one agent.

    Parameters
    ----------
    name
        Id of the agent.
    zone
        Its availability zone.
    switches
        Settings of the decisions.
    rng
        Source of random numbers.

    """

    def __init__(self, name: str, zone: Zone, switches: Switches, rng: Random) -> None:
        self._agent = AgentId(name)
        self._zone = zone
        self._switches = switches
        self._rng = rng

    def make(self, service: ServiceConfig, endpoint: Endpoint) -> AgentParts:
        """Return the state machines for an agent of ``service``."""
        switches, flows = self._switches, FlowTable(self._switches.probing)
        limit = SlowStartLimit(
            LimitSettings(service.slots, service.slow_start_floor, switches.slow_start),
        )
        return AgentParts(
            AgentState(service),
            self._zone,
            flows,
            BucketOwnership(
                self._agent,
                service.service,
                switches.ownership,
                flows,
                self._rng,
            ),
            self._make_placement(service),
            Requests(self._agent, self._settings_of(service), limit, self._rng),
            limit,
            Codecs(Ipv4TcpCodec(), MsgpackFrameCodec()),
            flow_key(FlowEnds(endpoint, service.address)),
        )

    def _make_placement(self, service: ServiceConfig) -> Placement:
        return Placement(
            self._agent,
            self._zone,
            service.service,
            PlacementSettings(service.connections),
            TwoChoices(),
            self._rng,
        )

    def _settings_of(self, service: ServiceConfig) -> RequestSettings:
        return RequestSettings(
            service.service,
            self._zone,
            service.largest_deadline_ms,
            service.retry_budget,
            deduplicate=self._switches.deduplicate,
            strict_retries=self._switches.strict_retries,
        )
