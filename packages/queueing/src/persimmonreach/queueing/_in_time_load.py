"""Load by flows that can meet their objectives.

Load pattern: two classes that together exceed the capacity, so that a flow which has been
overtaken is served only after its caller has given up.
"""

from math import log
from typing import Final

from persimmonreach.load import DecayingSum
from persimmonreach.queueing._model import ServerCapacity

# Long enough for a few dozen flows of a small server, and shorter than the time in which
# a caller gives up.
_HALF_LIFE_S: Final = 0.5
# A short burst exceeds the capacity too, and ends before the queue has been processed.
_MAX_SHARE: Final = 0.6


class InTimeLoad:
    """Rate of new flows that can meet their objectives.

    They go before flows that cannot, which get only the rest of the capacity.
    """

    def __init__(self) -> None:
        self._flows = DecayingSum(_HALF_LIFE_S)

    def record_flow(self, now: float) -> None:
        """Record a new flow that can meet its objective."""
        self._flows.add(1, now)

    def late_delay_s(self, capacity: ServerCapacity, ahead: int, now: float) -> float:
        """Return the time until the response to a flow that misses its objective.

        Parameters
        ----------
        capacity
            Capacity of the backend server.
        ahead
            Number of flows that occupy the backend server or wait before it.
        now
            Current time, in seconds.

        """
        rate = self._flows.total_at(now) * log(2) / _HALF_LIFE_S
        share = rate * capacity.service_s / max(1, capacity.slots)
        return capacity.expected_delay_s(ahead) / (1 - min(share, _MAX_SHARE))
