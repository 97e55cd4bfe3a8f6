"""Packets of callers that the agent delivers to the backend server."""

from persimmonreach.core import Deliver, Endpoint
from persimmonreach.forwarding._labels import EntryLabels
from persimmonreach.packets import PacketError, PacketFormat, PacketHeader


class CallerPackets:
    """Parses packets of callers, and labels them with the entry instance for delivery.

    Parameters
    ----------
    packet_format
        Codec of the packets of the front end.
    labels
        Labels of the entry instances.

    """

    def __init__(self, packet_format: PacketFormat, labels: EntryLabels) -> None:
        self._packet_format = packet_format
        self._labels = labels

    def parse(self, packet: bytes) -> PacketHeader | None:
        """Return the header of a packet; None if the packet is malformed."""
        try:
            return self._packet_format.read_inbound(packet)
        except PacketError:
            return None

    def build_delivery(self, sender: Endpoint, packet: bytes) -> Deliver:
        """Return the delivery of a packet that this entry instance sent."""
        return Deliver(self._packet_format.label(packet, self._labels.label_of(sender)))
