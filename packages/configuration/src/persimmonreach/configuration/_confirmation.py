"""How long ago the version in force was confirmed by the store."""

import math
from typing import Final

# Confirmations of ten readers, 5 s apart, reach 760 nodes within about 20 s when
# each node tells one peer every 2 s; three times that is no delay any more.
STALE_S: Final = 60
_MS_PER_S: Final = 1000
UNCONFIRMED_MS: Final = -1


class Confirmation:
    """Time of the last confirmation that the version is current."""

    def __init__(self) -> None:
        self._confirmed_at = -math.inf

    def age(self, now: float) -> float:
        """Return the seconds since the confirmation; infinite if none."""
        return now - self._confirmed_at

    def age_ms(self, now: float) -> int:
        """Return the age for a message, in milliseconds."""
        age = self.age(now)
        return UNCONFIRMED_MS if math.isinf(age) else int(age * _MS_PER_S)

    def is_stale(self, now: float) -> bool:
        """Whether a newer version may have been in force for long."""
        return self.age(now) > STALE_S

    def confirm(self, now: float) -> None:
        """Record that the store confirmed the version."""
        self._confirmed_at = now

    def improve(self, age_ms: int, now: float) -> None:
        """Take over a peer's later confirmation of the same version."""
        if age_ms != UNCONFIRMED_MS:
            self._confirmed_at = max(self._confirmed_at, now - age_ms / _MS_PER_S)
