"""Following the list of entry instances by messages."""

import random
from collections.abc import Sequence

from persimmonreach.configuration import EntriesChanged
from persimmonreach.core import Action, Endpoint, Send
from persimmonreach.membership._chunks import Assembler
from persimmonreach.membership._registrars import RegistrarSets
from persimmonreach.membership.messages import EntryList, EntryListRequest


class ListFollower:
    """Asks for newer lists of entry instances and puts them in force.

    Parameters
    ----------
    registrars
        Holds the list in force.

    """

    def __init__(self, registrars: RegistrarSets) -> None:
        self._registrars = registrars
        self._parts = Assembler()

    def ask_for(self, version: int, sender: Endpoint) -> tuple[Action, ...]:
        """Ask ``sender`` for its list if ``version`` is newer."""
        if version <= self._registrars.present.version:
            return ()
        return (Send(sender, EntryListRequest()),)

    def ask_any(
        self,
        seeds: Sequence[Endpoint],
        rng: random.Random,
    ) -> tuple[Action, ...]:
        """Ask a seed or a listed entry instance for its list."""
        listed = (entry.endpoint for entry in self._registrars.present.entries)
        candidates = [*seeds, *listed]
        if not candidates:
            return ()
        return (Send(rng.choice(candidates), EntryListRequest()),)

    def collect(self, message: EntryList, now: float) -> EntriesChanged | None:
        """Take in a part; return the list if it came into force."""
        entries = self._parts.add(
            message.version,
            message.part,
            message.parts,
            message.entries,
        )
        if not entries:
            return None
        change = EntriesChanged(message.version, entries)
        return change if self._registrars.adopt(change, now) else None
