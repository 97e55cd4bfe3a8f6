"""Base class of the entry and agent processes, and the types of their messages."""

import random
from abc import ABC, abstractmethod
from collections.abc import Callable, Mapping
from contextlib import ExitStack
from types import MappingProxyType
from typing import Any, Final

import gevent

from persimmonreach.core import Action, Endpoint, MonotonicClock
from persimmonreach.discovery import Registration
from persimmonreach.discovery.messages import MESSAGE_TYPES as DISCOVERY_TYPES
from persimmonreach.discovery.tasks import MAX_BACKOFF_S as MAX_REGISTRATION_BACKOFF_S
from persimmonreach.discovery.tasks import RegistrationQuery, RegistrationTask
from persimmonreach.forwarding.messages import MESSAGE_TYPES as FORWARDING_TYPES
from persimmonreach.forwarding.messages import RoutedPacket
from persimmonreach.forwarding.tasks import ForwardingTask
from persimmonreach.load.messages import MESSAGE_TYPES as LOAD_TYPES
from persimmonreach.lookup import PacketQuery, PacketReturned
from persimmonreach.lookup.messages import MESSAGE_TYPES as LOOKUP_TYPES
from persimmonreach.observability import (
    CallbackMetricSource,
    Counters,
    Dispatcher,
    EventLog,
)
from persimmonreach.observability.tasks import (
    MonitoringServer,
    SignalHandlers,
    StatusSource,
)
from persimmonreach.placement import FlowOffer
from persimmonreach.placement.messages import MESSAGE_TYPES as PLACEMENT_TYPES
from persimmonreach.queueing import ClassedOffer
from persimmonreach.queueing.messages import MESSAGE_TYPES as QUEUEING_TYPES
from persimmonreach.runtime import MessageCodec, PeerTask, UdpSocket
from persimmonreach.store import Backoff, Store

MESSAGE_TYPES: Final = MappingProxyType(
    {
        **FORWARDING_TYPES,
        **DISCOVERY_TYPES,
        **LOAD_TYPES,
        **QUEUEING_TYPES,
        **PLACEMENT_TYPES,
        **LOOKUP_TYPES,
    },
)
# Messages that carry packets of callers. Tasks handle them in order of arrival and
# drop new ones while their queue is full.
PACKET_MESSAGE_TYPES: Final = frozenset(
    (RoutedPacket, FlowOffer, ClassedOffer, PacketQuery, PacketReturned),
)
_NO_ADDITIONAL_TYPES: Final = MappingProxyType[int, type]({})
_POLL_INTERVAL_S: Final = 0.02


class BaseProcess(ABC):
    """Process with a clock, counters, a log and a dispatcher of actions.

    Parameters
    ----------
    instance
        Id of the instance, written to every log line.
    initial_counters
        Names of the counters that are published with 0 from the start.

    """

    def __init__(self, instance: str, initial_counters: tuple[str, ...] = ()) -> None:
        self._clock = MonotonicClock()
        self._counters = Counters(initial_counters)
        self._logger = EventLog(instance)
        self._dispatcher = Dispatcher(self._counters, self._logger)
        self._random = random.SystemRandom()

    def run(self) -> None:
        """Run until SIGTERM or SIGINT, then shut down gracefully.

        Raises
        ------
        OSError
            If the process cannot bind to an address from its settings.

        """
        signal_handlers = SignalHandlers(self._logger, self._reload)
        self._logger.info('starting')
        with ExitStack() as stack:
            stack.callback(self._logger.close)
            self._start(stack)
            signal_handlers.wait_for_stop()
            self._logger.info('stopping')
            self._stop()
            self._logger.info('stopped')

    @abstractmethod
    def _start(self, stack: ExitStack) -> None:
        """Start all tasks and register them with ``stack``, which stops them."""

    @abstractmethod
    def _stop(self) -> None:
        """Shut down gracefully; the tasks are still running and stop afterwards."""

    @abstractmethod
    def _make_codec(self, message_types: Mapping[int, type]) -> MessageCodec:
        """Return the codec of messages between processes of the load balancer."""

    def _reload(self) -> str:
        """Reload the settings on SIGHUP and return the outcome for the log.

        Refuses by default.
        """
        return 'refused: settings are read at the start only; restart the process'

    def _make_peer_task(
        self,
        endpoint: Endpoint,
        additional_types: Mapping[int, type] = _NO_ADDITIONAL_TYPES,
    ) -> PeerTask:
        codec = self._make_codec({**MESSAGE_TYPES, **additional_types})
        return PeerTask(UdpSocket(endpoint), codec, PACKET_MESSAGE_TYPES)

    def _make_registration_task(
        self,
        store: Store,
        registration: Registration,
        query: RegistrationQuery,
    ) -> RegistrationTask:
        backoff = Backoff(MAX_REGISTRATION_BACKOFF_S, self._random)
        sink = self._dispatcher.dispatch
        return RegistrationTask(store, registration, query, sink, backoff)

    def _start_http(
        self,
        stack: ExitStack,
        http_endpoint: Endpoint,
        status_source: StatusSource,
        tasks: tuple[PeerTask, ForwardingTask],
    ) -> MonitoringServer:
        peer_task, forwarding_task = tasks
        self._counters.register(
            CallbackMetricSource(
                lambda: {
                    **peer_task.counts,
                    **forwarding_task.counts,
                    'log_lines_dropped': self._logger.dropped_lines,
                    'packets_dropped': forwarding_task.dropped_packet_count,
                },
                lambda: numeric_fields(status_source.status()),
            ),
        )
        http_server = MonitoringServer(http_endpoint, self._counters, status_source)
        http_server.start()
        stack.callback(http_server.stop)
        return http_server

    def _dispatch(self, action: Action) -> None:
        self._dispatcher.dispatch(action)


def wait_while(condition: Callable[[], object], timeout_s: float) -> bool:
    """Wait while ``condition`` holds; return False on timeout."""
    with gevent.Timeout(timeout_s, exception=False):
        while condition():
            gevent.sleep(_POLL_INTERVAL_S)
        return True
    return False


def numeric_fields(status: Mapping[str, Any]) -> dict[str, float]:
    """Return the fields of ``status`` whose values are numbers or booleans."""
    return {
        name: value for name, value in status.items() if isinstance(value, int | float)
    }
