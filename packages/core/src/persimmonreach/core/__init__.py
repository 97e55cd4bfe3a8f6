"""Shared value types, state machine base class, clocks, deadlines, hashing, findings."""

from persimmonreach.core._clock import Clock, ManualClock, MonotonicClock
from persimmonreach.core._deadlines import Deadlines
from persimmonreach.core._findings import (
    Finding,
    FindingError,
    FindingsError,
    raise_findings,
)
from persimmonreach.core._hashing import (
    BUCKETS_PER_SERVICE,
    bucket_of,
    rank_members,
    rendezvous_score,
)
from persimmonreach.core._identity import (
    AgentId,
    BucketId,
    Endpoint,
    EntryId,
    FlowKey,
    Incarnation,
    ServiceId,
    ServiceName,
    Zone,
)
from persimmonreach.core._machine import (
    Action,
    Count,
    Deliver,
    Event,
    LogDecision,
    LogStateChange,
    Received,
    Send,
    SendToCaller,
    StateMachine,
    Tick,
)
from persimmonreach.core._pause_detector import PauseDetector

__all__ = (
    'BUCKETS_PER_SERVICE',
    'Action',
    'AgentId',
    'BucketId',
    'Clock',
    'Count',
    'Deadlines',
    'Deliver',
    'Endpoint',
    'EntryId',
    'Event',
    'Finding',
    'FindingError',
    'FindingsError',
    'FlowKey',
    'Incarnation',
    'LogDecision',
    'LogStateChange',
    'ManualClock',
    'MonotonicClock',
    'PauseDetector',
    'Received',
    'Send',
    'SendToCaller',
    'ServiceId',
    'ServiceName',
    'StateMachine',
    'Tick',
    'Zone',
    'bucket_of',
    'raise_findings',
    'rank_members',
    'rendezvous_score',
)
