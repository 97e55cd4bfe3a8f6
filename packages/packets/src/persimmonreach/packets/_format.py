"""Interface of packet formats: all that depends on the encoding of packets."""

from abc import abstractmethod
from typing import Final

from persimmonreach.core import Endpoint, FlowKey
from persimmonreach.packets._header import (
    HeaderCodec,
    PacketError,
    PacketHeader,
    Segment,
)

LABEL_BYTES: Final = 4


class PacketFormat(HeaderCodec):
    """Reads, labels and builds packets of one format.

    An agent adds a label to a packet for the backend server, and reads it if the
    backend server bounces the packet. A format without a field for a label
    returns the packet unchanged.
    """

    @property
    @abstractmethod
    def can_bounce(self) -> bool:
        """Whether a backend server bounces packets of unknown flows."""

    @property
    @abstractmethod
    def can_build_segments(self) -> bool:
        """Whether packets other than resets toward callers can be built.

        If not, :meth:`build_inbound` and :meth:`build_outbound` raise PacketError.
        """

    @abstractmethod
    def extract_destination(self, key: FlowKey) -> bytes:
        """Return the packed destination address and port of a flow."""

    @abstractmethod
    def source_host(self, key: FlowKey) -> bytes:
        """Return the packed address of the caller of a flow, without its port."""

    @abstractmethod
    def pack_destination(self, endpoint: Endpoint) -> bytes:
        """Return an address and port as :meth:`extract_destination` returns them."""

    @abstractmethod
    def is_bounced(self, packet: bytes) -> bool:
        """Return whether the backend server bounced this packet of a caller."""

    @abstractmethod
    def label(self, packet: bytes, label: bytes) -> bytes:
        """Return the packet with a label of ``LABEL_BYTES`` bytes."""

    @abstractmethod
    def read_label(self, packet: bytes) -> bytes:
        """Return the label of a bounced packet."""

    @abstractmethod
    def restore_bounced(self, packet: bytes) -> bytes:
        """Return a bounced packet in the form in which the caller sent it."""

    @abstractmethod
    def build_reset(self, key: FlowKey, sequence: int) -> bytes:
        """Return a reset toward the caller.

        Parameters
        ----------
        key
            Flow to reset.
        sequence
            Sequence number of the reset: the caller's latest acknowledgement
            number. The caller discards a reset outside its receive window
            (RFC 9293, 3.5.3).

        """

    def build_reset_response(self, header: PacketHeader) -> bytes:
        """Return the reset toward the caller in response to its packet."""
        return self.build_reset(header.key, header.acknowledgement)

    def syn_age_s(self, header: PacketHeader) -> float:
        """Return the seconds from a caller's first SYN to this copy of it.

        A format that does not distinguish the copies returns 0.
        """
        return 0

    def build_inbound(self, key: FlowKey, segment: Segment) -> bytes:
        """Return a packet with a segment from the caller to the service.

        Raises
        ------
        PacketError
            If the format can build only resets toward callers.

        """
        raise PacketError('packet format can build only resets toward callers')

    def build_outbound(self, key: FlowKey, segment: Segment) -> bytes:
        """Return a packet with a segment from the service to the caller.

        Raises
        ------
        PacketError
            If the format can build only resets toward callers.

        """
        raise PacketError('packet format can build only resets toward callers')
