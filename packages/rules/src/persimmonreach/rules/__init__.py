"""Traffic rules in force at a node."""

from persimmonreach.rules._rules import (
    Route,
    RulesChanged,
    RulesDecoder,
    RulesInForce,
    RulesListed,
    RulesWatched,
    ServiceRules,
    Target,
    TrafficRules,
)

__all__ = (
    'Route',
    'RulesChanged',
    'RulesDecoder',
    'RulesInForce',
    'RulesListed',
    'RulesWatched',
    'ServiceRules',
    'Target',
    'TrafficRules',
)
