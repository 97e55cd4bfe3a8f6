"""Priority queue of deadlines, with at most one deadline per key."""

from collections.abc import Hashable
from heapq import heappop, heappush
from math import inf
from typing import Generic, TypeVar

Key = TypeVar('Key', bound=Hashable)


class Deadlines(Generic[Key]):
    """Deadlines ordered by time, at most one per key.

    Moving or cancelling a deadline leaves its old heap entry in place. The entry
    is discarded once it reaches the top of the heap.
    """

    def __init__(self) -> None:
        self._heap: list[tuple[float, int, Key]] = []
        self._valid_sequences: dict[Key, int] = {}
        self._last_sequence = 0

    @property
    def next_at(self) -> float:
        """Time of the earliest deadline; infinite if there is none."""
        self._discard_invalid_entries()
        return self._heap[0][0] if self._heap else inf

    def schedule(self, key: Key, deadline: float) -> None:
        """Set the deadline of a key, replacing its previous one."""
        self._last_sequence += 1
        self._valid_sequences[key] = self._last_sequence
        heappush(self._heap, (deadline, self._last_sequence, key))

    def cancel(self, key: Key) -> None:
        """Cancel the deadline of a key; does nothing if there is none."""
        self._valid_sequences.pop(key, None)

    def pop_due(self, now: float) -> list[Key]:
        """Remove and return the keys with a deadline up to ``now``, earliest first."""
        due_keys = []
        while self.next_at <= now:
            key = heappop(self._heap)[2]
            self._valid_sequences.pop(key)
            due_keys.append(key)
        return due_keys

    def _discard_invalid_entries(self) -> None:
        while self._heap:
            _, sequence, key = self._heap[0]
            if self._valid_sequences.get(key) == sequence:
                return
            heappop(self._heap)
