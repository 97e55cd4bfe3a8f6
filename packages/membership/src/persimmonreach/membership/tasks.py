"""Greenlets that own the membership of an agent and of an entry instance."""

from collections.abc import Callable
from typing import Any, Final, final

from persimmonreach.core import Action, Clock, Endpoint, Send, StateMachine, Tick
from persimmonreach.runtime import Task

# Half of the batch period; ticks are most of the processor time of an idle agent.
TICK_SECONDS: Final = 0.1


class _MembershipTask(Task):
    """Task of one state machine.

    Parameters
    ----------
    machine
        Decisions.
    send
        Sends a message to another process.
    sink
        Receives all other actions.
    clock
        Monotonic time.

    """

    def __init__(
        self,
        machine: StateMachine,
        send: Callable[[Endpoint, Any], None],
        sink: Callable[[Action], None],
        clock: Clock,
    ) -> None:
        super().__init__(TICK_SECONDS)
        self._machine = machine
        self._send = send
        self._sink = sink
        self._clock = clock

    def receive(self, message: Any) -> None:
        """Handle one event from the mailbox."""
        for action in self._machine.handle(message, self._clock.now()):
            if isinstance(action, Send):
                self._send(action.to, action.message)
            else:
                self._sink(action)

    def tick(self) -> None:
        """Act on elapsed time."""
        self.receive(Tick())


@final
class AgentMembershipTask(_MembershipTask):
    """Task of the membership of an agent; takes an ``AgentMembership``."""


@final
class EntryMembershipTask(_MembershipTask):
    """Task of the membership of an entry instance; takes an ``EntryMembership``."""
