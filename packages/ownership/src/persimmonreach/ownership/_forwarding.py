"""Forwarding of packets between agents."""

from typing import Any, Final

from persimmonreach.core import Count, Send, ServiceId
from persimmonreach.membership import Member
from persimmonreach.ownership._events import PacketArrived
from persimmonreach.packets import ForwardedPacket

# Entry instance to a former owner, to the owner, to the holder; a packet that
# needs more has met views that differ.
HOP_LIMIT: Final = 3


def forward(event: PacketArrived, to: Member) -> list[Any]:
    """Return the action that forwards the packet, or drops it at the limit."""
    if event.hops >= HOP_LIMIT:
        return [Count('packets_dropped_hop_limit')]
    service = ServiceId(to.service)
    return [Send(to.endpoint, ForwardedPacket(service, event.hops + 1, event.packet))]
