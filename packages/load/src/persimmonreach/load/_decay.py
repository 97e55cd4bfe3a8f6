"""Sums and averages in which older values count less."""

from math import inf


class DecayingSum:
    """Sum of amounts that decay exponentially.

    Parameters
    ----------
    half_life_s
        Time in seconds after which an amount counts half.

    Attributes
    ----------
    half_life_s
        As above; a new value applies to the time since the latest amount.

    """

    __slots__ = ('_total', '_updated_at', 'half_life_s')

    def __init__(self, half_life_s: float) -> None:
        self.half_life_s = half_life_s
        self._total: float = 0
        self._updated_at = -inf

    @property
    def is_empty(self) -> bool:
        """Whether no amount was added since the sum was cleared."""
        return not self._total

    def add(self, amount: float, now: float) -> None:
        """Add an amount."""
        self._total = self.total_at(now) + amount
        self._updated_at = max(now, self._updated_at)

    def clear(self) -> None:
        """Set the sum to 0."""
        self._total = 0

    def total_at(self, now: float) -> float:
        """Return the sum at ``now``, in seconds."""
        if not self._total:
            return 0
        elapsed_s = max(0, now - self._updated_at)
        return self._total * 0.5 ** (elapsed_s / self.half_life_s)


class SmoothedLevel:
    """Average of a level, in which recent periods count most.

    Parameters
    ----------
    half_life_s
        Time in seconds after which a period counts half.

    """

    __slots__ = ('_half_life_s', '_level', '_updated_at')

    def __init__(self, half_life_s: float) -> None:
        self._half_life_s = half_life_s
        self._level: float = 0
        self._updated_at = -inf

    @property
    def level(self) -> float:
        """Average as of the latest observation; 0 before the first one."""
        return self._level

    def observe(self, level: float, now: float) -> None:
        """Take ``level`` as that of the time since the previous observation."""
        elapsed_s = max(0, now - self._updated_at)
        weight = 1 - 0.5 ** (elapsed_s / self._half_life_s)
        self._level += weight * (level - self._level)
        self._updated_at = max(now, self._updated_at)
