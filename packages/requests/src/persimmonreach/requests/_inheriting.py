"""Records that a started agent takes over from its predecessor."""

from enum import StrEnum
from typing import Final

from persimmonreach.core import Action, AgentId, Count, FlowKey, Send
from persimmonreach.membership import Member, View
from persimmonreach.requests._sealing import digest_of
from persimmonreach.requests.messages import HeldRecords, WantRecords

_REPEAT_S: Final = 0.2
# After this time the agent answers "outcome unknown" instead of waiting. The
# view with its own incarnation arrives within a few heartbeats of 1 s, the
# answers of all live members one round trip later.
_WAIT_S: Final = 4


class Inheritance(StrEnum):
    """What an agent knows of the requests of its predecessor."""

    WAITING = 'waiting'
    KNOWN = 'known'
    UNKNOWN = 'unknown'


class Inheritor:
    """Asks all members of the service for the records of the predecessor.

    The records are trusted only if every live member of a view that a majority
    of registrars confirmed has answered, and no process of the agent that is
    newer than the one that sealed them has asked before, since it could have
    run requests without sealing.

    Parameters
    ----------
    agent
        The local agent.

    """

    def __init__(self, agent: AgentId) -> None:
        self._agent = agent
        self._view: View | None = None
        self._confirmed_digest: int | None = None
        self._answers: dict[AgentId, dict[int, HeldRecords]] = {}
        self._state = Inheritance.WAITING
        self._digests: frozenset[int] = frozenset()
        self._started_at: float | None = None
        self._sent_at = float('-inf')

    @property
    def state(self) -> Inheritance:
        """Whether the records of the predecessor are known."""
        return self._state

    @property
    def digests(self) -> frozenset[int]:
        """Requests that the predecessor had on record."""
        return self._digests

    def has_seen(self, key: FlowKey, request_id: bytes) -> bool:
        """Return whether the predecessor had the request on record."""
        return digest_of(key, request_id) in self._digests

    def change_view(self, view: View) -> None:
        """Use the members of a new view."""
        self._view = view

    def confirm_view(self, digest: int) -> None:
        """Note that a majority of registrars has the view with this digest."""
        self._confirmed_digest = digest

    def tick(self, now: float) -> tuple[Action, ...]:
        """Ask the members that have not answered, or give up."""
        if self._started_at is None:
            self._started_at = now
        if self._state is not Inheritance.WAITING:
            return ()
        if now >= self._started_at + _WAIT_S:
            self._state = Inheritance.UNKNOWN
            return (Count('predecessor_records_unknown'),)
        own = self._own_row()
        if own is None or now < self._sent_at + _REPEAT_S:
            return ()
        if not self._others():
            self._state = Inheritance.UNKNOWN
            return ()
        self._sent_at = now
        question = WantRecords(self._agent, own.incarnation)
        return tuple(
            Send(row.endpoint, question)
            for row in self._others()
            if not self._is_whole(row.agent)
        )

    def answered(self, message: HeldRecords) -> None:
        """Collect one part of an answer."""
        own = self._own_row()
        if self._state is not Inheritance.WAITING or own is None:
            return
        if message.incarnation != own.incarnation:
            return
        self._answers.setdefault(message.keeper, {})[message.part] = message
        if all(self._is_whole(row.agent) for row in self._others()):
            self._conclude()

    def _own_row(self) -> Member | None:
        """Return the own row once the view is confirmed."""
        if self._view is None or self._view.digest != self._confirmed_digest:
            return None
        return self._view.find(self._agent)

    def _others(self) -> list[Member]:
        rows = self._view.members if self._view else ()
        return [row for row in rows if row.is_reachable and row.agent != self._agent]

    def _is_whole(self, keeper: AgentId) -> bool:
        parts = self._answers.get(keeper, {})
        return bool(parts) and len(parts) == next(iter(parts.values())).parts

    def _conclude(self) -> None:
        answers = [part for parts in self._answers.values() for part in parts.values()]
        sealed = max(part.sealed for part in answers)
        if not sealed or sealed < max(part.asked for part in answers):
            self._state = Inheritance.UNKNOWN
            return
        self._digests = frozenset(
            digest for part in answers if part.sealed == sealed for digest in part.digests
        )
        self._state = Inheritance.KNOWN
