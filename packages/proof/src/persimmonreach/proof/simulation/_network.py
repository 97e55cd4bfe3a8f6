"""Simulated network between instances and callers."""

from collections import Counter
from collections.abc import Callable
from random import Random
from typing import Any, Final, NamedTuple

from persimmonreach.core import Endpoint
from persimmonreach.proof.simulation._time import Scheduler

# One-way delays.
SAME_ZONE_DELAY_S: Final = 0.0002
CROSS_ZONE_DELAY_S: Final = 0.0044
CALLER_DELAY_S: Final = 0.003
# Largest addition to a delay, as a share of it.
_MAX_JITTER_SHARE: Final = 0.3


class NetworkConditions(NamedTuple):
    """Current faults of the network.

    Attributes
    ----------
    loss
        Probability that a datagram is lost, from 0 to 1; applies to messages
        between instances and to packets of callers.
    partitions
        Pairs of hosts that cannot reach each other.
    one_way_partitions
        Pairs of hosts of which the first cannot reach the second.

    """

    loss: float = 0
    partitions: frozenset[frozenset[str]] = frozenset()
    one_way_partitions: frozenset[tuple[str, str]] = frozenset()


class Network:
    """Delivers datagrams with delay, loss and partitions.

    Parameters
    ----------
    scheduler
        Scheduler in virtual time.
    random
        Source of jitter and losses.

    Attributes
    ----------
    conditions
        Current faults of the network.
    message_counts
        Number of messages sent between instances, by type.
    observe_cross_zone_message
        Called with each message that is sent to another availability zone.

    """

    def __init__(self, scheduler: Scheduler, random: Random) -> None:
        self._scheduler = scheduler
        self._random = random
        self._zones: dict[str, str] = {}
        self.conditions = NetworkConditions()
        self.message_counts: Counter[str] = Counter()
        self.observe_cross_zone_message: Callable[[Any], None] = _ignore

    def assign_zone(self, host: str, zone: str) -> None:
        """Set the availability zone of an instance, which determines its delays."""
        self._zones[host] = zone

    def send_message(
        self,
        endpoints: tuple[Endpoint, Endpoint],
        message: Any,
        receive: Callable[[Endpoint, Any], None],
    ) -> None:
        """Send a message between instances; calls ``receive`` when it arrives."""
        sender, destination = endpoints
        self.message_counts[type(message).__name__] += 1
        is_same_zone = self._zones.get(sender.host) == self._zones.get(destination.host)
        if not is_same_zone:
            self.observe_cross_zone_message(message)
        if self._is_partitioned(sender.host, destination.host) or self._draw_loss():
            return
        delay_s = SAME_ZONE_DELAY_S if is_same_zone else CROSS_ZONE_DELAY_S
        self._scheduler.call_later(self._add_jitter(delay_s), receive, sender, message)

    def send_packet(self, receive: Callable[[bytes], None], packet: bytes) -> None:
        """Send a packet between a caller and an instance."""
        if not self._draw_loss():
            self._scheduler.call_later(self._add_jitter(CALLER_DELAY_S), receive, packet)

    def _add_jitter(self, delay_s: float) -> float:
        return delay_s * self._random.uniform(1, 1 + _MAX_JITTER_SHARE)

    def _draw_loss(self) -> bool:
        return self._random.random() < self.conditions.loss

    def _is_partitioned(self, sender: str, destination: str) -> bool:
        pair = frozenset((sender, destination))
        return (
            pair in self.conditions.partitions
            or (sender, destination) in self.conditions.one_way_partitions
        )


def _ignore(message: Any) -> None:
    """Ignore a message; used unless an observer is set."""
