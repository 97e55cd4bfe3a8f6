"""Whether the agent may take flows on behalf of other owners."""

from math import inf

from persimmonreach.core import Event, Incarnation
from persimmonreach.membership import LeaseLapsed, LeaseRenewed


class Standing:
    """Incarnation and admission lease of the agent.

    An agent whose lease has lapsed may have been declared dead, and the owner
    may have placed a flow elsewhere that it was asked to take before. Until
    the first lease event the lease counts as valid.
    """

    def __init__(self) -> None:
        self._incarnation = Incarnation(-1)
        self._valid_until = inf

    def note(self, event: Event) -> None:
        """Take note of a change of the lease."""
        match event:
            case LeaseRenewed():
                self._valid_until = event.valid_until
            case LeaseLapsed():
                self._valid_until = -inf
                self.learn(event.incarnation)

    @property
    def incarnation(self) -> Incarnation:
        """Incarnation of the agent as far as it is known."""
        return self._incarnation

    def learn(self, incarnation: Incarnation) -> None:
        """Take note of the agent's incarnation; it only rises."""
        self._incarnation = max(self._incarnation, incarnation)

    def is_past(self, incarnation: Incarnation, now: float) -> bool:
        """Return whether ``incarnation`` ended, and this one has a lease."""
        return now < self._valid_until and incarnation < self._incarnation

    def may_take(self, incarnation: Incarnation, now: float) -> bool:
        """Return whether a flow meant for ``incarnation`` may be taken."""
        return now < self._valid_until and incarnation == self._incarnation
