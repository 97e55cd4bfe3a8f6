"""Guards the single rules: copies, refusals, retries, cancellation, restart, drain."""

from random import Random
from typing import Any, Final

import pytest

from persimmonreach.admission import (
    BackendReported,
    BackendState,
    LimitSettings,
    SlowStartLimit,
)
from persimmonreach.configuration import (
    Configuration,
    ConfigurationChanged,
    ServiceConfig,
)
from persimmonreach.core import Count, Endpoint, Received, Send, Tick
from persimmonreach.membership import Member, MemberState, View, ViewChanged
from persimmonreach.packets import (
    AnswerFrame,
    CancelFrame,
    Outcome,
    RefusalFrame,
    RequestFrame,
)
from persimmonreach.requests import (
    PART_BYTES,
    BackendAnswered,
    BackendLost,
    BackendRefused,
    CancelArrived,
    CancelAttempt,
    CancelElsewhere,
    DrainStarted,
    Ending,
    FlowEnded,
    ReplyFrame,
    RequestArrived,
    Requests,
    RequestSettings,
    RunAttempt,
    RunElsewhere,
    RunOutcome,
)

SERVICE: Final = 3
KEY: Final = b'flow'
NOT_RUN: Final = Outcome.NOT_RUN
UNKNOWN: Final = Outcome.UNKNOWN


def member(number: int, **changes) -> Member:
    endpoint = Endpoint('127.0.0.1', 9000 + number)
    state = MemberState.ACTIVE
    row = Member(f'a{number}', 1, SERVICE, f'z{number}', endpoint, state)
    return row._replace(**changes)


def request_id(number: int) -> bytes:
    return b'%16d' % number


def request(number: int = 1, **changes) -> RequestArrived:
    frame = RequestFrame(request_id(number), 0, False, 2000, b'body')
    return RequestArrived(KEY, frame._replace(**changes))


def answer(number: int = 1, attempt: int = 1, body: bytes = b'done') -> BackendAnswered:
    return BackendAnswered(KEY, AnswerFrame(request_id(number), attempt, 0, 1, body))


def refusal(outcome: Outcome, number: int = 1, attempt: int = 1) -> BackendRefused:
    return BackendRefused(KEY, RefusalFrame(request_id(number), attempt, outcome, 'r'))


def cancellation(number: int = 1) -> CancelArrived:
    return CancelArrived(KEY, CancelFrame(request_id(number), 0))


class Agent:
    """Requests of agent a0 with a warm limit, and the actions of an event."""

    def __init__(self, slots: int = 1, members: int = 1, **changes) -> None:
        self.limit = SlowStartLimit(LimitSettings(slots, 1, slow_start=False))
        request_settings = RequestSettings(SERVICE, 'z0')._replace(**changes)
        self.machine = Requests('a0', request_settings, self.limit, Random(1))
        self.now: float = 0
        self.view(*(member(number) for number in range(members)))

    def view(self, *rows: Member) -> list[Any]:
        return self.post(ViewChanged(View(SERVICE, rows)))

    def post(self, event: Any, now: float | None = None) -> list[Any]:
        if now is not None:
            self.now = now
        actions = self.machine.handle(event, self.now)
        return [row for row in actions if not isinstance(row, Count)]

    def receive(self, message: Any, number: int = 1) -> list[Any]:
        return self.post(Received(Endpoint('127.0.0.1', 9000 + number), message))


def outcomes(actions: list[Any]) -> list[Any]:
    """Return what the replies among ``actions`` say."""
    frames = [row.frame for row in actions if isinstance(row, ReplyFrame)]
    return [
        frame.outcome if isinstance(frame, RefusalFrame) else frame.body
        for frame in frames
    ]


def kinds(actions: list[Any]) -> list[type]:
    return [type(row) for row in actions]


def test_a_copy_waits_or_gets_the_stored_answer_and_never_runs() -> None:
    agent = Agent()
    assert kinds(agent.post(request())) == [RunAttempt]
    assert agent.post(request()) == []
    replied = agent.post(answer())
    assert outcomes(replied) == [b'done']
    assert agent.post(request(), now=11.9) == replied
    assert agent.post(answer(body=b'other')) == []


def test_records_are_dropped_ten_seconds_after_the_deadline() -> None:
    agent = Agent()
    agent.post(request())
    agent.post(answer())
    for now in range(12):
        assert agent.machine.records == 1
        agent.post(Tick(), now=now)
    agent.post(Tick(), now=12)
    assert agent.machine.records == 0


def test_a_copy_that_waited_in_the_socket_during_a_pause_does_not_run() -> None:
    agent = Agent()
    agent.post(request())
    agent.post(answer())
    agent.post(Tick(), now=60)
    assert outcomes(agent.post(request(), now=60.1)) == [b'done']


def test_a_long_answer_is_sent_in_parts_that_fit_into_a_packet() -> None:
    agent = Agent()
    agent.post(request())
    body = bytes(range(250)) * 14
    frames = [row.frame for row in agent.post(answer(body=body))]
    assert [len(frame.body) for frame in frames] == [PART_BYTES, 1100, 1100, 200]
    assert b''.join(frame.body for frame in frames) == body
    assert {(frame.parts, frame.attempt) for frame in frames} == {(4, 1)}


def test_parts_in_any_order_and_answers_of_other_attempts() -> None:
    agent = Agent()
    agent.post(request())
    for attempt, part, parts, body in (
        (1, 1, 2, b'b'),
        (2, 0, 2, b'crossed'),
        (0, 0, 1, b'crossed'),
        (1, 1, 2, b'b'),
        (1, 0, 3, b'inconsistent'),
        (1, 5, 2, b'inconsistent'),
    ):
        frame = AnswerFrame(request_id(1), attempt, part, parts, body)
        assert agent.post(BackendAnswered(KEY, frame)) == []
    last = AnswerFrame(request_id(1), 1, 0, 2, b'a')
    assert outcomes(agent.post(BackendAnswered(KEY, last))) == [b'ab']


def test_a_partial_answer_ends_as_unknown_even_if_the_attempt_is_shed() -> None:
    part = BackendAnswered(KEY, AnswerFrame(request_id(1), 1, 0, 2, b'a'))
    for ending in (refusal(NOT_RUN), BackendLost()):
        agent = Agent()
        agent.post(request())
        agent.post(part)
        assert outcomes(agent.post(ending)) == [UNKNOWN]
    agent = Agent()
    agent.post(request())
    agent.post(part)
    assert outcomes(agent.post(Tick(), now=2)) == [UNKNOWN]


def test_requests_wait_for_a_slot_in_order_and_the_queue_is_bounded() -> None:
    agent = Agent(queue_size=2)
    agent.post(request(1))
    assert agent.post(request(2)) == []
    assert agent.post(request(3)) == []
    assert outcomes(agent.post(request(4))) == [NOT_RUN]
    done = agent.post(answer(1))
    assert done[-1].frame.request_id == request_id(2)
    assert agent.limit.in_use == 1


def test_at_the_deadline_queued_is_not_run_and_running_is_cancelled_and_unknown() -> None:
    agent = Agent()
    agent.post(request(1))
    agent.post(request(2))
    actions = agent.post(Tick(), now=2)
    assert kinds(actions) == [CancelAttempt, ReplyFrame, ReplyFrame]
    assert outcomes(actions) == [UNKNOWN, NOT_RUN]
    assert agent.limit.in_use == 1
    assert agent.post(answer(1)) == []
    assert agent.limit.in_use == 0


def test_a_slot_of_a_cancelled_attempt_is_freed_after_the_grace_time() -> None:
    agent = Agent()
    agent.post(request(1))
    agent.post(Tick(), now=2)
    agent.post(request(2))
    agent.post(Tick(), now=2.9)
    assert agent.limit.in_use == 1
    assert kinds(agent.post(Tick(), now=3)) == [RunAttempt]


def test_a_request_that_expires_in_the_queue_does_not_start_late() -> None:
    agent = Agent()
    agent.post(request(1, deadline_ms=5000))
    agent.post(request(2, deadline_ms=100))
    actions = agent.post(answer(1), now=1)
    assert outcomes(actions) == [b'done', NOT_RUN]
    assert RunAttempt not in kinds(actions)


def test_longer_deadlines_are_reduced_to_the_declared_one() -> None:
    agent = Agent()
    service = ServiceConfig(SERVICE, 's', member(0).endpoint, 1, largest_deadline_ms=300)
    agent.post(ConfigurationChanged(Configuration(services=(service,))))
    run = agent.post(request(deadline_ms=60000))[0]
    assert run.frame.deadline_ms == 300
    assert outcomes(agent.post(Tick(), now=0.3)) == [UNKNOWN]


def test_cancelled_requests() -> None:
    agent = Agent()
    agent.post(request(1))
    agent.post(request(2))
    assert outcomes(agent.post(cancellation(2))) == [NOT_RUN]
    assert kinds(agent.post(cancellation(1))) == [CancelAttempt]
    assert agent.post(cancellation(1)) == []
    assert outcomes(agent.post(answer(1))) == [b'done']
    agent.post(request(3))
    agent.post(cancellation(3))
    assert outcomes(agent.post(Tick(), now=1)) == [UNKNOWN]
    assert agent.limit.in_use == 0
    agent.post(request(4))
    agent.post(cancellation(4))
    assert outcomes(agent.post(refusal(NOT_RUN, 4))) == [NOT_RUN]


def test_an_ended_flow_gets_no_reply_and_frees_its_slots() -> None:
    agent = Agent()
    agent.post(request(1))
    agent.post(request(2))
    assert kinds(agent.post(FlowEnded(KEY))) == [CancelAttempt]
    assert not agent.machine.has_work
    agent.post(Tick(), now=1)
    assert agent.limit.in_use == 0


def test_after_the_loss_of_the_backend_server_only_queued_requests_are_not_run() -> None:
    agent = Agent()
    agent.post(request(1, idempotent=True))
    agent.post(request(2))
    assert outcomes(agent.post(BackendLost())) == [UNKNOWN, NOT_RUN]
    assert agent.limit.in_use == 0
    assert outcomes(agent.post(request(3))) == [NOT_RUN]
    agent.post(BackendReported(BackendState.COLD, 0))
    assert kinds(agent.post(request(4))) == [RunAttempt]


def test_requests_on_adopted_flows_are_unknown_for_the_window() -> None:
    agent = Agent(slots=4)
    adopted = request(1)._replace(adopted=True)
    assert outcomes(agent.post(adopted, now=14.9)) == [UNKNOWN]
    idempotent = request(2, idempotent=True)._replace(adopted=True)
    assert kinds(agent.post(idempotent)) == [RunAttempt]
    assert kinds(agent.post(request(3))) == [RunAttempt]
    later = request(4)._replace(adopted=True)
    assert kinds(agent.post(later, now=15)) == [RunAttempt]
    assert outcomes(agent.post(adopted)) == [UNKNOWN]


def test_a_full_table_never_forgets_a_request() -> None:
    agent = Agent(slots=2, max_records=2, max_tombstones=2)
    agent.post(request(1))
    agent.post(request(2))
    assert outcomes(agent.post(request(3))) == [NOT_RUN]
    assert outcomes(agent.post(answer(1))) == [b'done']
    assert kinds(agent.post(request(4))) == [RunAttempt]
    assert outcomes(agent.post(request(1))) == [UNKNOWN]
    assert outcomes(agent.post(request(3))) == [NOT_RUN]
    # Nothing is left to remember a refusal, so it must not claim "not run".
    assert outcomes(agent.post(request(5))) == [UNKNOWN]
    assert outcomes(agent.post(answer(2))) == [b'done']


def test_stored_answers_are_bounded_in_size() -> None:
    agent = Agent(max_answer_bytes=10)
    for number in (1, 2):
        agent.post(request(number))
        agent.post(answer(number, body=b'123456'))
    assert outcomes(agent.post(request(1))) == [UNKNOWN]
    assert outcomes(agent.post(request(2))) == [b'123456']


def asked(actions: list[Any]) -> RunElsewhere:
    """Return the only message to another agent among ``actions``."""
    messages = [row.message for row in actions if isinstance(row, Send)]
    assert kinds(messages) == [RunElsewhere]
    return messages[0]


def outcome_of(message: RunElsewhere, ending: Ending, **changes) -> RunOutcome:
    frame = message.frame
    outcome = RunOutcome('a1', message.key, frame.request_id, frame.attempt, ending)
    return outcome._replace(**changes)


def test_a_shed_request_is_retried_elsewhere_without_a_slot() -> None:
    agent = Agent(members=2)
    agent.post(request())
    message = asked(agent.post(refusal(NOT_RUN), now=0.5))
    assert agent.limit.in_use == 0
    assert message.frame.attempt == 2
    assert message.frame.deadline_ms == 1500
    late = outcome_of(message, Ending.ANSWERED, attempt=1, body=b'late')
    assert agent.receive(late) == []
    stranger = outcome_of(message, Ending.ANSWERED, agent='a2', body=b'late')
    assert agent.receive(stranger, 2) == []
    second = outcome_of(message, Ending.ANSWERED, part=1, parts=2, body=b'b')
    assert agent.receive(second) == []
    first = second._replace(part=0, body=b'a')
    assert outcomes(agent.receive(first)) == [b'ab']


def test_only_idempotent_requests_are_retried_after_an_unknown_outcome() -> None:
    agent = Agent(members=2)
    agent.post(request(1))
    assert outcomes(agent.post(refusal(UNKNOWN, 1))) == [UNKNOWN]
    agent.post(request(2, idempotent=True))
    asked(agent.post(refusal(UNKNOWN, 2)))


def test_not_run_is_not_claimed_after_an_earlier_unknown_attempt() -> None:
    agent = Agent(members=2)
    agent.post(request(1, idempotent=True))
    message = asked(agent.post(refusal(UNKNOWN)))
    refused = outcome_of(message, Ending.NOT_RUN, reason='saturated')
    assert outcomes(agent.receive(refused)) == [UNKNOWN]


def test_no_retry_after_saturation_of_all_candidates() -> None:
    agent = Agent(members=3, retry_budget=9)
    agent.post(request(1))
    actions = agent.post(refusal(NOT_RUN, 1))
    for _ in ('a1', 'a2'):
        name = f'a{actions[0].to.port - 9000}'
        message = asked(actions)
        refused = outcome_of(message, Ending.NOT_RUN, reason='saturated', agent=name)
        actions = agent.receive(refused)
    assert outcomes(actions) == [NOT_RUN]
    agent.post(request(2))
    assert outcomes(agent.post(refusal(NOT_RUN, 2))) == [NOT_RUN]
    agent.post(request(3), now=1)
    asked(agent.post(refusal(NOT_RUN, 3)))


def test_no_retry_past_the_deadline() -> None:
    agent = Agent(members=2)
    agent.post(request())
    actions = agent.post(refusal(NOT_RUN), now=2)
    assert outcomes(actions) == [NOT_RUN]
    assert Send not in kinds(actions)


def test_a_partial_answer_from_another_agent_proves_a_run() -> None:
    agent = Agent(members=2)
    agent.post(request())
    message = asked(agent.post(refusal(NOT_RUN)))
    agent.receive(outcome_of(message, Ending.ANSWERED, parts=2, body=b'a'))
    refused = agent.receive(outcome_of(message, Ending.NOT_RUN))
    assert outcomes(refused) == [UNKNOWN]


def test_retries_stay_within_the_budget() -> None:
    agent = Agent(members=2, queue_size=99)
    retried = 0
    for number in range(40):
        agent.post(request(number))
        actions = agent.post(refusal(NOT_RUN, number))
        retried += Send in kinds(actions)
    assert retried == 4


def test_members_that_may_not_run_attempts_are_not_asked() -> None:
    for row in (
        member(1, alive=False),
        member(1, state=MemberState.DRAINING),
        member(1, zone='out'),
    ):
        agent = Agent()
        zones_out = frozenset(('out',))
        agent.post(ConfigurationChanged(Configuration(zones_out=zones_out)))
        agent.view(member(0), row)
        agent.post(request())
        assert outcomes(agent.post(refusal(NOT_RUN))) == [NOT_RUN]


def test_no_outcome_from_another_agent_is_unknown_at_the_deadline() -> None:
    agent = Agent(members=2)
    agent.post(request())
    message = asked(agent.post(refusal(NOT_RUN)))
    again = asked(agent.post(Tick(), now=0.3))
    assert again.frame.attempt == message.frame.attempt
    actions = agent.post(Tick(), now=2)
    assert kinds([row.message for row in actions[:1]]) == [CancelElsewhere]
    assert outcomes(actions) == [UNKNOWN]


@pytest.mark.parametrize('changes', [{'alive': False}, {'incarnation': 2}])
def test_a_lost_agent_ends_the_wait_as_unknown(changes) -> None:
    agent = Agent(members=2)
    agent.post(request())
    asked(agent.post(refusal(NOT_RUN)))
    assert outcomes(agent.view(member(0), member(1, **changes))) == [UNKNOWN]


def delegated(**changes) -> RunElsewhere:
    frame = request().frame._replace(attempt=2)
    return RunElsewhere(SERVICE, 'a1', 1, KEY, frame)._replace(**changes)


def endings(actions: list[Any]) -> list[Any]:
    return [row.message.ending for row in actions if isinstance(row, Send)]


def test_the_delegated_side_runs_an_attempt_once_and_repeats_the_outcome() -> None:
    agent = Agent()
    run = agent.receive(delegated())[0]
    assert run.frame.attempt == 2
    assert agent.receive(delegated()) == []
    replied = agent.post(answer(attempt=2, body=bytes(2000)))
    assert [len(row.message.body) for row in replied] == [1100, 900]
    assert agent.receive(delegated()) == replied


def test_the_delegated_side_refuses_instead_of_queueing_and_keeps_its_refusal() -> None:
    agent = Agent()
    agent.post(request(7))
    assert endings(agent.receive(delegated())) == [Ending.NOT_RUN]
    agent.post(answer(7))
    assert endings(agent.receive(delegated())) == [Ending.NOT_RUN]


def test_the_delegated_side_drops_what_it_cannot_judge() -> None:
    agent = Agent()
    assert agent.receive(delegated(service=SERVICE + 1)) == []
    assert agent.receive(delegated(target_incarnation=0)) == []
    assert agent.machine.records == 0


def test_a_delegated_attempt_is_cancelled_where_it_runs() -> None:
    agent = Agent()
    agent.receive(delegated())
    cancelled = CancelElsewhere('a1', KEY, request_id(1), 2)
    assert kinds(agent.receive(cancelled)) == [CancelAttempt]
    assert endings(agent.post(Tick(), now=1)) == [Ending.UNKNOWN]
    assert agent.limit.in_use == 0


def test_a_draining_agent_finishes_its_requests_and_refuses_those_of_others() -> None:
    agent = Agent()
    agent.post(request(1))
    agent.post(request(2))
    agent.post(DrainStarted())
    assert endings(agent.receive(delegated())) == [Ending.NOT_RUN]
    assert kinds(agent.post(answer(1))) == [ReplyFrame, RunAttempt]
    assert agent.machine.has_work
    assert outcomes(agent.post(answer(2))) == [b'done']
    assert not agent.machine.has_work
