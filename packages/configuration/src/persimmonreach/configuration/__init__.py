"""Declarations, publishing, store client and configuration in force."""

from persimmonreach.configuration._agent import AgentConfiguration
from persimmonreach.configuration._audit import AuditRecord, AuditResult, read_audit
from persimmonreach.configuration._declarations import Declarations, parse_declarations
from persimmonreach.configuration._entry import EntryConfiguration
from persimmonreach.configuration._events import (
    AbsorbOverrides,
    AgentSettings,
    EntrySettings,
    OverrideSet,
    StoreConfirmed,
    StoreFailed,
    StoreRead,
    VersionOffered,
)
from persimmonreach.configuration._head import (
    Head,
    ZoneState,
    decode_head,
    encode_head,
)
from persimmonreach.configuration._model import (
    Configuration,
    ConfigurationChanged,
    EntriesChanged,
    EntryInstance,
    ServiceConfig,
)
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
from persimmonreach.configuration._sources import SourceFile
from persimmonreach.configuration._store import (
    ABSENT,
    ANY_REVISION,
    CompareFailedError,
    LeaseLostError,
    Listing,
    Store,
    StoreContentError,
    StoreError,
    StoreUnavailableError,
    StoreUncertainError,
    StoreValue,
    Watched,
)

__all__ = (
    'ABSENT',
    'ANY_REVISION',
    'AbsorbOverrides',
    'Accepted',
    'AgentConfiguration',
    'AgentSettings',
    'AuditRecord',
    'AuditResult',
    'Base',
    'CompareFailedError',
    'Configuration',
    'ConfigurationChanged',
    'Declarations',
    'EntriesChanged',
    'EntryConfiguration',
    'EntryInstance',
    'EntrySettings',
    'Head',
    'LeaseLostError',
    'Listing',
    'Outcome',
    'OverrideSet',
    'Plan',
    'Publisher',
    'PublisherSettings',
    'Rejected',
    'ServiceConfig',
    'SourceFile',
    'Store',
    'StoreConfirmed',
    'StoreContentError',
    'StoreError',
    'StoreFailed',
    'StoreRead',
    'StoreUnavailableError',
    'StoreUncertainError',
    'StoreValue',
    'Timing',
    'Unsettled',
    'VersionOffered',
    'Watched',
    'ZoneState',
    'decode_head',
    'encode_head',
    'parse_declarations',
    'plan_publish',
    'plan_zone',
    'read_audit',
    'read_base',
    'read_head',
)
