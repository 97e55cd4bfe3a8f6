"""Tests of the state machine that decides which rules are in force.

They guard against stale reads that restore an older version, changes that are
missed, and malformed values from another writer that replace valid rules.
"""

from persimmonreach.core import Action, Endpoint, LogStateChange
from persimmonreach.rules import (
    Route,
    RulesChanged,
    RulesDelta,
    RulesInForce,
    RulesSnapshot,
    Target,
    TrafficRules,
)


def make_rules(version: int) -> TrafficRules:
    route = Route(f'r{version}', Endpoint('10.0.0.1', 80), (Target('svc'),))
    return TrafficRules(version, (route,))


def make_rules_in_force() -> RulesInForce:
    rules_in_force = RulesInForce()
    rules_in_force.handle(RulesSnapshot(10, make_rules(4), frozenset('a')), 0)
    return rules_in_force


def find_changed_rules(actions: tuple[Action, ...]) -> list[TrafficRules]:
    return [action.rules for action in actions if isinstance(action, RulesChanged)]


def test_a_snapshot_and_a_delta_are_put_in_force() -> None:
    """A delta has to add and remove zones relative to the snapshot."""
    rules_in_force = make_rules_in_force()
    assert rules_in_force.rules.version == 4
    assert rules_in_force.rules.zones_out == {'a'}
    delta = RulesDelta(12, make_rules(6), frozenset('b'), frozenset('a'))
    new_rules = find_changed_rules(rules_in_force.handle(delta, 1))
    assert (new_rules[0].version, new_rules[0].zones_out) == (6, {'b'})


def test_a_stale_snapshot_is_ignored() -> None:
    """A read may be seconds old; versions must never decrease."""
    rules_in_force = make_rules_in_force()
    assert not find_changed_rules(
        rules_in_force.handle(RulesSnapshot(7, make_rules(2), frozenset()), 1)
    )
    assert rules_in_force.rules.version == 4
    assert rules_in_force.rules.zones_out == {'a'}


def test_a_lower_version_is_refused_at_a_later_revision() -> None:
    """Another writer may write an older version again."""
    rules_in_force = make_rules_in_force()
    rules_in_force.handle(RulesDelta(12, make_rules(3)), 1)
    assert rules_in_force.rules.version == 4


def test_a_malformed_value_keeps_the_rules_and_is_logged() -> None:
    """A malformed value from another writer must not discard routes in use."""
    rules_in_force = make_rules_in_force()
    malformed_delta = RulesDelta(
        12, None, frozenset('b'), problems=('routes: malformed',)
    )
    actions = rules_in_force.handle(malformed_delta, 1)
    assert rules_in_force.rules.version == 4
    assert rules_in_force.rules.zones_out == {'a', 'b'}
    assert any(
        isinstance(action, LogStateChange) and action.event == 'rules_malformed'
        for action in actions
    )


def test_an_empty_delta_changes_only_the_revision() -> None:
    """A watch that times out without changes must not report changed rules."""
    rules_in_force = make_rules_in_force()
    assert not find_changed_rules(rules_in_force.handle(RulesDelta(40), 1))
    assert rules_in_force.revision == 40


def test_a_snapshot_restores_a_zone_after_lost_history() -> None:
    """The watch history was lost, so no event reports the removal of the key."""
    rules_in_force = make_rules_in_force()
    rules_in_force.handle(RulesSnapshot(30, make_rules(4), frozenset()), 1)
    assert rules_in_force.rules.zones_out == frozenset()


def test_age_counts_from_the_last_store_response() -> None:
    """A response without valid rules still shows that the store is reachable."""
    rules_in_force = RulesInForce()
    assert rules_in_force.age(5) is None
    rules_in_force.handle(RulesSnapshot(10, None, frozenset()), 5)
    assert rules_in_force.age(7) == 2


def test_zones_stay_out_while_the_store_does_not_tell() -> None:
    """After a malformed head all zones were back in service."""
    rules_in_force = make_rules_in_force()
    rules_in_force.handle(RulesSnapshot(11, None, None, ('head is malformed',)), 1)
    assert rules_in_force.rules.zones_out == {'a'}
    assert rules_in_force.rules.version == 4
