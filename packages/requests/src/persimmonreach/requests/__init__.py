"""Request deduplication, answers, refusals and retries."""

from persimmonreach.requests._answers import PART_BYTES
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
    StopRequested,
)
from persimmonreach.requests._machine import Requests
from persimmonreach.requests._settings import RequestSettings
from persimmonreach.requests.messages import (
    CancelElsewhere,
    Ending,
    RunElsewhere,
    RunOutcome,
    WantRecords,
)

__all__ = (
    'PART_BYTES',
    'BackendAnswered',
    'BackendLost',
    'BackendRefused',
    'CancelArrived',
    'CancelAttempt',
    'CancelElsewhere',
    'DrainStarted',
    'Ending',
    'FlowEnded',
    'ReplyFrame',
    'RequestArrived',
    'RequestSettings',
    'Requests',
    'RunAttempt',
    'RunElsewhere',
    'RunOutcome',
    'StopRequested',
    'WantRecords',
)
