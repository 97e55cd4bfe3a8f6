"""View of an agent's own service."""

from persimmonreach.core import Endpoint, EntryId, Incarnation
from persimmonreach.membership._chunks import Assembler
from persimmonreach.membership._table import MemberRow, MemberTable
from persimmonreach.membership._view import Member, MemberState, View
from persimmonreach.membership.messages import ServiceView


class AgentView:
    """Rows of one service as an agent knows them, with its own row.

    Parameters
    ----------
    own
        The agent itself.

    """

    def __init__(self, own: Member) -> None:
        self._own = own
        self._table = MemberTable()
        self._table.merge(MemberRow(own))
        self._view = self._table.view(own.service)
        self._changed = True
        self._parts = Assembler()
        self._acknowledged: dict[EntryId, int] = {}

    @property
    def own(self) -> Member:
        """The agent itself as it announces itself."""
        return self._own

    @property
    def view(self) -> View:
        """Present view."""
        return self._view

    @property
    def peer_endpoints(self) -> tuple[Endpoint, ...]:
        """Addresses of the other members that may hold flows."""
        return tuple(
            member.endpoint
            for member in self._view.members
            if member.is_reachable and member.agent != self._own.agent
        )

    def take_changed(self) -> bool:
        """Return whether the view changed since the last call."""
        changed = self._changed
        self._changed = False
        return changed

    def note_acknowledged(self, entry: EntryId, sequence: int) -> None:
        """Remember the newest heartbeat that a registrar acknowledged."""
        newest = max(sequence, self._acknowledged.get(entry, 0))
        self._acknowledged[entry] = newest

    def acknowledged(self, sequence: int) -> tuple[EntryId, ...]:
        """Return registrars that acknowledged ``sequence`` or a later one."""
        return tuple(
            entry for entry, newest in self._acknowledged.items() if newest >= sequence
        )

    def announce(self, state: MemberState) -> None:
        """Enter a later state."""
        self._own = self._own._replace(state=max(state, self._own.state))
        self._merge_member(self._own)
        self._refresh()

    def raise_incarnation(self, incarnation: Incarnation) -> None:
        """Continue as a newer incarnation in the same state."""
        self._own = self._own._replace(incarnation=incarnation)
        self._merge_member(self._own)
        self._refresh()

    def merge(self, message: ServiceView) -> int:
        """Merge rows; return the incarnation of the own row afterwards."""
        for listed in message.members:
            if listed.service == self._own.service:
                self._merge_member(listed)
        complete = self._parts.add(
            message.digest,
            message.part,
            message.parts,
            message.members,
        )
        if complete is not None:
            self._remove_absent({each.agent for each in complete})
        self._refresh()
        return self._table.known_incarnation(self._own.agent)

    def _merge_member(self, member: Member) -> None:
        self._table.merge(MemberRow(member))

    def _remove_absent(self, listed: set[str]) -> None:
        # Registrars remove rows of dead and departed members after a time; a
        # live row that a registrar lacks has only not reached it yet.
        for row in self._table.rows_of(self._own.service):
            if row.is_settled and row.member.agent not in listed:
                self._table.discard(row.member.agent)

    def _refresh(self) -> None:
        view = self._table.view(self._own.service)
        if view != self._view:
            self._view = view
            self._changed = True
