"""Zone overrides, which set the state of zones while the store is unavailable.

An operator sends an override to one or more entry instances. Each of them applies
it and replicates it to its peers until it is in the store.
"""

from collections import deque
from random import Random
from typing import Final, NamedTuple

from persimmonreach.configuration import merge_zone_states
from persimmonreach.core import (
    Action,
    Count,
    Endpoint,
    Event,
    LogStateChange,
    Received,
    Send,
    StateMachine,
    Tick,
    Zone,
)
from persimmonreach.discovery import PeersChanged
from persimmonreach.rules import RulesChanged, TrafficRules, WatchAssigned, ZoneState
from persimmonreach.zones.messages import ZoneOverrides

# A new override is sent to all peers immediately, and again at this interval for this
# duration, because messages can be lost.
BROADCAST_DURATION_S: Final = 3.0
BROADCAST_INTERVAL_S: Final = 0.5
# Afterwards one random peer per interval receives the overrides, so that they also
# reach entry instances that start while the store is unavailable.
GOSSIP_INTERVAL_S: Final = 2.0
# A request is repeated within seconds, and operators send few of them.
MAX_REQUESTED_IDS: Final = 256


class OverrideRequested(NamedTuple):
    """Event: an operator requests a zone override at this entry instance.

    Attributes
    ----------
    zone
        Declared availability zone.
    out
        Whether to take the zone out of service; otherwise return it to service.
    sequence
        Wall-clock time at the operator in milliseconds.
    override_id
        Unique id of the override.

    """

    zone: Zone
    out: bool
    sequence: int
    override_id: str


class PersistOverrides(NamedTuple):
    """Action: write overrides to the configuration head in the store.

    Attributes
    ----------
    states
        Overrides that are not in the head yet.

    """

    states: tuple[ZoneState, ...]


class OverrideTable(StateMachine):
    """Applies overrides on top of the rules from the store, and replicates them.

    An override stays in force until the configuration head in the store holds
    that change or a later one of the same zone, so it is not reverted when the
    store recovers. Only watchers request that overrides be written to the store.

    Events: ``RulesChanged``, ``OverrideRequested``, ``PeersChanged``,
    ``WatchAssigned``, ``Received`` with ``ZoneOverrides``, ``Tick``. Actions:
    ``RulesChanged``, ``PersistOverrides``, ``Send``, ``LogStateChange``, ``Count``.

    Parameters
    ----------
    random
        Random number generator for the choice of peers.

    """

    def __init__(self, random: Random) -> None:
        self._random = random
        self._store_rules = TrafficRules()
        self._store_revision = 0
        self._overrides: tuple[ZoneState, ...] = ()
        # Ids of the latest requests; an operator repeats one whose response was lost.
        self._requested_ids: deque[str] = deque(maxlen=MAX_REQUESTED_IDS)
        self._peers: tuple[Endpoint, ...] = ()
        self._is_watcher = True
        self._broadcast_until: float = 0
        self._next_send_at: float = 0

    @property
    def overrides(self) -> tuple[ZoneState, ...]:
        """Overrides that are not in the store yet, at most one per zone."""
        return self._overrides

    @property
    def declared_zones(self) -> frozenset[Zone]:
        """Availability zones that the configuration declares."""
        return frozenset(state.zone for state in self._store_rules.zones)

    @property
    def wake_at(self) -> float:
        """Time at which overrides, if any, are next sent to peers."""
        return self._next_send_at

    def handle(self, event: Event, now: float) -> tuple[Action, ...]:
        """Return the actions that ``event`` causes."""
        match event:
            case RulesChanged(rules, revision):
                return self._on_rules_changed(rules, revision)
            case OverrideRequested():
                return self._on_override_requested(event, now)
            case Received(_, ZoneOverrides(states)):
                return self._apply_overrides(states, now)
            case PeersChanged(endpoints):
                self._peers = endpoints
                return ()
            case WatchAssigned(is_watcher):
                self._is_watcher = is_watcher
                return ()
            case Tick():
                return self._on_tick(now)
            case _:
                return (Count('overrides_unknown_events'),)

    def _on_rules_changed(self, rules: TrafficRules, revision: int) -> tuple[Action, ...]:
        self._store_rules = rules
        self._store_revision = revision
        self._overrides = self._select_pending(self._overrides)
        return (self._build_rules_changed(),)

    def _on_override_requested(
        self,
        event: OverrideRequested,
        now: float,
    ) -> tuple[Action, ...]:
        states_by_zone = {
            state.zone: state
            for state in merge_zone_states(self._store_rules.zones, self._overrides)
        }
        current_state = states_by_zone.get(event.zone)
        if current_state is None:
            return (Count('overrides_refused'),)
        if event.override_id in self._requested_ids:
            return (Count('overrides_repeated'),)
        self._requested_ids.append(event.override_id)
        sequence = max(event.sequence, current_state.sequence + 1)
        state = ZoneState(event.zone, event.out, sequence, event.override_id)
        return self._apply_overrides((state,), now)

    def _apply_overrides(
        self,
        states: tuple[ZoneState, ...],
        now: float,
    ) -> tuple[Action, ...]:
        previous_overrides = self._overrides
        self._overrides = self._select_pending((*previous_overrides, *states))
        if self._overrides == previous_overrides:
            return ()
        self._broadcast_until = now + BROADCAST_DURATION_S
        self._next_send_at = now + BROADCAST_INTERVAL_S
        change_logs = (
            LogStateChange('zone_override', state.zone, 'out' if state.out else 'in')
            for state in self._overrides
            if state not in previous_overrides
        )
        rules_changed = (
            (self._build_rules_changed(),) if self._store_rules.version else ()
        )
        return (*change_logs, *rules_changed, *self._send_overrides(self._peers))

    def _on_tick(self, now: float) -> tuple[Action, ...]:
        if now < self._next_send_at:
            return ()
        if not self._overrides:
            self._next_send_at = now + GOSSIP_INTERVAL_S
            return ()
        if now < self._broadcast_until:
            self._next_send_at = now + BROADCAST_INTERVAL_S
            return self._send_overrides(self._peers)
        self._next_send_at = now + GOSSIP_INTERVAL_S
        sampled_peers = self._random.sample(self._peers, min(1, len(self._peers)))
        sends = self._send_overrides(tuple(sampled_peers))
        if self._is_watcher and self._store_rules.version:
            return (*sends, PersistOverrides(self._overrides))
        return sends

    def _select_pending(self, states: tuple[ZoneState, ...]) -> tuple[ZoneState, ...]:
        """Return the latest of ``states`` for each zone whose stored state is older.

        Before the rules are loaded, no zone is known and the states are kept as they
        are, so that an entry instance that starts during an outage has them in time.
        """
        if not self._store_rules.version:
            return _latest_states(states)
        stored_states = self._store_rules.zones
        merged_states = merge_zone_states(stored_states, states)
        return tuple(state for state in merged_states if state not in stored_states)

    def _build_rules_changed(self) -> RulesChanged:
        if not self._overrides:
            return RulesChanged(self._store_rules, self._store_revision)
        merged_states = merge_zone_states(self._store_rules.zones, self._overrides)
        zones_out = frozenset(state.zone for state in merged_states if state.out)
        return RulesChanged(
            self._store_rules._replace(zones_out=zones_out),
            self._store_revision,
        )

    def _send_overrides(self, peers: tuple[Endpoint, ...]) -> tuple[Action, ...]:
        message = ZoneOverrides(self._overrides)
        return tuple(Send(peer, message) for peer in peers)


def _latest_states(states: tuple[ZoneState, ...]) -> tuple[ZoneState, ...]:
    latest: dict[Zone, ZoneState] = {}
    for state in states:
        known = latest.get(state.zone)
        if known is None or state.ordering_key > known.ordering_key:
            latest[state.zone] = state
    return tuple(latest.values())
