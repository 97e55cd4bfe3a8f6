"""An entry instance made of its real decisions."""

from random import Random
from typing import Any, Final

from persimmonreach.configuration import (
    AbsorbOverrides,
    Configuration,
    ConfigurationChanged,
    EntriesChanged,
    EntryConfiguration,
    EntryInstance,
    EntrySettings,
    OverrideSet,
    Store,
    StoreError,
    StoreRead,
)
from persimmonreach.core import Endpoint, EntryId, Send, Tick, Zone
from persimmonreach.membership import EntryMembership, ViewChanged
from persimmonreach.membership.messages import MESSAGE_TYPES as MEMBERSHIP_TYPES
from persimmonreach.packets import Ipv4TcpCodec
from persimmonreach.proof._nodes import Node, Surroundings, content_of
from persimmonreach.proof._settings import Switches
from persimmonreach.proof._store_side import StoreSide, make_publisher
from persimmonreach.routing import EntryRouter, Forward

_MEMBERSHIP = tuple(MEMBERSHIP_TYPES.values())
_CHANGE_BYTES: Final = 4
_MS_PER_S: Final = 1000


class EntryNode(Node):
    """Entry instance.

    Parameters
    ----------
    entry
        Identity.
    shared
        What all nodes share.
    switches
        Settings of the decisions.
    store
        Client of the store.
    rng
        Source of random numbers.
    clock
        Virtual time.

    """

    def __init__(
        self,
        entry: EntryInstance,
        shared: Surroundings,
        switches: Switches,
        store: Store,
        rng: Random,
        clock: Any,
    ) -> None:
        super().__init__(entry.entry, entry.zone, entry.endpoint, shared)
        self.store_delay_s: float = 0
        self.seeds: tuple[Endpoint, ...] = ()
        self._entry = entry
        self._switches = switches
        self._store = store
        self._rng = rng
        self._clock = clock
        self._is_reading = False

    @property
    def configuration(self) -> Configuration:
        """Configuration in force."""
        return self._configuration.configuration

    @property
    def router(self) -> EntryRouter:
        """Routing table."""
        return self._router

    @property
    def is_ready(self) -> bool:
        """Whether the fabric hands packets to the instance."""
        return (
            self.is_well
            and self._router.is_zone_in_service
            and self._router.configuration.version > 0
            and self._membership.synced
        )

    def set_zone(self, zone: Zone, out: bool) -> None:
        """Set an override as an operator does while the store is down."""
        wall_ms = int(self.now * _MS_PER_S)
        change = self._rng.randbytes(_CHANGE_BYTES).hex()
        self._accept(OverrideSet(zone, out, wall_ms, change))

    def _start(self) -> None:
        switches = self._switches
        settings = EntrySettings(
            EntryId(self._entry.entry),
            self.zone,
            self.seeds,
            switches.version_order,
        )
        self._configuration = EntryConfiguration(settings, self._rng)
        self._membership = EntryMembership(self._entry, switches.membership, self._rng)
        self._router = EntryRouter(self.zone, Ipv4TcpCodec())
        self._store_side = StoreSide(self._store, self._entry, self._clock)
        self._is_reading = False

    def _accept(self, event: Any) -> None:
        content = content_of(event)
        if isinstance(content, bytes):
            route = self._router.route(content, self.now)
            if isinstance(route, Forward):
                self._send(route.to, route.message)
        elif isinstance(content, _MEMBERSHIP):
            self._run(self._membership, event)
        else:
            self._run(self._configuration, event)

    def _tick(self) -> None:
        self._run(self._router, Tick())
        self._run(self._membership, Tick())
        self._run(self._configuration, Tick())
        if self._is_reading:
            return
        event = self._store_side.tick(self._configuration.wants_store(self.now))
        if isinstance(event, StoreRead) and self.store_delay_s:
            self._is_reading = True
            self._shared.scheduler.after(self.store_delay_s, self._finish_read, event)
        elif event is not None:
            self._accept(event)

    def _finish_read(self, event: StoreRead) -> None:
        self._is_reading = False
        self.post(event)

    def _perform(self, action: Any) -> None:
        match action:
            case Send():
                self._send(action.to, action.message)
            case ConfigurationChanged():
                self._note_version(action.configuration)
                self._run(self._router, action)
                self._run(self._membership, action)
            case EntriesChanged():
                self._run(self._membership, action)
            case ViewChanged():
                self._run(self._router, action)
            case AbsorbOverrides():
                self._absorb(action)

    def _absorb(self, action: AbsorbOverrides) -> None:
        publisher = make_publisher(self._store, self._clock, self._rng, _no_pause)
        try:
            publisher.absorb(action.overrides)
        except StoreError:
            # The decisions ask again as long as it is needed.
            return


def _no_pause(seconds: float) -> None:
    """Return at once: a pause of one instance must not move virtual time."""
