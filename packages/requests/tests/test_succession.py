"""Guards against orders run twice, or needlessly unknown, when an agent restarts."""

from random import Random
from typing import Any

import pytest

from persimmonreach.admission import FlowsAdopted, LimitSettings, SlowStartLimit
from persimmonreach.core import Endpoint, Received, Send, Tick
from persimmonreach.membership import (
    Member,
    MemberState,
    View,
    ViewChanged,
    ViewConfirmed,
)
from persimmonreach.packets import AnswerFrame, Outcome, RequestFrame
from persimmonreach.requests import (
    BackendAnswered,
    ReplyFrame,
    RequestArrived,
    Requests,
    RequestSettings,
    RunAttempt,
    StopRequested,
)

KEY = b'flow'


def request(number: int, adopted: bool = True) -> RequestArrived:
    frame = RequestFrame(b'%16d' % number, 0, False, 2000, b'order')
    return RequestArrived(KEY, frame, adopted)


class Group:
    """Agents a0 to a2 of one service; messages can be lost by a seeded choice."""

    def __init__(self, loss: float = 0, seed: int = 1) -> None:
        self.rng = Random(seed)
        self.loss = loss
        self.now: float = 0
        self.incarnations = dict.fromkeys(('a0', 'a1', 'a2'), 1)
        self.machines: dict[str, Requests] = {}
        self.ran: list[bytes] = []
        self.replies: list[Any] = []
        for name in self.incarnations:
            self.start(name)
            self.post(name, FlowsAdopted(()))
        self.share_view()

    def start(self, name: str) -> None:
        limit = SlowStartLimit(LimitSettings(3, slow_start=False))
        self.machines[name] = Requests(name, RequestSettings(1, 'z'), limit, self.rng)

    def restart(self, name: str) -> None:
        self.incarnations[name] += 1
        self.start(name)
        self.share_view()

    def share_view(self) -> None:
        rows = tuple(
            Member(name, number, 1, 'z', Endpoint(name, 1), MemberState.ACTIVE)
            for name, number in self.incarnations.items()
        )
        for name in tuple(self.machines):
            digest = sum(self.incarnations.values())
            self.post(name, ViewChanged(View(1, rows, digest)))
            self.post(name, ViewConfirmed(digest, self.now))

    def post(self, name: str, event: Any) -> None:
        for action in self.machines[name].handle(event, self.now):
            if isinstance(action, Send):
                if self.rng.random() >= self.loss and action.to.host in self.machines:
                    self.post(action.to.host, Received(Endpoint(name, 1), action.message))
            elif isinstance(action, RunAttempt):
                self.ran.append(action.frame.request_id)
                frame = action.frame
                answer = AnswerFrame(frame.request_id, frame.attempt, 0, 1, b'done')
                self.post(name, BackendAnswered(action.key, answer))
            elif isinstance(action, ReplyFrame):
                self.replies.append(action.frame)

    def run(self, seconds: float) -> None:
        for _ in range(round(seconds * 10)):
            self.now += 0.1
            for name in tuple(self.machines):
                self.post(name, Tick())

    def outcome(self, number: int) -> Any:
        self.replies.clear()
        self.post('a0', request(number))
        reply = self.replies[-1] if self.replies else None
        return getattr(reply, 'outcome', 'answered') if reply else None


def stopped_group(loss: float = 0, seed: int = 1) -> Group:
    group = Group(loss, seed)
    group.run(2)
    group.post('a0', request(1, adopted=False))
    group.post('a0', StopRequested())
    group.run(1)
    return group


@pytest.mark.parametrize('seed', range(20))
@pytest.mark.parametrize('loss', [0, 0.4])
def test_no_order_runs_twice_over_restarts(loss: float, seed: int) -> None:
    group = stopped_group(loss, seed)
    for number in range(2, 7):
        group.restart('a0')
        for _ in range(4):
            group.outcome(1)
            group.outcome(number)
            group.run(0.5)
        if number % 2:
            group.post('a0', StopRequested())
            group.run(0.6)
    assert len(group.ran) == len(set(group.ran))


def test_new_orders_run_at_once_after_a_graceful_stop() -> None:
    group = stopped_group()
    assert group.machines['a0'].is_sealed
    assert group.outcome(2) is None
    group.restart('a0')
    # The request is held and answered as soon as the records are known.
    assert group.outcome(2) is None
    group.run(0.3)
    assert [frame.request_id for frame in group.replies] == [b'%16d' % 2]
    assert group.outcome(1) is Outcome.UNKNOWN
    assert group.outcome(2) == 'answered'


def test_a_view_without_the_others_does_not_end_the_question() -> None:
    group = stopped_group()
    group.incarnations['a0'] += 1
    group.start('a0')
    own = Member('a0', 2, 1, 'z', Endpoint('a0', 1), MemberState.JOINING)
    group.post('a0', ViewChanged(View(1, (own,), 99)))
    group.run(0.5)
    group.share_view()
    group.run(0.3)
    assert group.outcome(2) == 'answered'


def test_a_second_successor_does_not_trust_the_records_of_the_first_stop() -> None:
    group = stopped_group()
    group.restart('a0')
    group.run(0.3)
    assert group.outcome(2) == 'answered'
    group.restart('a0')
    group.run(0.3)
    assert group.outcome(2) is Outcome.UNKNOWN
    assert group.outcome(3) is Outcome.UNKNOWN


@pytest.mark.parametrize('stopping', [True, False])
def test_a_request_that_cannot_wait_gets_a_reply(stopping: bool) -> None:
    group = stopped_group()
    if not stopping:
        group.restart('a0')
    late = request(2)
    late = late._replace(frame=late.frame._replace(deadline_ms=500))
    group.post('a0', late)
    assert group.replies[-1].outcome is Outcome.UNKNOWN


def test_a_silent_member_ends_the_wait_with_unknown() -> None:
    group = stopped_group()
    group.machines.pop('a2')
    group.restart('a0')
    assert group.outcome(2) is None
    # Its deadline of 2 s comes before the agent gives up asking.
    group.run(2)
    assert [frame.outcome for frame in group.replies] == [Outcome.UNKNOWN]
    group.run(3)
    assert group.outcome(3) is Outcome.UNKNOWN
