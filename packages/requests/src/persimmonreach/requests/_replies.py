"""Actions that tell the outcome of a request, and that ask other agents."""

from typing import Final

from persimmonreach.core import Action, AgentId, Send, ServiceId
from persimmonreach.packets import (
    AnswerFrame,
    CancelFrame,
    RefusalFrame,
    RequestFrame,
)
from persimmonreach.requests._answers import split_body
from persimmonreach.requests._events import CancelAttempt, ReplyFrame
from persimmonreach.requests._records import Record, RequestState
from persimmonreach.requests.messages import (
    CancelElsewhere,
    Ending,
    RunElsewhere,
    RunOutcome,
)

_MS_PER_S: Final = 1000


def replies(agent: AgentId, record: Record) -> tuple[Action, ...]:
    """Return the actions that tell the caller or the origin the outcome."""
    if record.origin is None:
        return _caller_replies(record)
    return _origin_replies(agent, record)


def attempt_frame(record: Record, now: float) -> RequestFrame:
    """Return the request with its present attempt and the time that is left."""
    left = max(0, int((record.deadline - now) * _MS_PER_S))
    return record.frame._replace(attempt=record.attempt, deadline_ms=left)


def ask_target(
    agent: AgentId,
    service: ServiceId,
    record: Record,
    now: float,
) -> Send:
    """Return the message that asks the target to run the present attempt."""
    message = RunElsewhere(
        service,
        agent,
        record.target.incarnation,
        record.name.key,
        attempt_frame(record, now),
    )
    return Send(record.target.endpoint, message)


def cancel(agent: AgentId, record: Record) -> tuple[Action, ...]:
    """Return the actions that cancel the present attempt where it runs."""
    key, request_id = record.name.key, record.name.request_id
    if record.state is RequestState.RUNNING:
        return (CancelAttempt(key, CancelFrame(request_id, record.attempt)),)
    if record.state is RequestState.ELSEWHERE:
        message = CancelElsewhere(agent, key, request_id, record.attempt)
        return (Send(record.target.endpoint, message),)
    return ()


def _caller_replies(record: Record) -> tuple[Action, ...]:
    key, request_id = record.name.key, record.name.request_id
    verdict = record.verdict
    if verdict.outcome is not None:
        refusal = RefusalFrame(
            request_id, verdict.attempt, verdict.outcome, verdict.reason
        )
        return (ReplyFrame(key, refusal),)
    bodies = split_body(verdict.body)
    return tuple(
        ReplyFrame(
            key,
            AnswerFrame(request_id, verdict.attempt, part, len(bodies), body),
        )
        for part, body in enumerate(bodies)
    )


def _origin_replies(agent: AgentId, record: Record) -> tuple[Action, ...]:
    verdict = record.verdict
    outcome = RunOutcome(
        agent,
        record.name.key,
        record.name.request_id,
        record.name.attempt,
        Ending.ANSWERED if verdict.outcome is None else Ending(verdict.outcome.value),
        verdict.reason,
    )
    if verdict.outcome is not None:
        return (Send(record.origin, outcome),)
    bodies = split_body(verdict.body)
    return tuple(
        Send(record.origin, outcome._replace(part=part, parts=len(bodies), body=body))
        for part, body in enumerate(bodies)
    )
