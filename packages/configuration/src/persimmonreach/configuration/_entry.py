"""Configuration in force at an entry instance."""

from collections.abc import Callable
from random import Random
from types import MappingProxyType
from typing import Any, Final

from persimmonreach.configuration._entries import EntriesTable
from persimmonreach.configuration._events import (
    EntrySettings,
    OverrideSet,
    StoreConfirmed,
    StoreFailed,
    StoreRead,
)
from persimmonreach.configuration._head import ZoneState
from persimmonreach.configuration._model import (
    Configuration,
    ConfigurationChanged,
    EntriesChanged,
    EntryInstance,
)
from persimmonreach.configuration._replica import ConfigReplica
from persimmonreach.configuration._sync import ConfigSync
from persimmonreach.configuration.messages import (
    ConfigOffer,
    ConfigPull,
    ConfigPush,
    EntriesPull,
    EntriesPush,
    ServicePull,
)
from persimmonreach.core import (
    Action,
    Count,
    Event,
    Received,
    Send,
    StateMachine,
    Tick,
)

# Exchange with one random peer: 0.5 messages/s at each node.
EXCHANGE_S: Final = 2
# Peers told at once of a change, and again in each round of the push phase.
FANOUT: Final = 4
# A node repeats a change for a while: at 30% loss, a single round of three offers
# left the last of 150 nodes waiting 13 s until the regular exchange reached it.
PUSH_PHASE_S: Final = 3
PUSH_ROUND_S: Final = 0.5


class EntryConfiguration(StateMachine):
    """Follows the head: by the store if a reader, by peers otherwise.

    Events: ``Tick``, ``Received``, ``StoreRead``, ``StoreConfirmed``,
    ``StoreFailed``, ``OverrideSet``. Actions: ``Send``,
    ``ConfigurationChanged``, ``EntriesChanged``, ``AbsorbOverrides``,
    ``Count``.

    Parameters
    ----------
    settings
        Settings of this entry instance.
    random
        Source of the choice of peers.

    """

    def __init__(self, settings: EntrySettings, random: Random) -> None:
        self._random = random
        self._replica = ConfigReplica(settings.enforce_version_order)
        self._sync = ConfigSync(self._replica)
        self._entries = EntriesTable(settings)
        self._exchange_at: float = 0
        self._push_until: float = 0
        self._reactions: MappingProxyType[type, Callable[..., Any]] = MappingProxyType(
            {
                Tick: self._on_tick,
                Received: self._on_received,
                StoreRead: self._on_store_read,
                StoreConfirmed: self._on_store_confirmed,
                StoreFailed: self._on_store_failed,
                OverrideSet: self._on_override_set,
            },
        )
        self._receivers: MappingProxyType[type, Callable[..., Any]] = MappingProxyType(
            {
                ConfigOffer: self._on_offer,
                ConfigPull: self._on_pull,
                ConfigPush: self._on_push,
                EntriesPull: self._on_pull,
                EntriesPush: self._on_entries_push,
                ServicePull: self._on_pull,
            },
        )

    @property
    def configuration(self) -> Configuration:
        """Configuration in force."""
        return self._replica.configuration

    @property
    def entries(self) -> tuple[EntryInstance, ...]:
        """Known entry instances, ordered by id."""
        return self._entries.rows

    def wants_store(self, now: float) -> bool:
        """Whether to watch the store: readers, after a start, and if stale."""
        return (
            self._entries.is_reader
            or self._entries.is_held(now)
            or self._sync.confirmation.is_stale(now)
        )

    def age(self, now: float) -> float:
        """Return the seconds since the version was confirmed."""
        return self._sync.confirmation.age(now)

    def is_stale(self, now: float) -> bool:
        """Whether a newer version may have been in force for long."""
        return self._sync.confirmation.is_stale(now)

    def handle(self, event: Event, now: float) -> tuple[Action, ...]:
        """Return the actions that ``event`` causes."""
        react = self._reactions.get(type(event))
        if react is None:
            return (Count('configuration_unknown_events'),)
        return react(event, now)

    def _on_received(self, event: Received, now: float) -> tuple[Action, ...]:
        receive = self._receivers.get(type(event.message))
        if receive is None:
            return (Count('configuration_unknown_messages'),)
        return receive(event, now)

    def _on_tick(self, event: Tick, now: float) -> tuple[Action, ...]:
        actions = (*self._sync.tick(now), *self._entries.tick(now))
        if self._entries.is_reader:
            actions += self._sync.absorb(self._random, now)
        if now < self._exchange_at:
            return actions
        if now < self._push_until:
            self._exchange_at = now + PUSH_ROUND_S
            return actions + self._spread(FANOUT, now)
        self._exchange_at = now + EXCHANGE_S
        return actions + self._spread(1, now)

    def _on_store_read(self, event: StoreRead, now: float) -> tuple[Action, ...]:
        listed = self._entries.read(event.entries_version, event.entries, now)
        if self._sync.read(event, now):
            return listed + self._announce(now)
        return listed + self._spread(FANOUT, now) if listed else ()

    def _on_store_confirmed(
        self,
        event: StoreConfirmed,
        now: float,
    ) -> tuple[Action, ...]:
        self._sync.confirmation.confirm(now)
        return ()

    def _on_store_failed(self, event: StoreFailed, now: float) -> tuple[Action, ...]:
        self._entries.store_failed(now)
        return (Count('configuration_store_failures'),)

    def _on_override_set(self, event: OverrideSet, now: float) -> tuple[Action, ...]:
        sequence = self._replica.next_sequence(event.zone, event.sequence)
        if not sequence:
            return (Count('configuration_overrides_refused'),)
        override = ZoneState(event.zone, event.out, sequence, event.change)
        return self._announce(now) if self._replica.override((override,)) else ()

    def _on_offer(self, event: Received, now: float) -> tuple[Action, ...]:
        offer: ConfigOffer = event.message
        changed = self._replica.override(offer.overrides)
        actions = (
            *(self._announce(now) if changed else ()),
            *self._entries.offered(event.sender, offer.entries_version, now),
            *self._sync.offered(event.sender, offer, now),
        )
        present = self._offer(now)
        if _is_behind(offer, present):
            return (*actions, Send(event.sender, present))
        return actions

    def _on_pull(self, event: Received, now: float) -> tuple[Action, ...]:
        if isinstance(event.message, EntriesPull):
            return self._entries.pulled(event.sender, event.message)
        return self._sync.answer(event.sender, event.message, now)

    def _on_push(self, event: Received, now: float) -> tuple[Action, ...]:
        changed, actions = self._sync.pushed(event, now)
        return actions + self._announce(now) if changed else actions

    def _on_entries_push(self, event: Received, now: float) -> tuple[Action, ...]:
        actions = self._entries.pushed(event, now)
        if any(isinstance(action, EntriesChanged) for action in actions):
            return actions + self._spread(FANOUT, now)
        return actions

    def _announce(self, now: float) -> tuple[Action, ...]:
        changed = ConfigurationChanged(self.configuration)
        self._push_until = now + PUSH_PHASE_S
        self._exchange_at = now + PUSH_ROUND_S
        return (changed, *self._sync.notify(now), *self._spread(FANOUT, now))

    def _spread(self, count: int, now: float) -> tuple[Action, ...]:
        peers = self._entries.peers
        chosen = self._random.sample(peers, min(count, len(peers)))
        offer = self._offer(now)
        return tuple(Send(peer, offer) for peer in chosen)

    def _offer(self, now: float) -> ConfigOffer:
        return self._sync.make_offer(self._entries.offered_version(now), now)


def _is_behind(offer: ConfigOffer, present: ConfigOffer) -> bool:
    """Whether the sender of ``offer`` lacks something of ``present``."""
    if offer.version < present.version:
        return True
    if offer.entries_version < present.entries_version:
        return True
    known = {state.zone: state.order for state in offer.overrides}
    return any(
        state.zone not in known or known[state.zone] < state.order
        for state in present.overrides
    )
