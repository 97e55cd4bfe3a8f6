"""State of one search for the holder of a flow."""

from collections import deque
from enum import IntEnum
from typing import Final

from persimmonreach.core import AgentId
from persimmonreach.lookup._events import SearchHolder

# A caller has at most 16 packets in flight.
LARGEST_QUEUE: Final = 16


class Phase(IntEnum):
    """Whom a search asks.

    Attributes
    ----------
    DIRECTORIES
        The directories of the flow.
    HINT
        The agent that a directory has named.
    LIKELY
        The agents among which placement would have chosen.
    ALL
        All other agents.

    """

    DIRECTORIES = 0
    HINT = 1
    LIKELY = 2
    ALL = 3


class Search:
    """One search, and who has answered it.

    Parameters
    ----------
    event
        What began the search.
    now
        Time of its beginning.

    Attributes
    ----------
    phase
        Whom the search asks.
    first
        Packet that is offered.
    packets
        Packets that came after it.
    directories_due
        Directories that have not answered.
    asked
        Agents that were asked in any way.
    waiting
        Those that have not answered.
    missing
        Those that do not hold the flow.
    offers_due
        Those that were offered the packet and have not answered.

    """

    def __init__(self, event: SearchHolder, now: float) -> None:
        self.key = event.key
        self.service = event.service
        self.started_at = now
        self.phase = Phase.DIRECTORIES
        self.first = event.packet
        self.packets: deque[bytes] = deque(maxlen=LARGEST_QUEUE)
        self.directories_due = 0
        self.asked: set[AgentId] = set()
        self.waiting: set[AgentId] = set()
        self.missing: set[AgentId] = set()
        self.offers_due: set[AgentId] = set()
        self._offered: set[AgentId] = set()
        self._unsure: deque[AgentId] = deque()
        if event.missing_at is not None:
            self.asked.add(event.missing_at)
            self.missing.add(event.missing_at)

    @property
    def latest(self) -> bytes:
        """Latest packet of the caller."""
        return self.packets[-1] if self.packets else self.first

    def note_offered(self, agent: AgentId) -> None:
        """Note that an agent is offered the packet."""
        self.note_queried(agent)
        self._offered.add(agent)
        self.offers_due.add(agent)

    def note_queried(self, agent: AgentId) -> None:
        """Note that an agent is asked for its answer."""
        self.asked.add(agent)
        self.waiting.add(agent)

    def note_missing(self, agent: AgentId) -> None:
        """Note that an agent does not hold the flow."""
        self.missing.add(agent)
        self.waiting.discard(agent)
        self.offers_due.discard(agent)

    def note_unsure(self, agent: AgentId) -> None:
        """Note that an agent can tell only if it is offered the packet."""
        if agent in self.waiting and agent not in self._offered:
            self._unsure.append(agent)

    def take_unsure(self, largest: int) -> list[AgentId]:
        """Return agents to offer the packet to, for ``largest`` offers at once."""
        count = min(largest - len(self.offers_due), len(self._unsure))
        return [self._unsure.popleft() for _ in range(count)]

    def packets_for(self, holder: AgentId) -> tuple[bytes, ...]:
        """Return the packets that the holder has not got."""
        first = () if holder in self._offered else (self.first,)
        return (*first, *self.packets)
