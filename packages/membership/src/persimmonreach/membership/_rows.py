"""Changes of member rows at an entry instance."""

from collections.abc import Iterable

from persimmonreach.core import Action, AgentId, ServiceId, StateChange
from persimmonreach.membership._chunks import row_messages
from persimmonreach.membership._duty import RegistrarDuty
from persimmonreach.membership._settings import MembershipSettings
from persimmonreach.membership._table import MemberRow, MemberTable
from persimmonreach.membership._view import ViewChanged
from persimmonreach.membership.messages import MemberRows


class RowChanges:
    """Merges rows and collects what has to be sent or announced.

    Parameters
    ----------
    table
        Member rows.
    duty
        Counts the opinions of registrars.
    settings
        Periods.

    """

    def __init__(
        self,
        table: MemberTable,
        duty: RegistrarDuty,
        settings: MembershipSettings,
    ) -> None:
        self._table = table
        self._duty = duty
        self._settings = settings
        self._batch: dict[AgentId, None] = {}
        self._batch_due = float(0)
        self._changed: dict[ServiceId, None] = {}
        self._dead: list[StateChange] = []

    def note(self, service: ServiceId) -> None:
        """Remember that the view of a service changed."""
        self._changed[service] = None

    def merge(self, row: MemberRow) -> bool:
        """Merge a row; return whether the table changed."""
        previous = self._table.find(row.member.agent)
        if not self._table.merge(row):
            return False
        merged = self._table.find(row.member.agent) or row
        if previous is None or previous.member != merged.member:
            self.note(merged.member.service)
        if previous and previous.member.service != merged.member.service:
            self.note(previous.member.service)
        return True

    def publish(self, rows: Iterable[MemberRow], now: float) -> None:
        """Merge rows that originate here; changed ones go to all peers."""
        for row in rows:
            if self.merge(row):
                if not self._batch:
                    self._batch_due = now + self._settings.batch_s
                self._batch[row.member.agent] = None

    def settle(self, now: float) -> None:
        """Mark members dead that a majority of registrars declared dead.

        A process that has just started waits, as it does not know which
        lists of entry instances are still in use.
        """
        if not self._duty.has_run_for(self._settings.handover_s, now):
            return
        for row in self._table.accused:
            if self._duty.is_condemned(row):
                member = row.member._replace(alive=False)
                self.merge(MemberRow(member))
                self._dead.append(
                    StateChange('agent_dead', member.agent, str(member.incarnation)),
                )

    def take_batch(self, version: int, now: float) -> list[MemberRows]:
        """Return the messages of a batch that is due."""
        if now < self._batch_due:
            return []
        rows = [row for row in map(self._table.find, self._batch) if row]
        self._batch = {}
        return row_messages(version, rows)

    def take_actions(self) -> tuple[Action, ...]:
        """Return changed views and deaths since the last call."""
        views = tuple(ViewChanged(self._table.view(key)) for key in self._changed)
        dead = tuple(self._dead)
        self._changed = {}
        self._dead = []
        return (*views, *dead)
