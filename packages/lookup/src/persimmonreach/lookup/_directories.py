"""Directories of flows: entry instances that store which agent holds a flow.

The directories of a flow are selected by rendezvous hashing, so agents and entry
instances agree on them without coordination. The contents of a directory are soft
state: agents publish their flows again when the set of entry instances changes,
and a search also works without them.
"""

from collections.abc import Iterable
from heapq import nlargest
from typing import Final

import xxhash

from persimmonreach.core import (
    Action,
    AgentId,
    Count,
    EntryId,
    Event,
    FlowKey,
    Received,
    Send,
    StateMachine,
    Tick,
)
from persimmonreach.flows import HolderCache
from persimmonreach.lookup.messages import FlowsPublished, HolderQuery, HolderResponse

# Two, because one directory may be restarting, or may not be known to all
# instances yet.
DIRECTORIES_PER_FLOW: Final = 2
# Interval at which an agent publishes each of its open flows again.
REPUBLISH_INTERVAL_S: Final = 45
# A flow that is neither published again nor queried expires after one to two
# generations.
_GENERATION_S: Final = 60


def directories_of(key: FlowKey, entries: Iterable[EntryId]) -> list[EntryId]:
    """Select the entry instances that are the directories of a flow."""
    return nlargest(
        DIRECTORIES_PER_FLOW,
        entries,
        key=lambda entry: xxhash.xxh3_64_intdigest(key + entry.encode()),
    )


class FlowDirectory(StateMachine):
    """Holders of the flows that agents have published to this entry instance.

    Events: ``Received`` with ``FlowsPublished`` or ``HolderQuery``, ``Tick``.
    Actions: ``Send``, ``Count``.
    """

    def __init__(self) -> None:
        self._holders = HolderCache(_GENERATION_S)

    def __len__(self) -> int:
        """Return the number of published flows."""
        return len(self._holders)

    def find(self, key: FlowKey) -> AgentId | None:
        """Return the agent that has published a flow, or None."""
        return self._holders.find(key)

    def handle(self, event: Event, now: float) -> tuple[Action, ...]:
        """Return the actions that ``event`` causes."""
        match event:
            case Received(_, FlowsPublished(agent, keys)):
                for published_key in keys:
                    self._holders.put(published_key, agent)
                return ()
            case Received(sender, HolderQuery(key)):
                return (Send(sender, HolderResponse(key, self.find(key) or '')),)
            case Tick():
                self._holders.rotate(now)
                return ()
            case _:
                return (Count('directory_unknown_events'),)
