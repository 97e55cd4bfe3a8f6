"""Task that replicates zone overrides and writes them to the store."""

from collections.abc import Callable
from typing import Any

import gevent
from gevent.queue import Queue

from persimmonreach.configuration import Publisher
from persimmonreach.core import Action, Clock, LogStateChange, Send
from persimmonreach.rules import ZoneState
from persimmonreach.runtime import PeerTransport, StateMachineTask
from persimmonreach.store import StoreError
from persimmonreach.zones._overrides import OverrideTable, PersistOverrides


class OverridesTask(StateMachineTask):
    """Owns the zone overrides of an entry instance.

    A separate greenlet writes them to the store, so that a slow or unavailable store
    does not delay messages.

    Parameters
    ----------
    table
        State machine that holds the overrides.
    clock
        Monotonic clock.
    peer_transport
        Transport to the other entry instances.
    sink
        Called with each action other than ``Send`` and ``PersistOverrides``, and with
        a ``LogStateChange`` for each failed write to the store.
    publisher
        Writes overrides to the configuration head in the store.

    """

    def __init__(
        self,
        table: OverrideTable,
        clock: Clock,
        peer_transport: PeerTransport,
        sink: Callable[[Action], None],
        publisher: Publisher,
    ) -> None:
        super().__init__(table, clock)
        self._peer_transport = peer_transport
        self._sink = sink
        self._publisher = publisher
        self._write_requests: Queue = Queue(maxsize=1)

    def start(self) -> None:
        """Start handling messages and writing overrides to the store."""
        super().start()
        self._spawn(self._write_overrides)

    def _perform(self, action: Action) -> None:
        if isinstance(action, Send):
            self._peer_transport.send(action.to, action.message)
        elif isinstance(action, PersistOverrides):
            self._enqueue_write(action.states)
        else:
            self._sink(action)

    def _enqueue_write(self, states: tuple[ZoneState, ...]) -> None:
        # The state machine repeats the action until the store holds the overrides,
        # so a request that arrives while another is queued can be dropped.
        if not self._write_requests.full():
            self._write_requests.put_nowait(states)

    def _write_overrides(self) -> None:
        while True:
            states: Any = self._write_requests.get()
            try:
                self._publisher.persist_overrides(states)
            except StoreError as error:
                self._sink(LogStateChange('overrides_not_absorbed', '', str(error)))
                gevent.sleep(0)
