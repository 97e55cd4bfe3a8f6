"""Attempts per request at twice the capacity, by retry budget."""

import heapq
import random
from collections import Counter
from collections.abc import Iterable
from itertools import count
from typing import Any, Final

from persimmonreach.admission import LimitSettings, SlowStartLimit
from persimmonreach.core import Action, Endpoint, Received, Send, Tick
from persimmonreach.membership import View, ViewChanged
from persimmonreach.packets import AnswerFrame, Outcome, RefusalFrame, RequestFrame
from persimmonreach.proof.bench_base import Figure, Measurement, Report
from persimmonreach.proof.bench_inputs import SEED, make_keys, make_members
from persimmonreach.requests import (
    BackendAnswered,
    BackendRefused,
    ReplyFrame,
    RequestArrived,
    Requests,
    RequestSettings,
    RunAttempt,
)

_AGENTS: Final = 4
# The backend server bears half of the declared slots and sheds the rest, as
# one does whose load report misleads.
_DECLARED_SLOTS: Final = 6
_REAL_SLOTS: Final = 3
_LATENCY_S: Final = 0.02
_OVERLOAD: Final = 2
_RATE: Final = _AGENTS * _REAL_SLOTS / _LATENCY_S * _OVERLOAD
_SECONDS: Final = 20
_TICK_S: Final = 0.1
_LINK_S: Final = 0.004
_DEADLINE_MS: Final = 500
_BUDGET: Final = 0.1
# Far above one attempt per request: the budget never decides.
_NO_BUDGET: Final = 100
_ID_BYTES: Final = 16


class RetryAmplification(Measurement):
    """Attempts at backend servers and messages per request of callers."""

    @property
    def name(self) -> str:
        """Name for ``--only``."""
        return 'retry-amplification'

    def run(self) -> Report:
        """Offer twice the capacity with and without the budget."""
        return Report((*_figures('with', _BUDGET), *_figures('without', _NO_BUDGET)))


def _figures(kind: str, budget: float) -> Iterable[Figure]:
    overload = _Overload(budget)
    overload.run()
    counts = overload.counts
    requests = counts['requests']
    title = f'at 2x overload {kind} the retry budget'
    attempts = counts['attempts'] / requests
    elsewhere = counts['RunElsewhere'] / requests
    answered = counts['AnswerFrame'] / requests
    yield Figure(f'attempts handed to backend servers {title}', attempts, 'per request')
    yield Figure(f'attempts asked of other agents {title}', elsewhere, 'per request')
    yield Figure(f'requests answered {title}', answered, 'of all')


class _Overload:
    """Agents of one service whose backend servers shed requests."""

    def __init__(self, budget: float) -> None:
        self._members = make_members(_AGENTS, 1)
        self._agents: dict[Endpoint, Requests] = {}
        for member in self._members:
            settings = RequestSettings(member.service, member.zone, retry_budget=budget)
            limit = SlowStartLimit(LimitSettings(_DECLARED_SLOTS, _DECLARED_SLOTS))
            machine = Requests(member.agent, settings, limit, random.Random(SEED))
            self._agents[member.endpoint] = machine
        self._running: Counter[Endpoint] = Counter()
        self._order = count()
        self._queue: list[Any] = []
        self._now = float(0)
        self.counts: Counter[str] = Counter()

    def run(self) -> None:
        """Offer requests and run until they have ended."""
        view = View(self._members[0].service, tuple(self._members), 1)
        for endpoint in self._agents:
            self._schedule(0, endpoint, ViewChanged(view))
        self._offer()
        for step in range(round(_SECONDS / _TICK_S)):
            for node in self._agents:
                self._schedule(step * _TICK_S, node, Tick())
        while self._queue:
            due, _, receiver, event = heapq.heappop(self._queue)
            self._now = due
            if isinstance(event, BackendAnswered):
                self._running[receiver] -= 1
            self._perform(receiver, self._agents[receiver].handle(event, due))

    def _offer(self) -> None:
        endpoints = list(self._agents)
        rng = random.Random(SEED)
        for number, key in enumerate(make_keys(int(_RATE * _SECONDS))):
            frame = RequestFrame(number.to_bytes(_ID_BYTES), 0, False, _DEADLINE_MS, b'')
            self.counts['requests'] += 1
            due = number / _RATE
            self._schedule(due, rng.choice(endpoints), RequestArrived(key, frame))

    def _perform(self, endpoint: Endpoint, actions: Iterable[Action]) -> None:
        for action in actions:
            match action:
                case RunAttempt():
                    self._attempt(endpoint, action)
                case Send():
                    self.counts[type(action.message).__name__] += 1
                    event = Received(endpoint, action.message)
                    self._schedule(self._now + _LINK_S, action.to, event)
                case ReplyFrame():
                    self.counts[type(action.frame).__name__] += 1

    def _attempt(self, endpoint: Endpoint, action: RunAttempt) -> None:
        self.counts['attempts'] += 1
        frame = action.frame
        identity = (frame.request_id, frame.attempt)
        if self._running[endpoint] >= _REAL_SLOTS:
            refusal = RefusalFrame(*identity, Outcome.NOT_RUN, 'overloaded')
            self._schedule(self._now, endpoint, BackendRefused(action.key, refusal))
            return
        self._running[endpoint] += 1
        answer = BackendAnswered(action.key, AnswerFrame(*identity, 0, 1, b''))
        self._schedule(self._now + _LATENCY_S, endpoint, answer)

    def _schedule(self, due: float, endpoint: Endpoint, event: Any) -> None:
        heapq.heappush(self._queue, (due, next(self._order), endpoint, event))
