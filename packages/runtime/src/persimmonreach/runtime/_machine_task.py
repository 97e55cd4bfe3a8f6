"""Task that runs one state machine."""

from abc import abstractmethod
from typing import Any, Final

from persimmonreach.core import Action, Clock, StateMachine, Tick
from persimmonreach.runtime._task import Task

# Longest wait for a timer of the machine.
_LONGEST_WAIT_S: Final = 1.0


class MachineTask(Task):
    """Runs a state machine on messages, and on time when it wants it.

    Parameters
    ----------
    machine
        Decisions.
    clock
        Source of the time.

    """

    def __init__(self, machine: StateMachine, clock: Clock) -> None:
        super().__init__(tick_seconds=_LONGEST_WAIT_S)
        self._machine = machine
        self._clock = clock
        self._armed_at: float = 0

    @property
    def machine(self) -> StateMachine:
        """Decisions of the task, to read their state."""
        return self._machine

    def receive(self, message: Any) -> None:
        """Decide on one message and carry out the actions."""
        for action in self._machine.handle(message, self._clock.now()):
            self._perform(action)
        if self._machine.wake_at < self._armed_at:
            self._mailbox.wake()

    def tick(self) -> None:
        """Act on elapsed time."""
        for action in self._machine.handle(Tick(), self._clock.now()):
            self._perform(action)

    @abstractmethod
    def _perform(self, action: Action) -> None:
        """Carry out one action."""

    def _run(self) -> None:
        while True:
            now = self._clock.now()
            if self._machine.wake_at <= now:
                self.tick()
            wake_at = min(self._machine.wake_at, now + _LONGEST_WAIT_S)
            self._armed_at = wake_at
            self._mailbox.wait(max(wake_at - now, 0))
            self._armed_at = 0
            self._receive_batch()
