"""Packet labels that identify the entry instance of a bounced packet."""

from typing import Final

import xxhash

from persimmonreach.core import Endpoint, Incarnation
from persimmonreach.packets import LABEL_BYTES

_BITS_PER_BYTE: Final = 8
MAX_LABEL: Final = (1 << _BITS_PER_BYTE * LABEL_BYTES) - 1


class EntryLabels:
    """Assigns labels to entry instances.

    Labels are valid for one process of the agent. A packet with a label of an earlier
    process is dropped, and the caller retransmits it.

    Parameters
    ----------
    incarnation
        Incarnation of the agent. Each process starts at another label, so that those of
        an earlier process do not stand for other entry instances.

    """

    def __init__(self, incarnation: Incarnation) -> None:
        seed = str(incarnation).encode()
        self._next_label = xxhash.xxh32_intdigest(seed) % MAX_LABEL + 1
        self._labels_by_endpoint: dict[Endpoint, bytes] = {}
        self._endpoints_by_label: dict[bytes, Endpoint] = {}

    def label_of(self, endpoint: Endpoint) -> bytes:
        """Return the label of an entry instance; assign one on first use."""
        label = self._labels_by_endpoint.get(endpoint)
        if label is None:
            label = self._next_label.to_bytes(LABEL_BYTES)
            # Packets from callers carry the label 0.
            self._next_label = self._next_label % MAX_LABEL + 1
            self._labels_by_endpoint[endpoint] = label
            self._endpoints_by_label[label] = endpoint
        return label

    def endpoint_of(self, label: bytes) -> Endpoint | None:
        """Return the address of the entry instance with this label, or None."""
        return self._endpoints_by_label.get(label)
