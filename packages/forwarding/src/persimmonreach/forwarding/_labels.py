"""Labels that tell from which entry instance a bounced packet came."""

from persimmonreach.core import Endpoint
from persimmonreach.packets import LABEL_BYTES


class Labels:
    """Numbers entry instances for the label of a packet.

    A label of an earlier process finds nothing; its packet is sent again by
    the caller.
    """

    def __init__(self) -> None:
        self._labels: dict[Endpoint, bytes] = {}
        self._endpoints: dict[bytes, Endpoint] = {}

    def of(self, endpoint: Endpoint) -> bytes:
        """Return the label of an entry instance."""
        label = self._labels.get(endpoint)
        if label is None:
            label = (len(self._labels) + 1).to_bytes(LABEL_BYTES)
            self._labels[endpoint] = label
            self._endpoints[label] = endpoint
        return label

    def find(self, label: bytes) -> Endpoint | None:
        """Return the entry instance with this label, or None."""
        return self._endpoints.get(label)
