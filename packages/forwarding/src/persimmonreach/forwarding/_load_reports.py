"""Load messages of an agent to the entry instances."""

from collections.abc import Callable
from math import inf
from typing import Final, NamedTuple

from persimmonreach.core import Action, Count, Endpoint, Incarnation, Send
from persimmonreach.discovery import AgentStatus
from persimmonreach.forwarding._events import BackendStatusReported
from persimmonreach.forwarding._flow_tracking import FlowTracking
from persimmonreach.load import AgentLoad
from persimmonreach.placement import AdmissionController, FlowOffer
from persimmonreach.queueing import ClassedOffer

# The first messages tell an entry instance that this agent understands offers with a
# class. Any of them may be lost.
FIRST_MESSAGE_COUNT: Final = 3
# After an offer with a class, all statuses are followed by a load message for this time.
CLASSES_DECLARED_S: Final = 30
# Receivers are counted up to this number. Beyond it all are forgotten, which costs a few
# messages to each.
_MAX_RECEIVERS: Final = 4096
_MS_PER_S: Final = 1000


class _Receiver(NamedTuple):
    """Process of an entry instance, and the load messages it was sent at first."""

    incarnation: Incarnation
    sent_count: int


_NEW_RECEIVER: Final = _Receiver(Incarnation(0), 0)


class LoadReports:
    """Sends the load of the backend server after statuses of its agent.

    Parameters
    ----------
    tracking
        Flows of the backend server, and the meter of its load.
    admission_controller
        Admission controller, which knows the slots of the backend server.
    waiting_count
        Returns the number of flows that wait for admission.

    """

    def __init__(
        self,
        tracking: FlowTracking,
        admission_controller: AdmissionController,
        waiting_count: Callable[[], int],
    ) -> None:
        self._meter = tracking.meter
        self._flows = tracking.flows
        self._admission_controller = admission_controller
        self._waiting_count = waiting_count
        self._classes_until = -inf
        self._measured_at: float = 0
        self._backend_start: tuple[str, int] | None = None
        self._receivers: dict[Endpoint, _Receiver] = {}

    @property
    def gauges(self) -> dict[str, float]:
        """Current values of the gauges, by metric name."""
        return {
            'service_time_ms': self._meter.estimator.average_s * _MS_PER_S,
            'stream_rate': self._meter.stream_rate(self._measured_at),
        }

    def on_offer(self, offer: FlowOffer | ClassedOffer, now: float) -> None:
        """Record whether the service of the backend server declares classes."""
        if isinstance(offer, ClassedOffer):
            self._classes_until = now + CLASSES_DECLARED_S

    def on_entry_status(self, sender: Endpoint, incarnation: Incarnation) -> None:
        """Repeat the first messages to an entry instance that has restarted."""
        receiver = self._receivers.get(sender, _NEW_RECEIVER)
        if receiver.incarnation != incarnation:
            self._store_receiver(sender, _Receiver(incarnation, 0))

    def on_backend_status(self, report: BackendStatusReported) -> None:
        """Forget what was measured if the backend server has restarted."""
        backend_start = (report.backend, report.started_at_ms)
        if self._backend_start not in {None, backend_start}:
            self._meter.reset()
        self._backend_start = backend_start
        self._meter.estimator.set_slots(self._admission_controller.slots)

    def measure(self, now: float) -> None:
        """Measure the present occupancy; called at regular intervals."""
        self._measured_at = now
        self._meter.observe_occupying(self._flows.count_occupying(now), now)
        self._meter.estimator.set_slots(self._admission_controller.slots)

    def follow(self, action: Action, now: float) -> tuple[Action, ...]:
        """Return the action, followed by a load message if one is due after it."""
        match action:
            case Send(endpoint, AgentStatus() as status):
                if not self._is_load_due(endpoint, now):
                    return (action,)
                load = self._make_load(status, now)
                return (action, Send(endpoint, load), Count('load_messages_sent'))
            case _:
                return (action,)

    def _is_load_due(self, endpoint: Endpoint, now: float) -> bool:
        """Return whether a load message follows a status; count the first ones."""
        receiver = self._receivers.get(endpoint, _NEW_RECEIVER)
        if receiver.sent_count >= FIRST_MESSAGE_COUNT:
            return now < self._classes_until
        counted = receiver._replace(sent_count=receiver.sent_count + 1)
        self._store_receiver(endpoint, counted)
        return True

    def _store_receiver(self, endpoint: Endpoint, receiver: _Receiver) -> None:
        if len(self._receivers) >= _MAX_RECEIVERS:
            self._receivers.clear()
        self._receivers[endpoint] = receiver

    def _make_load(self, status: AgentStatus, now: float) -> AgentLoad:
        self._meter.observe_occupying(self._flows.count_occupying(now), now)
        load = AgentLoad(
            status.agent,
            status.incarnation,
            status.sequence,
            waiting=self._waiting_count(),
        )
        return self._meter.complete(load, now)
