"""Search for the agent that holds a flow."""

from collections import deque
from collections.abc import Iterable
from typing import Final

from persimmonreach.core import (
    Action,
    AgentId,
    Count,
    Deadlines,
    Decision,
    Event,
    FlowKey,
    Received,
    Send,
    StateMachine,
    Tick,
)
from persimmonreach.discovery import AgentDirectory, AgentRow, AgentState
from persimmonreach.lookup._events import HolderFound, HolderMissing, SearchHolder
from persimmonreach.lookup.messages import FlowFound, FlowMissing, QueriedPacket
from persimmonreach.placement import rank_rows

# Agents asked first: those among which placement would have chosen.
FIRST_ASKED: Final = 2
# Wait for those asked first: two ways between zones with jitter, and a bounce.
FIRST_WAIT_S: Final = 0.025
# Wait for all others; then the search has no result and the next packet begins
# a new one.
LAST_WAIT_S: Final = 0.06
# A caller has at most 16 packets in flight.
LARGEST_QUEUE: Final = 16


class _Search:
    __slots__ = (
        'asked',
        'is_last',
        'missing',
        'packets',
        'service',
        'started_at',
        'waiting',
    )

    def __init__(self, event: SearchHolder, now: float) -> None:
        self.service = event.service
        self.packets: deque[bytes] = deque((event.packet,), maxlen=LARGEST_QUEUE)
        self.started_at = now
        self.asked: set[AgentId] = set()
        self.waiting: set[AgentId] = set()
        self.missing: set[AgentId] = set()
        self.is_last = False
        if event.missing_at is not None:
            self.asked.add(event.missing_at)
            self.missing.add(event.missing_at)


class HolderSearch(StateMachine):
    """Asks agents for a flow: the likely ones first, then all others.

    Events: ``SearchHolder``, ``Received`` with an answer,
    ``Tick``. Actions: ``Send``, ``HolderFound``, ``HolderMissing``, ``Count``,
    ``Decision``.

    Parameters
    ----------
    directory
        Known agents.

    """

    def __init__(self, directory: AgentDirectory) -> None:
        self._directory = directory
        self._searches: dict[FlowKey, _Search] = {}
        self._deadlines: Deadlines[FlowKey] = Deadlines()

    @property
    def wake_at(self) -> float:
        """Time at which the next wait ends."""
        return self._deadlines.next_at

    def handle(self, event: Event, now: float) -> tuple[Action, ...]:
        """Return the actions that ``event`` causes."""
        match event:
            case SearchHolder():
                return self._on_search(event, now)
            case Received(_, FlowFound() as found):
                return self._on_found(found, now)
            case Received(_, FlowMissing() as missing):
                return self._on_missing(missing, now)
            case Tick():
                return self._on_tick(now)
            case _:
                return (Count('lookup_unknown_events'),)

    def _on_search(self, event: SearchHolder, now: float) -> tuple[Action, ...]:
        search = self._searches.get(event.key)
        if search is not None:
            search.packets.append(event.packet)
            return ()
        search = _Search(event, now)
        self._searches[event.key] = search
        rows = self._directory.of_service(event.service).values()
        ranked = rank_rows(event.key, _askable(rows, search))
        asked = self._ask(search, ranked[:FIRST_ASKED])
        started = Count('searches_started')
        if asked:
            self._deadlines.put(event.key, now + FIRST_WAIT_S)
            return (started, *asked)
        return (started, *self._widen(event.key, search, now))

    def _on_found(self, found: FlowFound, now: float) -> tuple[Action, ...]:
        self._deadlines.cancel(found.key)
        search = self._searches.pop(found.key, None)
        if search is None:
            return (HolderFound(found.key, found.agent, ()),)
        waiting = tuple(search.packets)[1:]
        inputs = _inputs_of(search, now)
        return (
            HolderFound(found.key, found.agent, waiting),
            Count('searches_found'),
            Decision('holder_found', found.key, found.agent, inputs),
        )

    def _on_missing(self, missing: FlowMissing, now: float) -> tuple[Action, ...]:
        search = self._searches.get(missing.key)
        if search is None:
            return ()
        search.missing.add(missing.agent)
        search.waiting.discard(missing.agent)
        if search.waiting:
            return ()
        return self._widen(missing.key, search, now)

    def _on_tick(self, now: float) -> tuple[Action, ...]:
        actions: list[Action] = []
        for key in self._deadlines.pop_due(now):
            actions.extend(self._widen(key, self._searches[key], now))
        return tuple(actions)

    def _widen(self, key: FlowKey, search: _Search, now: float) -> tuple[Action, ...]:
        if not search.is_last:
            search.is_last = True
            others = list(_askable(self._directory.rows, search))
            asked = self._ask(search, others)
            if asked:
                self._deadlines.put(key, now + LAST_WAIT_S)
                return asked
        return self._conclude(key, search, now)

    def _ask(self, search: _Search, rows: list[AgentRow]) -> tuple[Action, ...]:
        agents = {row.agent for row in rows}
        search.asked |= agents
        search.waiting |= agents
        query = QueriedPacket(search.packets[0])
        return tuple(Send(row.endpoint, query) for row in rows)

    def _conclude(
        self,
        key: FlowKey,
        search: _Search,
        now: float,
    ) -> tuple[Action, ...]:
        self._searches.pop(key)
        self._deadlines.cancel(key)
        inputs = _inputs_of(search, now)
        if search.waiting or not self._directory.is_read:
            return (
                Count('searches_unfinished'),
                Decision('holder_not_found', key, 'dropped', inputs),
            )
        return (
            HolderMissing(key, search.packets[-1]),
            Count('searches_missing'),
            Decision('holder_not_found', key, 'reset', inputs),
        )


def _askable(rows: Iterable[AgentRow], search: _Search) -> Iterable[AgentRow]:
    return (
        row
        for row in rows
        if row.agent not in search.asked and row.status.state is not AgentState.LEFT
    )


def _inputs_of(search: _Search, now: float) -> dict[str, object]:
    return {
        'asked': len(search.asked),
        'missing': len(search.missing),
        'silent': sorted(search.waiting),
        'took_ms': round((now - search.started_at) * 1000, 1),
    }
