"""Data of the admission queue."""

from enum import IntEnum
from typing import Final, NamedTuple

from persimmonreach.core import FlowKey

# One request in progress and one queued for each slot.
MAX_OCCUPYING_PER_SLOT: Final = 2
# Requests on open flows, which are never held, can keep a backend server above lower
# limits for seconds. Four service times fit the objective of a service that can queue.
MAX_OCCUPYING_PER_SLOT_URGENT: Final = 4
# Limit for an urgent flow that no agent admitted at once. It exceeds what most servers
# queue themselves, so that a full one rejects requests of open flows, too.
MAX_OCCUPYING_PER_SLOT_FORCED: Final = 8
# Service times vary: of the requests that the average service time would answer just in
# time, half would miss their objective.
_MARGIN_SERVICE_TIMES: Final = 1
# Share of the capacity from which requests on open flows alone can keep a server above
# the limits for a while.
_FILLING_STREAM_SHARE: Final = 0.25
# Limit for the head of a queue from which no flow was admitted for a while.
MAX_OCCUPYING_PER_SLOT_STARVED: Final = 4
# More flows that are being opened could arrive together and exceed the server's queue.
_MAX_OPENING_PER_SLOT: Final = 2
# The rate is an average, and new flows always get some of the capacity.
_MAX_STREAM_SHARE: Final = 0.9
# First attempts that are admitted for each retry while both wait.
FIRST_ATTEMPTS_PER_RETRY: Final = 4
# Ratio of the weights of two classes that are one step of priority apart.
_WEIGHT_STEP: Final = 2.0


class ServerCapacity(NamedTuple):
    """Capacity of a backend server, and how much of it is in use.

    Attributes
    ----------
    slots
        Number of requests that it processes concurrently. An unknown number, 0, counts
        as 1.
    occupying
        Number of flows that are being opened or wait for a response.
    service_s
        Expected service time of one request, in seconds.
    opening_s
        Average time from the admission of a flow to the arrival of its request, in
        seconds; 0 if it is not known.
    stream_share
        Share of its capacity that requests on open flows take, which are never held.

    """

    slots: int
    occupying: int
    service_s: float
    opening_s: float = 0
    stream_share: float = 0

    @property
    def next_delay_s(self) -> float:
        """Time until the response to a request that is the next to be admitted."""
        last_place = MAX_OCCUPYING_PER_SLOT * max(1, self.slots) - 1
        ahead = min(self.occupying, last_place)
        return self.service_s * (1 + self._rounds_before(ahead))

    @property
    def margin_s(self) -> float:
        """Margin before a latency objective in seconds."""
        return _MARGIN_SERVICE_TIMES * self.service_s

    @property
    def in_time_delay_s(self) -> float:
        """Time to the earliest objective that the next admitted flow can meet."""
        return self.next_delay_s + self.margin_s

    @property
    def is_filled_by_streams(self) -> bool:
        """Whether requests on open flows keep new flows out that the server can queue."""
        is_below_limit = self.is_below(MAX_OCCUPYING_PER_SLOT_FORCED)
        return is_below_limit and self.stream_share >= _FILLING_STREAM_SHARE

    @property
    def present_delay_s(self) -> float:
        """Time until the response to a request that is admitted now."""
        return self.service_s * (1 + self._rounds_before(self.occupying))

    def expected_delay_s(self, ahead: int) -> float:
        """Return the time until the response to a request with ``ahead`` before it.

        While it waits, requests on open flows take their share of the capacity.
        """
        free_share = 1 - min(self.stream_share, _MAX_STREAM_SHARE)
        return self.service_s * (1 + self._rounds_before(ahead) / free_share)

    def is_below(self, occupying_per_slot: int) -> bool:
        """Return whether fewer flows than this for each slot occupy the server.

        Flows that are being opened while the server is fully used come on top, since no
        slot can process them yet.
        """
        slots = max(1, self.slots)
        limit = occupying_per_slot * slots + self._opening_count
        return self.occupying < limit

    def _rounds_before(self, ahead: int) -> float:
        """Return for how many service times a request with ``ahead`` before it waits."""
        slots = max(1, self.slots)
        return max(0, ahead + 1 - slots) / slots

    @property
    def _opening_count(self) -> int:
        """Number of flows that are being opened while the server is fully used."""
        if not self.service_s:
            return 0
        per_slot = min(self.opening_s / self.service_s, _MAX_OPENING_PER_SLOT)
        return round(per_slot * max(1, self.slots))


class ClassRank(NamedTuple):
    """Rank of a class among those of its service.

    Attributes
    ----------
    priority
        Priority from 0, the most urgent, to 7.
    is_urgent
        Whether it is the best class of a service with several classes.

    """

    priority: int
    is_urgent: bool

    @property
    def weight(self) -> float:
        """Share of the admissions, relative to that of other classes.

        Each step of priority halves the weight. It is doubled for an urgent class, which
        thus has at least four times the weight of the next class.
        """
        return _WEIGHT_STEP ** (self.is_urgent - self.priority)

    @property
    def occupying_per_slot(self) -> int:
        """Occupying flows for each slot below which a flow is admitted."""
        if self.is_urgent:
            return MAX_OCCUPYING_PER_SLOT_URGENT
        return MAX_OCCUPYING_PER_SLOT


class WaitingFlow(NamedTuple):
    """Flow that waits for admission.

    Attributes
    ----------
    key
        Key of the flow.
    rank
        Rank of its class.
    is_retry
        Whether the caller was rejected shortly before.
    objective_at
        Time at which the latency objective of its request is missed.
    gives_up_at
        Time at which its caller gives up opening it.
    response_due_at
        Time at which its caller gives up its request; infinite without a timeout.
    offered_at
        Time of the offer.
    number
        Number of the offer, which orders flows with the same objective.

    """

    key: FlowKey
    rank: ClassRank
    is_retry: bool
    objective_at: float
    gives_up_at: float
    response_due_at: float
    offered_at: float
    number: int

    def is_servable(
        self, delay_s: float, capacity: ServerCapacity, now: float, share: float = 1
    ) -> bool:
        """Return whether the flow is opened and answered before its caller gives up.

        Parameters
        ----------
        delay_s
            Expected time until the response to its request, in seconds.
        capacity
            Capacity of the backend server.
        now
            Current time, in seconds.
        share
            Share of the remaining times that may be used.

        """
        admission_s = max(0, delay_s - capacity.next_delay_s)
        return (
            delay_s <= (self.response_due_at - now) * share
            and admission_s <= (self.gives_up_at - now) * share
        )


class ExpectedWait(NamedTuple):
    """Wait of an offered flow, as expected.

    Attributes
    ----------
    delay_s
        Time until the response to its request, in seconds.
    ahead
        Number of flows that occupy the backend server or are admitted before it.
    is_in_time
        Whether the objective is met even if service times vary.
    is_worthwhile
        Whether the caller is better served by waiting than by a rejection.

    """

    delay_s: float
    ahead: int
    is_in_time: bool
    is_worthwhile: bool


class OfferDecision(IntEnum):
    """Decision on an offered flow."""

    ADMITTED = 1
    QUEUED = 2
    DEFERRED = 3
    OVERLOADED = 4


class OfferVerdict(NamedTuple):
    """Decision on an offered flow, and what it is based on.

    Attributes
    ----------
    decision
        Whether the flow is admitted, waits, or is turned away.
    delay_s
        Expected time until the response to its request, in seconds.
    ahead
        Number of flows that occupy the backend server or are admitted before it.

    """

    decision: OfferDecision
    delay_s: float
    ahead: int
