"""Virtual time, and the network between processes and toward callers."""

import heapq
from collections import Counter
from collections.abc import Callable
from itertools import count
from random import Random
from typing import Any, Final, NamedTuple, TypeAlias

from persimmonreach.core import Endpoint, ManualClock, Received, Zone

# One way between zones.
_LEAST_DELAY_S: Final = 0.003
_MOST_DELAY_S: Final = 0.012


class Conditions(NamedTuple):
    """State of the network between own processes.

    Attributes
    ----------
    loss
        Share of messages that are lost.
    delay_s
        Added to the delay of each message.
    jitter_s
        Largest random delay added; reorders messages.
    duplicates
        Share of messages that arrive twice.
    apart
        Availability zones that exchange nothing with the others.

    """

    loss: float = 0
    delay_s: float = 0
    jitter_s: float = 0
    duplicates: float = 0
    apart: frozenset[Zone] = frozenset()


_Call: TypeAlias = tuple[float, int, Callable[..., None], Any]


class Scheduler:
    """Calls in the order of virtual time.

    Parameters
    ----------
    clock
        Clock that is moved.

    """

    def __init__(self, clock: ManualClock) -> None:
        self._clock = clock
        self._numbers = count()
        self._calls: list[_Call] = []

    @property
    def now(self) -> float:
        """Virtual time in seconds."""
        return self._clock.now()

    def after(self, delay: float, call: Callable[..., None], *details: Any) -> None:
        """Call after ``delay`` seconds."""
        row = (self.now + delay, next(self._numbers), call, details)
        heapq.heappush(self._calls, row)

    def run_until(self, end: float) -> None:
        """Make all calls that are due until ``end`` and move the clock there."""
        while self._calls and self._calls[0][0] <= end:
            at, _, call, details = heapq.heappop(self._calls)
            self._clock.advance(max(0, at - self.now))
            call(*details)
        self._clock.advance(end - self.now)


class Network:
    """Carries messages between own processes.

    Parameters
    ----------
    scheduler
        Virtual time.
    rng
        Source of delays and losses.

    """

    def __init__(self, scheduler: Scheduler, rng: Random) -> None:
        self._scheduler = scheduler
        self._rng = rng
        self._receivers: dict[Endpoint, Callable[[Received], None]] = {}
        self._zones: dict[Endpoint, Zone] = {}
        self.conditions = Conditions()
        self.sent: Counter[str] = Counter()
        self.senders: dict[str, Endpoint] = {}

    def connect(
        self,
        endpoint: Endpoint,
        zone: Zone,
        receiver: Callable[[Received], None],
    ) -> None:
        """Deliver messages for ``endpoint`` to ``receiver``."""
        self._receivers[endpoint] = receiver
        self._zones[endpoint] = zone

    def send(self, sender: Endpoint, to: Endpoint, message: Any) -> None:
        """Send one message; it may be lost, late, or arrive twice."""
        name = type(message).__name__
        self.sent[name] += 1
        self.senders[name] = sender
        state = self.conditions
        receiver = self._receivers.get(to)
        if receiver is None or self._is_apart(sender, to):
            return
        copies = 1 + int(self._rng.random() < state.duplicates)
        for _ in range(copies):
            if self._rng.random() >= state.loss:
                jitter = _LEAST_DELAY_S + self._rng.random() * (
                    _MOST_DELAY_S - _LEAST_DELAY_S + state.jitter_s
                )
                arrived = Received(sender, message)
                self._scheduler.after(state.delay_s + jitter, receiver, arrived)

    def _is_apart(self, sender: Endpoint, to: Endpoint) -> bool:
        apart = self.conditions.apart
        return (self._zones[sender] in apart) != (self._zones[to] in apart)
