"""Task that runs one state machine."""

from abc import abstractmethod
from typing import Any, Final

import gevent

from persimmonreach.core import Action, Clock, StateMachine, Tick
from persimmonreach.runtime._task import Task

# Maximum wait for a message or for the next timer of the state machine.
_MAX_WAIT_S: Final = 1.0
# A timer that runs later than this indicates that the process was blocked. Responses
# may then have arrived in time and still be unread in the sockets.
_MAX_TIMER_DELAY_S: Final = 0.005
# Rounds of reading the sockets before a late timer runs; a round reads up to 64
# datagrams per socket.
_MAX_READ_ROUNDS: Final = 8


class StateMachineTask(Task):
    """Passes messages and due timers to a state machine and performs its actions.

    Parameters
    ----------
    machine
        State machine to run.
    clock
        Source of the current time.

    """

    def __init__(self, machine: StateMachine, clock: Clock) -> None:
        super().__init__(tick_interval_s=_MAX_WAIT_S)
        self._machine = machine
        self._clock = clock
        # Time at which the wait of the main loop ends; 0 while it does not wait. A
        # subclass may call `receive` in another greenlet, which may set an earlier
        # timer.
        self._waiting_until: float = 0

    @property
    def machine(self) -> StateMachine:
        """State machine of the task, for reading its state."""
        return self._machine

    def receive(self, message: Any) -> None:
        """Pass one message to the state machine and perform the actions."""
        for action in self._machine.handle(message, self._clock.now()):
            self._perform(action)
        if self._machine.wake_at < self._waiting_until:
            self._mailbox.wake()

    def tick(self) -> None:
        """Pass a ``Tick`` to the state machine and perform the actions."""
        for action in self._machine.handle(Tick(), self._clock.now()):
            self._perform(action)

    @abstractmethod
    def _perform(self, action: Action) -> None:
        """Perform one action."""

    def _run(self) -> None:
        while True:
            now = self._clock.now()
            if self._machine.wake_at <= now:
                if now - self._machine.wake_at > _MAX_TIMER_DELAY_S:
                    self._receive_unread()
                self.tick()
            wake_at = min(self._machine.wake_at, now + _MAX_WAIT_S)
            self._waiting_until = wake_at
            self._mailbox.wait(max(wake_at - now, 0))
            self._waiting_until = 0
            self._receive_batch()

    def _receive_unread(self) -> None:
        """Handle messages that have arrived, before a late timer treats them as lost."""
        for _ in range(_MAX_READ_ROUNDS):
            gevent.sleep(0)
            if not len(self._mailbox):
                return
            self._receive_batch()
