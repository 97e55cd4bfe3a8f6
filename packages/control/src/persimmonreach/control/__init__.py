"""gRPC service for operators."""

from persimmonreach.control.messages import (
    METHODS,
    Answer,
    EntryStatus,
    ExplainReply,
    ExplainRequest,
    MemberReport,
    MemberStatus,
    StatusReply,
    StatusRequest,
    ZoneReply,
    ZoneRequest,
)

__all__ = (
    'METHODS',
    'Answer',
    'EntryStatus',
    'ExplainReply',
    'ExplainRequest',
    'MemberReport',
    'MemberStatus',
    'StatusReply',
    'StatusRequest',
    'ZoneReply',
    'ZoneRequest',
)
