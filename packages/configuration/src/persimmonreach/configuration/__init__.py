"""Service declarations, publishing them to the store, and traffic rules from it."""

from persimmonreach.configuration._audit import AuditTrail, read_audit_trail
from persimmonreach.configuration._audit_record import AuditRecord, AuditResult
from persimmonreach.configuration._head import Head, merge_zone_states
from persimmonreach.configuration._model import Declarations, ServiceConfig
from persimmonreach.configuration._plan import (
    Plan,
    StoredConfiguration,
    plan_declarations,
    plan_zone_change,
)
from persimmonreach.configuration._publisher import (
    Accepted,
    Outcome,
    OutcomeUnknown,
    Publisher,
    PublisherSettings,
    Rejected,
    TimeSource,
)
from persimmonreach.configuration._reading import read_configuration, read_head
from persimmonreach.configuration._source import HeadRulesSource, make_rules
from persimmonreach.configuration.codecs import decode_head, encode_head

__all__ = (
    'Accepted',
    'AuditRecord',
    'AuditResult',
    'AuditTrail',
    'Declarations',
    'Head',
    'HeadRulesSource',
    'Outcome',
    'OutcomeUnknown',
    'Plan',
    'Publisher',
    'PublisherSettings',
    'Rejected',
    'ServiceConfig',
    'StoredConfiguration',
    'TimeSource',
    'decode_head',
    'encode_head',
    'make_rules',
    'merge_zone_states',
    'plan_declarations',
    'plan_zone_change',
    'read_audit_trail',
    'read_configuration',
    'read_head',
)
