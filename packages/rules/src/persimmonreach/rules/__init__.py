"""Traffic rules in force at a node."""

from persimmonreach.rules._model import (
    Route,
    RulesChanged,
    RulesListed,
    RulesOutdated,
    RulesWatched,
    ServiceLimits,
    Target,
    TrafficRules,
    WatchAssigned,
    ZoneState,
)
from persimmonreach.rules._rules import RulesInForce
from persimmonreach.rules._source import RulesSource

__all__ = (
    'Route',
    'RulesChanged',
    'RulesInForce',
    'RulesListed',
    'RulesOutdated',
    'RulesSource',
    'RulesWatched',
    'ServiceLimits',
    'Target',
    'TrafficRules',
    'WatchAssigned',
    'ZoneState',
)
