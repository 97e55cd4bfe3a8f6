"""Packets of known flows between entry instances and agents."""

from types import MappingProxyType
from typing import Final, NamedTuple


class RoutedPacket(NamedTuple):
    """A packet of a flow that the agent is thought to hold."""

    packet: bytes


MESSAGE_TYPES: Final = MappingProxyType({1: RoutedPacket})
