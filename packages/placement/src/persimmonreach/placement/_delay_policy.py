"""Placement by expected delay, for flows of services that declare classes.

Load pattern: backend servers of unequal speed, and zones whose demand does not match
their capacity.
"""

from collections.abc import Callable, Iterable, Mapping, Sequence
from itertools import islice
from math import log
from typing import Final, final

import xxhash

from persimmonreach.core import AgentId, FlowKey, Incarnation, Zone
from persimmonreach.discovery import AgentRecord
from persimmonreach.load import DelayEstimates
from persimmonreach.outliers import Ejections
from persimmonreach.placement._policy import (
    DEFAULT_CHOICE_COUNT,
    MAX_EXCESS_FLOWS,
    LocalityPolicy,
    PlacementPolicy,
    PlacementRequest,
    rank_agents,
)
from persimmonreach.rules import ClassOfService

ZONE_ROUND_TRIP_S: Final = 0.012
# A zone keeps a flow if that delays its response by no more than this share of the
# latency objective. The rest is for the service time and for delays to come.
ZONE_MARGIN_SHARE: Final = 0.1
# Service times are averages over a few tens of responses. Agents whose delays are within
# this ratio are compared by flows, so that long flows stay evenly spread.
EQUAL_DELAY_RATIO: Final = 1.1
# Number of agents that are ordered by delay after a refusal. It bounds the processor
# time for each flow of a large service that is overloaded.
MAX_ORDERED_BY_DELAY: Final = 64
_HASH_BITS: Final = 64
_HASH_VALUE_COUNT: Final = 1 << _HASH_BITS
# The ranking uses seed 0, and draws the agents with the highest hash values.
_SHARE_HASH_SEED: Final = 1
_SCORE_HASH_SEED: Final = 2


@final
class ExpectedDelayPolicy(PlacementPolicy):
    """Power-of-choices load balancing by expected delay that prefers one zone.

    Two agents of the zone and two of all agents are drawn by rendezvous rank, and one is
    chosen from each pair. The choice of the zone comes first unless its expected delay
    exceeds that of the other by more than a margin. After a refusal, all agents are
    ordered (in a large service, the highest ranking ones), and the margin is added to
    the delays of other zones.

    Both the choice from a pair and this order are random, weighted by the inverse square
    of the delay. All entry instances know the same delays, up to a status period old: if
    each always chose the fastest agent, all of them would overload it until its next
    status and then avoid it. The random numbers are hashes of key and agent, so that all
    copies of a SYN are treated alike.

    Flows without a class are ordered by ``LocalityPolicy``.

    Parameters
    ----------
    zone
        Availability zone of this entry instance, which receives its callers' packets.
    estimates
        Expected delays of the agents.
    reports_load
        Whether an agent process has reported its load. One that has not is compared by
        its flows and requests, as in ``LocalityPolicy``.
    ejections
        Agents that get no flow while another is left, or only a share of their choices.

    """

    def __init__(
        self,
        zone: Zone,
        estimates: DelayEstimates,
        reports_load: Callable[[AgentId, Incarnation], bool],
        ejections: Ejections,
    ) -> None:
        self._zone = zone
        self._estimates = estimates
        self._reports_load = reports_load
        self._ejections = ejections
        self._unclassed_policy = LocalityPolicy(zone)

    def order(
        self, request: PlacementRequest, records: Iterable[AgentRecord]
    ) -> Sequence[AgentRecord]:
        """Return ``records`` in the order in which the flow is offered to them."""
        if request.class_of_service is None:
            return self._unclassed_policy.order(request, records)
        if request.refusal_count:
            return self._order_by_delay(request, records)
        ranked = rank_agents(request.key, records)
        if not ranked:
            return ranked
        chosen = self._choose(request, ranked)
        ranked.remove(chosen)
        return [chosen, *ranked]

    def count_offer(self, record: AgentRecord) -> None:
        """Add a flow that was offered to an agent to the known load of the agent."""
        record.count_offer()
        self._estimates.count_offer(record.agent)

    def _order_by_delay(
        self, request: PlacementRequest, records: Iterable[AgentRecord]
    ) -> Sequence[AgentRecord]:
        """Order the agents at random, weighted by delay; those held off come last.

        Agents of other zones are ordered as if they were slower by the margin. Of many
        agents, those that rank lower for the key follow unordered.
        """
        key, now = request.key, request.now
        ordered = list(records)
        rest: list[AgentRecord] = []
        if len(ordered) > MAX_ORDERED_BY_DELAY:
            ranked = rank_agents(key, ordered)
            ordered = ranked[:MAX_ORDERED_BY_DELAY]
            rest = ranked[MAX_ORDERED_BY_DELAY:]
        margin_s = _zone_margin_s(request.class_of_service)
        zone = self._zone
        ordered.sort(
            key=lambda record: (
                self._is_held_off(record, key, now),
                _score(
                    key,
                    record.status.agent,
                    self._delay_s(record, now) + margin_s * (record.status.zone != zone),
                ),
            ),
        )
        return ordered + rest

    def _choose(
        self, request: PlacementRequest, ranked: Sequence[AgentRecord]
    ) -> AgentRecord:
        candidates = self._draw(request, ranked) or ranked[:DEFAULT_CHOICE_COUNT]
        near = self._draw(
            request, (record for record in ranked if record.status.zone == self._zone)
        )
        delays = {
            record.agent: self._delay_s(record, request.now)
            for record in (*candidates, *near)
            if self._reports_load(record.agent, record.status.incarnation)
        }
        choice = _choose_faster(request.key, candidates, delays)
        if not near:
            return choice
        near_choice = _choose_faster(request.key, near, delays)
        margin_s = _zone_margin_s(request.class_of_service)
        is_kept = _is_within_margin(near_choice, choice, delays, margin_s)
        return near_choice if is_kept else choice

    def _draw(
        self, request: PlacementRequest, ranked: Iterable[AgentRecord]
    ) -> list[AgentRecord]:
        """Return the highest ranking agents that may get the flow."""
        drawn = (
            record
            for record in ranked
            if not self._is_held_off(record, request.key, request.now)
        )
        return list(islice(drawn, DEFAULT_CHOICE_COUNT))

    def _is_held_off(self, record: AgentRecord, key: FlowKey, now: float) -> bool:
        """Return whether the agent does not get this choice after an ejection.

        The decision depends on the key, so that all copies of a SYN have the same choice.
        """
        agent = record.status.agent
        share = self._ejections.choice_share(agent, now)
        if share >= 1:
            return False
        return _hash_share(key, agent, _SHARE_HASH_SEED) > share

    def _delay_s(self, record: AgentRecord, now: float) -> float:
        status = record.status
        return self._estimates.expected_delay_s(status.agent, status.slots, now)


def _choose_faster(
    key: FlowKey, pair: Sequence[AgentRecord], delays: Mapping[AgentId, float]
) -> AgentRecord:
    """Return the agent with less delay, or the less loaded one if both are equal.

    The slower agent is chosen with the square of the ratio of both delays.
    """
    if not all(record.agent in delays for record in pair):
        return min(pair, key=_get_load)
    pair_delays = [delays[record.agent] for record in pair]
    if max(pair_delays) <= EQUAL_DELAY_RATIO * min(pair_delays):
        return min(pair, key=_get_load)
    return min(pair, key=lambda record: _score(key, record.agent, delays[record.agent]))


def _is_within_margin(
    near: AgentRecord,
    other: AgentRecord,
    delays: Mapping[AgentId, float],
    margin_s: float,
) -> bool:
    if near.agent in delays and other.agent in delays:
        return delays[near.agent] - delays[other.agent] <= margin_s
    excess_load = near.load - other.load
    return excess_load * max(1, near.status.slots) <= MAX_EXCESS_FLOWS


def _zone_margin_s(class_of_service: ClassOfService) -> float:
    objective_s = class_of_service.traffic_class.objective_s
    return ZONE_ROUND_TRIP_S + ZONE_MARGIN_SHARE * objective_s


def _hash_share(key: FlowKey, agent: AgentId, seed: int) -> float:
    """Return a hash of key and agent as a number above 0, up to 1."""
    digest = xxhash.xxh3_64_intdigest(key + agent.encode(), seed)
    return (digest + 1) / _HASH_VALUE_COUNT


def _score(key: FlowKey, agent: AgentId, delay_s: float) -> float:
    """Return the score of weighted rendezvous hashing; the least is chosen."""
    return -log(_hash_share(key, agent, _SCORE_HASH_SEED)) * delay_s * delay_s


def _get_load(record: AgentRecord) -> float:
    return record.load
