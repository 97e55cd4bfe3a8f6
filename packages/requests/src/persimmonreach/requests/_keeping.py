"""Records that an agent keeps for others that have stopped."""

from typing import Final, NamedTuple

from persimmonreach.core import Action, AgentId, Endpoint, Incarnation, Send
from persimmonreach.requests.messages import (
    HeldRecords,
    KeepRecords,
    RecordsKept,
    WantRecords,
)

# A successor starts within seconds; the records name requests of which copies
# arrive for 15 s at most.
_LIFETIME_S: Final = 20


class _Kept(NamedTuple):
    incarnation: Incarnation
    expires_at: float
    parts: dict[int, KeepRecords]


class _Askers(NamedTuple):
    latest: Incarnation = Incarnation(0)
    earlier: Incarnation = Incarnation(0)


class Keeper:
    """Keeps sealed records for the next process of an agent.

    It also remembers which incarnations have asked, since one that started and
    ended without sealing may have run requests that the records lack.

    Parameters
    ----------
    agent
        The local agent.

    """

    def __init__(self, agent: AgentId) -> None:
        self._agent = agent
        self._kept: dict[AgentId, _Kept] = {}
        self._askers: dict[AgentId, _Askers] = {}

    def keep(
        self,
        sender: Endpoint,
        message: KeepRecords,
        now: float,
    ) -> tuple[Action, ...]:
        """Keep one part and confirm it."""
        kept = self._kept.get(message.agent)
        if kept is None or kept.incarnation < message.incarnation:
            kept = _Kept(message.incarnation, now + _LIFETIME_S, {})
            self._kept[message.agent] = kept
        if kept.incarnation > message.incarnation:
            return ()
        kept.parts[message.part] = message
        confirmed = RecordsKept(self._agent, message.incarnation, message.part)
        return (Send(sender, confirmed),)

    def answer(
        self,
        sender: Endpoint,
        message: WantRecords,
        now: float,
    ) -> tuple[Action, ...]:
        """Return what is kept for the asking agent."""
        asked = self._note_asker(message)
        held = HeldRecords(self._agent, message.incarnation, asked)
        kept = self._kept.get(message.agent)
        if kept is None or now >= kept.expires_at or not self._is_whole(kept):
            return (Send(sender, held),)
        held = held._replace(sealed=kept.incarnation)
        return tuple(
            Send(
                sender,
                held._replace(part=part.part, parts=part.parts, digests=part.digests),
            )
            for part in kept.parts.values()
        )

    def expire(self, now: float) -> None:
        """Drop records that no successor has asked for in time."""
        late = [agent for agent, kept in self._kept.items() if now >= kept.expires_at]
        for agent in late:
            self._kept.pop(agent)

    def _note_asker(self, message: WantRecords) -> Incarnation:
        """Return the highest other incarnation that has asked."""
        askers = self._askers.get(message.agent, _Askers())
        if message.incarnation > askers.latest:
            askers = _Askers(message.incarnation, askers.latest)
            self._askers[message.agent] = askers
        if message.incarnation == askers.latest:
            return askers.earlier
        return askers.latest

    def _is_whole(self, kept: _Kept) -> bool:
        first = next(iter(kept.parts.values()))
        return len(kept.parts) == first.parts
