"""Duty of a registrar: grants leases and declares silent agents dead."""

from typing import NamedTuple

from persimmonreach.core import AgentId, EntryId, ServiceId
from persimmonreach.membership._registrars import RegistrarSets
from persimmonreach.membership._settings import MembershipSettings
from persimmonreach.membership._table import MemberRow, MemberTable
from persimmonreach.membership._view import Member


class _Heard(NamedTuple):
    incarnation: int
    at: float


class RegistrarDuty:
    """Last acknowledgement of each agent by the registrar's own clock.

    Parameters
    ----------
    entry
        Id of this entry instance.
    settings
        Periods.
    registrars
        Sets of registrars that count.
    table
        Member rows.

    """

    def __init__(
        self,
        entry: EntryId,
        settings: MembershipSettings,
        registrars: RegistrarSets,
        table: MemberTable,
    ) -> None:
        self._entry = entry
        self._settings = settings
        self._registrars = registrars
        self._table = table
        self._heard: dict[AgentId, _Heard] = {}
        self._started_at: float | None = None
        self._steady_since = float(0)
        self._last_seen = float(0)

    def note_time(self, now: float) -> None:
        """Restart the wait for opinions after a start or a pause.

        While this process was paused it acknowledged nothing, so the silence
        says nothing about the agents.
        """
        if self._started_at is None:
            self._started_at = now
            self._steady_since = now
        elif now - self._last_seen > self._settings.heartbeat_s:
            self._steady_since = now
            self._heard = {
                agent: _Heard(heard.incarnation, now)
                for agent, heard in self._heard.items()
            }
        self._last_seen = now

    def has_run_for(self, seconds: float, now: float) -> bool:
        """Return whether this process started at least ``seconds`` ago."""
        return self._started_at is not None and now - self._started_at >= seconds

    def has_declared_dead(self, member: Member) -> bool:
        """Return whether this registrar or a majority declared it dead."""
        row = self._table.find(member.agent)
        if row is None or row.member.incarnation != member.incarnation:
            return False
        return not row.member.alive or self._entry in row.accusers

    def grant(self, member: Member, now: float) -> bool:
        """Return whether to grant a lease, and note the acknowledgement."""
        known = self._table.known_incarnation(member.agent)
        if known != member.incarnation or self.has_declared_dead(member):
            return False
        self._heard[member.agent] = _Heard(member.incarnation, now)
        return True

    def accuse(self, now: float) -> tuple[MemberRow, ...]:
        """Return rows of agents that this registrar now declares dead."""
        if now - self._steady_since < self._settings.silence_s:
            return ()
        return tuple(
            MemberRow(row.member, (self._entry,))
            for service in self._table.services
            if self._is_registrar(service)
            for row in self._table.rows_of(service)
            if self._is_silent(row, now)
        )

    def drop_other_services(self) -> None:
        """Forget agents whose heartbeats go to other registrars now."""
        for agent in tuple(self._heard):
            row = self._table.find(agent)
            if row is None or not self._is_registrar(row.member.service):
                self._heard.pop(agent)

    def is_condemned(self, row: MemberRow) -> bool:
        """Return whether a majority of registrars declared the member dead."""
        return bool(row.accusers) and self._registrars.has_majority(
            row.member.service,
            row.accusers,
        )

    def _is_registrar(self, service: ServiceId) -> bool:
        return any(
            entry.entry == self._entry for entry in self._registrars.everyone(service)
        )

    def _is_silent(self, row: MemberRow, now: float) -> bool:
        if row.is_settled or self._entry in row.accusers:
            return False
        member = row.member
        heard = self._heard.get(member.agent)
        if heard is None or heard.incarnation < member.incarnation:
            # Seen for the first time: its heartbeats may be on the way.
            self._heard[member.agent] = _Heard(member.incarnation, now)
            return False
        return now - heard.at > self._settings.silence_s
