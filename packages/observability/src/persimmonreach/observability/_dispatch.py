"""Dispatch of the actions of a task to the tasks that perform them."""

from collections.abc import Mapping, Sequence

from persimmonreach.core import Action, Count, LogDecision, LogStateChange
from persimmonreach.observability._counters import Counters
from persimmonreach.observability._logs import EventLog
from persimmonreach.runtime import Task


class Dispatcher:
    """Passes actions to the tasks of a process according to their type.

    Parameters
    ----------
    counters
        Counters that ``Count`` actions increment.
    logger
        Log to which ``LogStateChange`` and ``LogDecision`` actions are written.

    """

    def __init__(
        self,
        counters: Counters,
        logger: EventLog,
    ) -> None:
        self._counters = counters
        self._logger = logger
        self._receivers: dict[type, Sequence[Task]] = {}

    def set_receivers(self, receivers: Mapping[type, Sequence[Task]]) -> None:
        """Set the tasks that receive actions of the given types.

        Parameters
        ----------
        receivers
            Tasks by action type. They replace the receivers that were set earlier for
            the same type; other types keep theirs.

        """
        self._receivers.update(receivers)

    def dispatch(self, action: Action) -> None:
        """Count or log ``action``, or post it to the receivers of its type.

        An action whose type has no receivers is discarded.
        """
        if isinstance(action, Count):
            self._counters.add(action.name, action.amount)
        elif isinstance(action, LogStateChange):
            self._logger.log_state_change(action)
        elif isinstance(action, LogDecision):
            self._logger.log_decision(action)
        else:
            for task in self._receivers.get(type(action), ()):
                task.post(action)
