"""Traffic rules: their types, and the task that keeps them current."""

from persimmonreach.rules._model import (
    DEFAULT_CLASS,
    DEFAULT_PRIORITY,
    LOWEST_PRIORITY,
    ClassOfService,
    Route,
    RulesChanged,
    RulesDelta,
    RulesOutdated,
    RulesSnapshot,
    ServiceLimits,
    Target,
    TrafficClass,
    TrafficRules,
    WatchAssigned,
    ZoneState,
)
from persimmonreach.rules._rules import RulesInForce
from persimmonreach.rules._source import RulesSource

__all__ = (
    'DEFAULT_CLASS',
    'DEFAULT_PRIORITY',
    'LOWEST_PRIORITY',
    'ClassOfService',
    'Route',
    'RulesChanged',
    'RulesDelta',
    'RulesInForce',
    'RulesOutdated',
    'RulesSnapshot',
    'RulesSource',
    'ServiceLimits',
    'Target',
    'TrafficClass',
    'TrafficRules',
    'WatchAssigned',
    'ZoneState',
)
