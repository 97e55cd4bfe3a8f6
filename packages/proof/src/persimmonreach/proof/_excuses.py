"""Unplanned losses and zones taken out, which excuse exactly their own effects."""

from typing import Final, NamedTuple

from persimmonreach.core import FlowKey, Zone
from persimmonreach.proof._network import Scheduler

EVERYONE: Final = '*'


class Absence(NamedTuple):
    """Time for which an agent did not answer, in seconds."""

    agent: str
    since: float
    until: float


class Excuses:
    """What a case may break because of its own faults.

    Parameters
    ----------
    scheduler
        Virtual time.

    """

    def __init__(self, scheduler: Scheduler) -> None:
        self._scheduler = scheduler
        self.dead_servers: set[str] = set()
        self.zones_out: dict[Zone, float] = {}
        self.forgotten: dict[FlowKey, float] = {}
        self.absences: list[Absence] = []

    def add_absence(self, agent: str, seconds: float) -> None:
        """Note that ``agent`` does not answer for ``seconds`` from now on."""
        now = self._scheduler.now
        self.absences.append(Absence(agent, now, now + seconds))

    def absent(self, agents: set[str], since: float, until: float) -> bool:
        """Return whether one of ``agents`` did not answer in this time."""
        return any(
            row.agent in agents and row.since <= until and since <= row.until
            for row in self.absences
        )
