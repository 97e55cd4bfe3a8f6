"""The network in front of the entry instances."""

from collections.abc import Callable, Mapping
from random import Random
from typing import Final

from persimmonreach.proof._entry_node import EntryNode
from persimmonreach.proof._network import Scheduler

_DELAY_S: Final = 0.002
# The fabric polls readiness; an entry instance that stops to answer still
# gets packets for this time.
_WITHDRAW_S: Final = 1


class Fabric:
    """Hands each packet of a caller to any entry instance that is ready.

    Parameters
    ----------
    scheduler
        Virtual time.
    rng
        Source of the choice.
    entries
        All entry instances by name.

    """

    def __init__(
        self,
        scheduler: Scheduler,
        rng: Random,
        entries: Mapping[str, EntryNode],
    ) -> None:
        self._scheduler = scheduler
        self._rng = rng
        self._entries = entries
        self._ready_at: dict[str, float] = {}

    def tick(self) -> None:
        """Poll the readiness of the entry instances."""
        for name, node in self._entries.items():
            if node.is_ready:
                self._ready_at[name] = self._scheduler.now

    def send(self, packet: bytes) -> None:
        """Send a packet of a caller to one entry instance."""
        since = self._scheduler.now - _WITHDRAW_S
        known = [name for name, at in self._ready_at.items() if at > since]
        if known:
            node = self._entries[self._rng.choice(known)]
            self._scheduler.after(_DELAY_S, node.post, packet)

    def reply(self, packet: bytes, receive: Callable[[bytes], None]) -> None:
        """Send a packet of an agent to its caller."""
        self._scheduler.after(_DELAY_S, receive, packet)
