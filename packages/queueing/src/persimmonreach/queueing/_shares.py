"""Shares of the classes in the admissions to a backend server.

Load pattern: two classes that together exceed the capacity, of which the lower one must
be slowed but not starved.
"""

from persimmonreach.queueing._model import ClassRank


class ClassShares:
    """Shares the admissions among waiting classes by weight.

    This is start-time fair queueing: each admission moves the next turn of its class by
    the inverse of the weight, and the class with the earliest turn goes first.
    """

    def __init__(self) -> None:
        self._virtual_time: float = 0
        self._turns: dict[ClassRank, float] = {}

    def turn_of(self, rank: ClassRank) -> float:
        """Return the virtual time of the next turn of a waiting class.

        A class that was passed over is owed one admission at most, so that it does not
        exclude all others later.
        """
        return max(self._turns.get(rank, 0), self._virtual_time - 1 / rank.weight)

    def is_overdue(self, rank: ClassRank) -> bool:
        """Whether others were admitted for the whole share of a waiting class."""
        turn = self._turns.get(rank, 0)
        return self._virtual_time - turn >= 1 / rank.weight

    def join(self, rank: ClassRank) -> None:
        """Record that a class begins to wait; it has no claim from before."""
        self._turns[rank] = max(self._turns.get(rank, 0), self._virtual_time)

    def record_admission(self, rank: ClassRank) -> None:
        """Record the admission of a flow of a waiting class."""
        turn = self.turn_of(rank)
        self._virtual_time = max(self._virtual_time, turn)
        self._turns[rank] = turn + 1 / rank.weight
