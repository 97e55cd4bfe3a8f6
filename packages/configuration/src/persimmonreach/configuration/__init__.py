"""Declarations, publishing, and the published configuration as rules."""

from persimmonreach.configuration._audit import AuditRecord, AuditResult, read_audit
from persimmonreach.configuration._head import (
    Head,
    decode_head,
    encode_head,
    merge_zones,
)
from persimmonreach.configuration._model import Declarations, ServiceConfig
from persimmonreach.configuration._plan import Base, Plan, plan_publish, plan_zone
from persimmonreach.configuration._publisher import (
    Accepted,
    Outcome,
    Publisher,
    PublisherSettings,
    Rejected,
    Timing,
    Unsettled,
)
from persimmonreach.configuration._reading import read_base, read_head
from persimmonreach.configuration._source import HeadRules, make_rules

__all__ = (
    'Accepted',
    'AuditRecord',
    'AuditResult',
    'Base',
    'Declarations',
    'Head',
    'HeadRules',
    'Outcome',
    'Plan',
    'Publisher',
    'PublisherSettings',
    'Rejected',
    'ServiceConfig',
    'Timing',
    'Unsettled',
    'decode_head',
    'encode_head',
    'make_rules',
    'merge_zones',
    'plan_publish',
    'plan_zone',
    'read_audit',
    'read_base',
    'read_head',
)
