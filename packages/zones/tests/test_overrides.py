"""Guards against zone overrides that are applied twice, reverted or lost."""

from random import Random

from persimmonreach.core import Count, Endpoint, LogStateChange, Received, Zone
from persimmonreach.rules import RulesChanged, TrafficRules, ZoneState
from persimmonreach.zones import OverrideRequested, OverrideTable
from persimmonreach.zones.messages import ZoneOverrides

ZONE_A = Zone('a')
RULES = TrafficRules(3, zones=(ZoneState(ZONE_A), ZoneState(Zone('b'))))
OUT = OverrideRequested(ZONE_A, True, 100, 'request-1')
PEER = Endpoint('10.0.0.2', 7000)


def make_table(rules: TrafficRules = RULES) -> OverrideTable:
    table = OverrideTable(Random(1))
    table.handle(RulesChanged(rules, 10), 0)
    return table


def zones_out_of(actions: tuple[object, ...]) -> list[frozenset[Zone]]:
    return [
        action.rules.zones_out for action in actions if isinstance(action, RulesChanged)
    ]


def test_repeated_request_changes_nothing() -> None:
    """An operator repeats a request whose response was lost. It got a new sequence and
    a second log line, and spread again.
    """
    table = make_table()
    table.handle(OUT, 1)
    before = table.overrides
    actions = table.handle(OUT, 2)
    assert table.overrides == before
    assert actions == (Count('overrides_repeated'),)


def test_repeated_request_does_not_revert_a_later_one() -> None:
    table = make_table()
    table.handle(OUT, 1)
    table.handle(OverrideRequested(ZONE_A, False, 200, 'request-2'), 2)
    table.handle(OUT, 3)
    assert [state.out for state in table.overrides] == [False]


def test_later_request_of_a_slow_clock_takes_effect() -> None:
    """The wall clocks of two operators may differ by seconds."""
    table = make_table()
    table.handle(OUT, 1)
    actions = table.handle(OverrideRequested(ZONE_A, False, 50, 'request-2'), 2)
    assert zones_out_of(actions) == [frozenset()]


def test_overrides_of_a_peer_are_kept_until_rules_are_loaded() -> None:
    """An entry instance that starts during an outage of the store has no rules yet, and
    dropped the overrides of its peers.
    """
    table = OverrideTable(Random(1))
    state = ZoneState(ZONE_A, True, 100, 'request-1')
    older = ZoneState(ZONE_A, False, 90, 'request-0')
    actions = table.handle(Received(PEER, ZoneOverrides((state,))), 1)
    assert not zones_out_of(actions)
    table.handle(Received(PEER, ZoneOverrides((older,))), 1)
    assert zones_out_of(table.handle(RulesChanged(RULES, 10), 2)) == [{ZONE_A}]


def test_override_of_an_undeclared_zone_is_dropped_with_the_rules() -> None:
    table = OverrideTable(Random(1))
    odd = ZoneState(Zone('odd'), True, 100, 'request-1')
    table.handle(Received(PEER, ZoneOverrides((odd,))), 1)
    assert zones_out_of(table.handle(RulesChanged(RULES, 10), 2)) == [frozenset()]
    assert not table.overrides


def test_override_is_logged_once() -> None:
    table = make_table()
    logged = [
        action
        for time_s in range(3)
        for action in table.handle(OUT, time_s)
        if isinstance(action, LogStateChange)
    ]
    assert len(logged) == 1
