"""gRPC service for operators."""

from persimmonreach.control.messages import (
    METHODS,
    ExplainReply,
    ExplainRequest,
    StatusReply,
    StatusRequest,
    ZoneReply,
    ZoneRequest,
)

__all__ = (
    'METHODS',
    'ExplainReply',
    'ExplainRequest',
    'StatusReply',
    'StatusRequest',
    'ZoneReply',
    'ZoneRequest',
)
