"""Messages of the gRPC operator service of an entry instance."""

from persimmonreach.control.messages import (
    METHODS,
    AgentReport,
    AgentSummary,
    CallResult,
    EntrySummary,
    ExplainReply,
    ExplainRequest,
    StatusReply,
    StatusRequest,
    ZoneReply,
    ZoneRequest,
)

__all__ = (
    'METHODS',
    'AgentReport',
    'AgentSummary',
    'CallResult',
    'EntrySummary',
    'ExplainReply',
    'ExplainRequest',
    'StatusReply',
    'StatusRequest',
    'ZoneReply',
    'ZoneRequest',
)
