"""Keeping the copy of the configuration equal to those of the peers."""

from random import Random
from typing import Final

from persimmonreach.configuration._confirmation import Confirmation
from persimmonreach.configuration._events import AbsorbOverrides, StoreRead
from persimmonreach.configuration._recipients import Recipients
from persimmonreach.configuration._replica import ConfigReplica
from persimmonreach.configuration._transfer import Puller
from persimmonreach.configuration.messages import (
    ConfigOffer,
    ConfigPull,
    ServicePull,
    ServicePush,
)
from persimmonreach.core import Action, Count, Endpoint, Received, Send

# Readers repeat an absorption that lost a race or found the store down.
ABSORB_RETRY_S: Final = 2


class ConfigSync:
    """Transfers of the configuration from and to peers, and its age.

    Parameters
    ----------
    replica
        Copy of the configuration.

    """

    def __init__(self, replica: ConfigReplica) -> None:
        self._replica = replica
        self._puller = Puller(ConfigPull)
        self._confirmation = Confirmation()
        # Confirmation of the version that is being pulled.
        self._offered = Confirmation()
        self._absorb_at: float = 0
        self._pulls_all = False
        self._recipients = Recipients()

    @property
    def confirmation(self) -> Confirmation:
        """Time at which the version in force was confirmed."""
        return self._confirmation

    @property
    def _since(self) -> int:
        return 0 if self._pulls_all else self._replica.version

    def read(self, event: StoreRead, now: float) -> bool:
        """Take over what the store holds; return whether it is news."""
        if event.head is None:
            return False
        changed = self._replica.load(event.head, event.services)
        # A stale read does not confirm the version in force.
        if event.head.version == self._replica.version:
            self._confirmation.confirm(now)
        return changed

    def make_offer(self, entries_version: int, now: float) -> ConfigOffer:
        """Return what this node offers to peers."""
        return ConfigOffer(
            self._replica.version,
            self._replica.digest,
            self._confirmation.age_ms(now),
            self._replica.overrides,
            entries_version,
        )

    def offered(
        self,
        peer: Endpoint,
        offer: ConfigOffer,
        now: float,
    ) -> tuple[Action, ...]:
        """Pull a newer version, or take over the age of the same one."""
        present = self._replica.version
        if self._replica.accepts(offer.version):
            self._offered.improve(offer.age_ms, now)
            return self._puller.offer(peer, offer.version, self._since, now)
        if offer.version != present:
            return ()
        if offer.digest != self._replica.digest:
            return (Count('configuration_digest_mismatches'),)
        self._confirmation.improve(offer.age_ms, now)
        return ()

    def answer(
        self,
        peer: Endpoint,
        pull: ConfigPull | ServicePull,
        now: float,
    ) -> tuple[Action, ...]:
        """Answer a peer or an agent that asks for the configuration."""
        if isinstance(pull, ConfigPull):
            return tuple(Send(peer, push) for push in self._replica.serve(pull))
        self._recipients.remember(peer, pull.name, now)
        is_current = pull.version == self._replica.version
        name = None if is_current else pull.name
        return (Send(peer, self._service_push(name, now)),)

    def notify(self, now: float) -> tuple[Action, ...]:
        """Tell the agents that asked lately of a change."""
        return tuple(
            Send(agent, self._service_push(name, now))
            for agent, name in self._recipients.current(now)
        )

    def pushed(self, event: Received, now: float) -> tuple[bool, tuple[Action, ...]]:
        """Keep a chunk; return whether a newer version is in force."""
        done, actions = self._puller.accept(event, self._since, now)
        if done is None:
            return False, actions
        if not self._replica.fits(done):
            # The copies have diverged: the next transfer brings the whole.
            self._pulls_all = True
            return False, (Count('configuration_digest_mismatches'),)
        if not self._replica.apply(done):
            return False, actions
        self._pulls_all = False
        self._confirmation = self._offered
        self._offered = Confirmation()
        return True, actions

    def tick(self, now: float) -> tuple[Action, ...]:
        """Ask again for lost chunks."""
        return self._puller.tick(self._since, now)

    def absorb(self, random: Random, now: float) -> tuple[Action, ...]:
        """Ask for overrides to be written into the head."""
        overrides = self._replica.overrides
        if not overrides or now < self._absorb_at:
            return ()
        # Readers act at different times, so that mostly one writes.
        self._absorb_at = now + ABSORB_RETRY_S * (1 + random.random())
        return (AbsorbOverrides(overrides),)

    def _service_push(self, name: str | None, now: float) -> ServicePush:
        return ServicePush(
            self._replica.version,
            self._confirmation.age_ms(now),
            self._replica.zones,
            None if name is None else self._replica.find(name),
            unchanged=name is None,
        )
