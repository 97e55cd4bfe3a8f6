"""Loads of all agents, as an entry instance knows them.

Load pattern: uneven backend servers, which differ in speed or become slow, and load that
moves between availability zones.
"""

from collections.abc import Callable, Mapping, Set
from math import inf, isfinite
from typing import Final, NamedTuple

from persimmonreach.core import AgentId, Incarnation, ServiceName
from persimmonreach.load._decay import DecayingSum
from persimmonreach.load._estimates import DelayEstimates
from persimmonreach.load._medians import LoadMedians, MedianCache
from persimmonreach.load.messages import AgentLoad

# A message is taken as it is for this time. Afterwards it fades toward the median of the
# service: the occupancy quickly, the service time slowly, because it changes less and
# the period of messages grows with the number of entry instances.
FRESH_S: Final = 1.0
_OCCUPYING_HALF_LIFE_S: Final = 0.25
_SERVICE_HALF_LIFE_S: Final = 10.0
# Half-life of own offers until the delay at their agent is estimated.
_OFFER_HALF_LIFE_S: Final = 1.0
# A backend server that fails fast must not attract load, so none counts as faster than
# this share of the median.
_MIN_MEDIAN_SHARE: Final = 0.5
# Streams cannot be slowed, but some new requests are always served between them.
_MAX_STREAM_SHARE: Final = 0.9
# Service time that is assumed while none is known for the whole service.
_UNKNOWN_SERVICE_S: Final = 0.05
_RETAIN_INTERVAL_S: Final = 1
_MS_PER_S: Final = 1000


class AgentProcess(NamedTuple):
    """Service and present process of an agent."""

    service: ServiceName
    incarnation: Incarnation


class _AgentEntry:
    """Newest message of an agent, and offers to it since then."""

    __slots__ = ('load', 'offers', 'received_at', 'service')

    def __init__(self, service: ServiceName) -> None:
        self.service = service
        self.load: AgentLoad | None = None
        self.received_at = -inf
        self.offers = DecayingSum(_OFFER_HALF_LIFE_S)


class LoadTable(DelayEstimates):
    """Newest loads of all agents, and the delays expected from them.

    Parameters
    ----------
    find_process
        Returns service and incarnation of an agent; None if the agent is unknown.

    """

    def __init__(self, find_process: Callable[[AgentId], AgentProcess | None]) -> None:
        self._find_process = find_process
        self._entries: dict[AgentId, _AgentEntry] = {}
        self._loads: dict[ServiceName, dict[AgentId, AgentLoad]] = {}
        self._medians = MedianCache()
        self._now: float = 0
        self._retain_at: float = 0

    def __len__(self) -> int:
        """Return the number of agents in the table."""
        return len(self._entries)

    def handle_load(self, load: AgentLoad, now: float) -> bool:
        """Store a message of an agent; return whether it is its newest one.

        Messages of another process of the agent, of unknown agents and with impossible
        values are ignored.
        """
        self._now = now
        process = self._find_process(load.agent)
        if process is None or process.incarnation != load.incarnation:
            return False
        entry = self._find_entry(load.agent, process.service)
        is_late = (
            entry.load is not None
            and entry.load.incarnation == load.incarnation
            and load.sequence <= entry.load.sequence
        )
        if is_late or not _is_possible(load):
            return False
        if entry.service != process.service:
            self._remove(load.agent)
            entry = self._find_entry(load.agent, process.service)
        entry.load = load
        entry.received_at = now
        entry.offers.clear()
        self._loads.setdefault(entry.service, {})[load.agent] = load
        return True

    def retain(self, agents: Set[AgentId], now: float) -> None:
        """Forget all agents that are not among ``agents``, at most once a second."""
        if now < self._retain_at:
            return
        self._retain_at = now + _RETAIN_INTERVAL_S
        for agent in self._entries.keys() - agents:
            self._remove(agent)

    def loads_of(self, service: ServiceName) -> Mapping[AgentId, AgentLoad]:
        """Return the newest message of each agent of a service that has sent one."""
        return self._loads.get(service, {})

    def received_at(self, agent: AgentId) -> float:
        """Return when the newest message of an agent arrived; minus infinity if none."""
        entry = self._entries.get(agent)
        return -inf if entry is None else entry.received_at

    def understands_classes(self, agent: AgentId, incarnation: Incarnation) -> bool:
        """Return whether this process of an agent has sent a load message."""
        entry = self._entries.get(agent)
        if entry is None or entry.load is None:
            return False
        return entry.load.incarnation == incarnation

    def service_s(self, agent: AgentId) -> float:
        """Return the service time that an agent has reported, in seconds.

        It is the median of the service if the agent has reported none, and 0 if no
        agent of the service has.
        """
        entry = self._find_known_entry(agent)
        if entry.load is not None and entry.load.service_ms:
            return entry.load.service_ms / _MS_PER_S
        return self._medians_of(entry, self._now).service_s

    def expected_delay_s(self, agent: AgentId, slots: int, now: float) -> float:
        """Return the expected time until the response to a new request, in seconds.

        Parameters
        ----------
        agent
            Agent beside the backend server.
        slots
            Number of requests that the backend server processes concurrently.
        now
            Current time, in seconds.

        """
        self._now = now
        slots = max(1, slots)
        entry = self._find_known_entry(agent)
        medians = self._medians_of(entry, now)
        service_s, occupying, stream_rate = _blend(entry, medians, now)
        queued_s = service_s * _count_rounds(occupying, slots)
        if not entry.offers.is_empty:
            # Requests may end long before the next message, so an offer counts half after
            # the delay that was expected for it.
            entry.offers.half_life_s = queued_s
            ahead = occupying + entry.offers.total_at(now)
            queued_s = service_s * _count_rounds(ahead, slots)
        if not stream_rate:
            return queued_s
        stream_share = min(_MAX_STREAM_SHARE, stream_rate * service_s / slots)
        return queued_s / (1 - stream_share)

    def count_offer(self, agent: AgentId) -> None:
        """Add an offer to the load of an agent until its next message.

        The time of the offer is that of the latest call with a time.
        """
        self._find_known_entry(agent).offers.add(1, self._now)

    def _find_known_entry(self, agent: AgentId) -> _AgentEntry:
        """Return the entry of an agent, which is not kept if the agent is unknown."""
        entry = self._entries.get(agent)
        if entry is not None:
            return entry
        process = self._find_process(agent)
        if process is None:
            return _AgentEntry(ServiceName(''))
        return self._find_entry(agent, process.service)

    def _find_entry(self, agent: AgentId, service: ServiceName) -> _AgentEntry:
        entry = self._entries.get(agent)
        if entry is None:
            entry = _AgentEntry(service)
            self._entries[agent] = entry
        return entry

    def _remove(self, agent: AgentId) -> None:
        service = self._entries.pop(agent).service
        loads = self._loads.get(service)
        if loads is not None:
            loads.pop(agent, None)
            if not loads:
                self._loads.pop(service)
                self._medians.discard(service)

    def _medians_of(self, entry: _AgentEntry, now: float) -> LoadMedians:
        return self._medians.find(entry.service, self.loads_of(entry.service), now)


def _blend(
    entry: _AgentEntry, medians: LoadMedians, now: float
) -> tuple[float, float, float]:
    """Return service time, occupancy and stream rate that count for an agent.

    They are those of its message while it is fresh, and approach the medians afterwards.
    """
    median_s = medians.service_s or _UNKNOWN_SERVICE_S
    load = entry.load
    if load is None:
        return median_s, medians.occupying, medians.stream_rate
    service_s = load.service_ms / _MS_PER_S or median_s
    occupying = load.occupying + load.waiting
    stream_rate = load.stream_rate
    stale_s = now - entry.received_at - FRESH_S
    if stale_s > 0:
        weight = 0.5 ** (stale_s / _OCCUPYING_HALF_LIFE_S)
        occupying = medians.occupying + weight * (occupying - medians.occupying)
        stream_rate = medians.stream_rate + weight * (stream_rate - medians.stream_rate)
        service_weight = 0.5 ** (stale_s / _SERVICE_HALF_LIFE_S)
        service_s = median_s + service_weight * (service_s - median_s)
    return max(service_s, median_s * _MIN_MEDIAN_SHARE), occupying, stream_rate


def _count_rounds(ahead: float, slots: int) -> float:
    """Return how many service times a request takes with ``ahead`` before it."""
    return (ahead + 1) / slots if ahead + 1 > slots else 1


def _is_possible(load: AgentLoad) -> bool:
    amounts = load[AgentLoad._fields.index('service_ms') :]
    return isfinite(sum(amounts)) and min(amounts) >= 0
