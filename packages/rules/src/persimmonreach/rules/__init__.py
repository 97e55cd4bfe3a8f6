"""Traffic rules in force at a node."""

from persimmonreach.rules._rules import (
    Route,
    RulesChanged,
    RulesDecoder,
    RulesInForce,
    RulesListed,
    RulesOutdated,
    RulesWatched,
    ServiceRules,
    Target,
    TrafficRules,
    WatchAssigned,
)

__all__ = (
    'Route',
    'RulesChanged',
    'RulesDecoder',
    'RulesInForce',
    'RulesListed',
    'RulesOutdated',
    'RulesWatched',
    'ServiceRules',
    'Target',
    'TrafficRules',
    'WatchAssigned',
)
