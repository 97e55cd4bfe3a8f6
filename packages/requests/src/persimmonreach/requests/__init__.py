"""Request deduplication, answers, refusals and retries."""

from persimmonreach.requests._events import (
    BackendAnswered,
    BackendLost,
    BackendRefused,
    CancelArrived,
    CancelAttempt,
    DrainStarted,
    FlowEnded,
    ReplyFrame,
    RequestArrived,
    RunAttempt,
)

__all__ = (
    'BackendAnswered',
    'BackendLost',
    'BackendRefused',
    'CancelArrived',
    'CancelAttempt',
    'DrainStarted',
    'FlowEnded',
    'ReplyFrame',
    'RequestArrived',
    'RunAttempt',
)
