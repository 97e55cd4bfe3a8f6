"""State machine that decides which traffic rules are in force."""

from persimmonreach.core import Action, Count, Event, LogStateChange, StateMachine, Zone
from persimmonreach.rules._model import (
    RulesChanged,
    RulesDelta,
    RulesSnapshot,
    TrafficRules,
)


class RulesInForce(StateMachine):
    """Traffic rules with the highest version read, and the zones out of service.

    Reads of the store with an older revision, and rules with a lower version,
    are ignored and counted. If a read finds no valid rules, the previous routes,
    limits and zones out of service stay in force.

    Events: ``RulesSnapshot``, ``RulesDelta``. Actions: ``RulesChanged``,
    ``LogStateChange``, ``Count``.
    """

    def __init__(self) -> None:
        self._rules = TrafficRules()
        self._revision = 0
        self._last_confirmed_at: float | None = None

    @property
    def rules(self) -> TrafficRules:
        """Traffic rules in force, including the zones out of service."""
        return self._rules

    @property
    def revision(self) -> int:
        """Revision of the store that the rules reflect; 0 before the first read."""
        return self._revision

    def age(self, now: float) -> float | None:
        """Return the seconds since the last response of the store that was not stale.

        None if the store has not been read yet.
        """
        return None if self._last_confirmed_at is None else now - self._last_confirmed_at

    def handle(self, event: Event, now: float) -> tuple[Action, ...]:
        """Apply a read or a watch result, and return the resulting actions."""
        if not isinstance(event, RulesSnapshot | RulesDelta):
            return (Count('rules_unknown_events'),)
        if event.revision < self._revision:
            # A stale read: the store has returned a newer revision before.
            return (Count('rules_stale_answers'),)
        self._revision = event.revision
        self._last_confirmed_at = now
        problem_logs = (
            LogStateChange('rules_malformed', str(event.revision), problem)
            for problem in event.problems
        )
        return (*problem_logs, *self._apply(event.rules, self._resolve_zones_out(event)))

    def _resolve_zones_out(self, event: RulesSnapshot | RulesDelta) -> frozenset[Zone]:
        if isinstance(event, RulesSnapshot):
            # A zone that was taken out stays out while the store does not tell.
            return self._rules.zones_out if event.zones_out is None else event.zones_out
        return (self._rules.zones_out | event.zones_taken_out) - event.zones_restored

    def _apply(
        self,
        rules: TrafficRules | None,
        zones_out: frozenset[Zone],
    ) -> tuple[Action, ...]:
        previous_rules = self._rules
        refusal_counts: tuple[Action, ...] = ()
        if rules is not None and rules.version < previous_rules.version:
            refusal_counts = (Count('rules_older_versions_refused'),)
            rules = None
        self._rules = (rules or previous_rules)._replace(zones_out=zones_out)
        if self._rules == previous_rules:
            return refusal_counts
        zone_names = ', '.join(sorted(zones_out))
        version = self._rules.version
        return (
            *refusal_counts,
            LogStateChange(
                'rules_in_force',
                f'version {version}',
                f'revision {self._revision}, zones out: {zone_names}',
            ),
            RulesChanged(self._rules, self._revision),
        )
