"""Two entry instances that exchange messages in virtual time."""

import time
from collections import Counter, deque
from collections.abc import Callable
from typing import Any, Final, NamedTuple

from persimmonreach.core import Endpoint, Received, Send, StateMachine, Tick
from persimmonreach.proof.bench_base import CODEC, datagram_bytes

_TICK_S: Final = 0.05
_LONGEST_S: Final = 120
_START_S: Final = 1000


class Transfer(NamedTuple):
    """Cost of bringing a new node up to date.

    Attributes
    ----------
    seconds
        Virtual time on a link without delay.
    processor_s
        Processor time of both sides, with encoding.
    datagrams
        Number of datagrams in both directions.
    octets
        Bytes in both directions with headers.

    """

    seconds: float
    processor_s: float
    datagrams: int
    octets: int


class Pair:
    """A machine that knows everything and one that is new.

    Parameters
    ----------
    nodes
        Both machines by their endpoints.

    """

    def __init__(self, nodes: dict[Endpoint, StateMachine]) -> None:
        self._nodes = nodes
        self._now = float(_START_S)
        self._pending: deque[Any] = deque()
        self._octets = 0
        self.by_type: Counter[str] = Counter()

    def run(self, is_done: Callable[[], bool]) -> Transfer:
        """Exchange messages until ``is_done`` or two minutes have passed."""
        started = time.process_time()
        begin = self._now
        while not is_done() and self._now - begin < _LONGEST_S:
            self._now += _TICK_S
            for endpoint in self._nodes:
                self._handle(endpoint, Tick())
            self._deliver()
        spent = time.process_time() - started
        return Transfer(self._now - begin, spent, self.by_type.total(), self._octets)

    def _deliver(self) -> None:
        while self._pending:
            sender, send = self._pending.popleft()
            message = CODEC.decode(CODEC.encode(send.message))
            self._handle(send.to, Received(sender, message))

    def _handle(self, endpoint: Endpoint, event: Any) -> None:
        for action in self._nodes[endpoint].handle(event, self._now):
            if isinstance(action, Send) and action.to in self._nodes:
                self._octets += datagram_bytes(action.message)
                self.by_type[type(action.message).__name__] += 1
                self._pending.append((endpoint, action))
