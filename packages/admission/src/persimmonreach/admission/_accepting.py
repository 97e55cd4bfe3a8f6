"""Decision whether the local backend server takes a flow of another owner."""

from collections import OrderedDict
from collections.abc import Iterable
from typing import NamedTuple

from persimmonreach.admission._events import LocalFlowCount
from persimmonreach.admission.messages import PlaceFlow, Verdict
from persimmonreach.core import AgentId, FlowKey


class _Asked(NamedTuple):
    agent: AgentId
    number: int


class _Answer(NamedTuple):
    key: FlowKey
    verdict: Verdict
    expires_at: float


class FlowAcceptor:
    """Own flow count, and the answers given so far.

    An answer is kept, also a refusal: a copy of a refused message could
    otherwise be accepted after the owner has placed the flow elsewhere.

    Parameters
    ----------
    connections
        Flow limit until the first count arrives.
    lifetime_s
        Seconds for which answers are kept.

    """

    def __init__(self, connections: int, lifetime_s: float) -> None:
        self._count = LocalFlowCount(0, connections, draining=False)
        self._lifetime_s = lifetime_s
        self._admitted = 0
        self._is_closed = False
        self._answers: OrderedDict[_Asked, _Answer] = OrderedDict()
        self._accepted: dict[FlowKey, float] = {}

    @property
    def flows(self) -> int:
        """Counted flows and those admitted since the count."""
        return self._count.flows + self._admitted

    @property
    def flow_limit(self) -> int:
        """Flows that the local backend server takes at present."""
        return self._count.flow_limit

    @property
    def verdict(self) -> Verdict:
        """Answer to a new flow at present."""
        if self._count.draining or self._is_closed:
            return Verdict.DRAINING
        return Verdict.ACCEPTED if self.flows < self.flow_limit else Verdict.FULL

    def count(self, event: LocalFlowCount) -> None:
        """Take a new count of the flows."""
        self._count = event
        self._admitted = 0

    def close(self, is_closed: bool) -> None:
        """Refuse all new flows while the availability zone is out of service."""
        self._is_closed = is_closed

    def admit(self) -> None:
        """Count a flow that was admitted."""
        self._admitted += 1

    def is_new(self, message: PlaceFlow) -> bool:
        """Whether no copy of ``message`` was answered yet."""
        return _Asked(message.agent, message.number) not in self._answers

    def decide(self, message: PlaceFlow, now: float) -> Verdict:
        """Return the answer to ``message``, the same for each copy of it.

        A flow that lives here already is accepted under any number.
        """
        asked = _Asked(message.agent, message.number)
        known = self._answers.pop(asked, None)
        verdict = known.verdict if known else self._judge(message.key)
        expires_at = now + self._lifetime_s
        if verdict is Verdict.ACCEPTED and not known:
            self._accepted[message.key] = expires_at
        self._answers[asked] = _Answer(message.key, verdict, expires_at)
        return verdict

    def refuse(self, message: PlaceFlow, now: float) -> Verdict:
        """Refuse ``message`` and each copy of it, whatever room there is."""
        asked = _Asked(message.agent, message.number)
        verdict = Verdict.FULL
        self._answers[asked] = _Answer(message.key, verdict, now + self._lifetime_s)
        return verdict

    def holds(self, key: FlowKey) -> bool:
        """Return whether the flow was accepted or adopted and goes on."""
        return key in self._accepted

    def adopt(self, keys: Iterable[FlowKey], now: float) -> None:
        """Note open flows that an earlier process accepted."""
        self._accepted.update(dict.fromkeys(keys, now + self._lifetime_s))

    def release(self, key: FlowKey) -> None:
        """Note that the flow has ended."""
        self._accepted.pop(key, None)

    def forget(self, now: float) -> None:
        """Drop the answers whose lifetime has passed."""
        while self._answers:
            asked, answer = next(iter(self._answers.items()))
            if answer.expires_at > now:
                return
            self._answers.pop(asked)
            if self._accepted.get(answer.key, now) <= now:
                self._accepted.pop(answer.key, None)

    def _judge(self, key: FlowKey) -> Verdict:
        if key in self._accepted:
            return Verdict.ACCEPTED
        verdict = self.verdict
        if verdict is Verdict.ACCEPTED:
            self.admit()
        return verdict
