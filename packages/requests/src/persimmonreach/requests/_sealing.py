"""Records of a stopping agent: sealed, and kept by other agents."""

from collections.abc import Sequence
from typing import Final

import xxhash

from persimmonreach.core import Action, AgentId, FlowKey, Incarnation, Send
from persimmonreach.membership import Member
from persimmonreach.requests.messages import KeepRecords, RecordsKept

# 120 digests of 9 bytes and the other fields stay below 1,400 bytes.
DIGESTS_PER_PART: Final = 120
# One keeper may be lost with its availability zone.
_KEEPERS: Final = 2
_REPEAT_S: Final = 0.2


def digest_of(key: FlowKey, request_id: bytes) -> int:
    """Return the hash that stands for a request.

    Two requests with one digest are taken for the same one, so that the second
    gets "outcome unknown" and does not run.
    """
    return xxhash.xxh3_64_intdigest(key + request_id)


class Sealer:
    """Hands the records of an agent that has run its last request to others.

    Parameters
    ----------
    agent
        The local agent.

    """

    def __init__(self, agent: AgentId) -> None:
        self._agent = agent
        self._parts: list[KeepRecords] | None = None
        self._keepers: Sequence[Member] = ()
        self._missing: set[tuple[str, int]] = set()
        self._sent_at = float('-inf')

    @property
    def is_started(self) -> bool:
        """Whether the records are sealed."""
        return self._parts is not None

    @property
    def is_done(self) -> bool:
        """Whether one keeper has all parts, or there is nobody to keep them."""
        if self._parts is None:
            return False
        waiting = {keeper for keeper, _ in self._missing}
        return not self._keepers or len(waiting) < len(self._keepers)

    def skip(self) -> None:
        """Seal nothing, because the records are known to be incomplete."""
        self._parts = []

    def start(
        self,
        digests: Sequence[int],
        incarnation: Incarnation,
        keepers: Sequence[Member],
    ) -> None:
        """Seal the records; nothing may run after this.

        Parameters
        ----------
        digests
            Hashes of all requests of which copies may still arrive.
        incarnation
            Incarnation of the local agent.
        keepers
            Members that may keep the records.

        """
        starts = range(0, max(len(digests), 1), DIGESTS_PER_PART)
        self._parts = [
            KeepRecords(
                self._agent,
                incarnation,
                part,
                len(starts),
                tuple(digests[start : start + DIGESTS_PER_PART]),
            )
            for part, start in enumerate(starts)
        ]
        self._keepers = keepers[:_KEEPERS]
        self._missing = {
            (keeper.agent, part.part) for keeper in self._keepers for part in self._parts
        }

    def tick(self, now: float) -> tuple[Action, ...]:
        """Return the parts to send, or to send again."""
        if self._parts is None or now < self._sent_at + _REPEAT_S:
            return ()
        self._sent_at = now
        return tuple(
            Send(keeper.endpoint, part)
            for keeper in self._keepers
            for part in self._parts
            if (keeper.agent, part.part) in self._missing
        )

    def kept(self, keeper: AgentId, message: RecordsKept) -> None:
        """Note that a keeper has a part."""
        self._missing.discard((keeper, message.part))
