"""Messages that carry packets of known flows from entry instances to agents."""

from types import MappingProxyType
from typing import Final, NamedTuple


class RoutedPacket(NamedTuple):
    """Packet that an entry instance routes to the presumed holder of its flow.

    An agent that does not hold the flow returns the packet to the sender.
    """

    packet: bytes


MESSAGE_TYPES: Final = MappingProxyType({1: RoutedPacket})
