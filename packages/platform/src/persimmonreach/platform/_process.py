"""What the composition roots of both roles share."""

import random
from abc import ABC, abstractmethod
from collections.abc import Mapping
from contextlib import ExitStack
from types import MappingProxyType
from typing import Any, Final

from persimmonreach.core import Endpoint, MonotonicClock
from persimmonreach.discovery import Registration
from persimmonreach.discovery.messages import MESSAGE_TYPES as DISCOVERY_TYPES
from persimmonreach.discovery.tasks import LONGEST_BACKOFF_S as REGISTRATION_BACKOFF_S
from persimmonreach.discovery.tasks import Listed, RegistrationTask
from persimmonreach.forwarding.messages import MESSAGE_TYPES as FORWARDING_TYPES
from persimmonreach.forwarding.messages import RoutedPacket
from persimmonreach.forwarding.tasks import ForwardingTask
from persimmonreach.lookup import PacketReturned, QueriedPacket
from persimmonreach.lookup.messages import MESSAGE_TYPES as LOOKUP_TYPES
from persimmonreach.observability import Counters, Dispatcher, EventLog, TaskFigures
from persimmonreach.observability.tasks import HttpEndpoint, StatusSource, StopSignal
from persimmonreach.placement import FirstPacket
from persimmonreach.placement.messages import MESSAGE_TYPES as PLACEMENT_TYPES
from persimmonreach.platform._settings import ProcessSettings
from persimmonreach.platform._store import PlatformStore
from persimmonreach.runtime import PeerTask, PlainCodec, UdpSocket
from persimmonreach.store import Backoff

MESSAGE_TYPES: Final = MappingProxyType(
    {**FORWARDING_TYPES, **DISCOVERY_TYPES, **PLACEMENT_TYPES, **LOOKUP_TYPES},
)
# Messages that carry packets of callers are bounded and stay in order.
PACKET_TYPES: Final = frozenset(
    (RoutedPacket, FirstPacket, QueriedPacket, PacketReturned),
)


class PlatformProcess(ABC):
    """A process of one role on the platform.

    Parameters
    ----------
    settings
        Checked settings.

    """

    def __init__(self, settings: ProcessSettings) -> None:
        self._process = settings
        self._clock = MonotonicClock()
        self._counters = Counters()
        self._logger = EventLog(settings.instance)
        self._dispatcher = Dispatcher(self._counters, self._logger)
        self._random = random.SystemRandom()

    def run(self) -> None:
        """Run until SIGTERM or SIGINT, then shut down gracefully."""
        stop = StopSignal(self._logger)
        self._logger.info('starting', zone=self._process.zone)
        with ExitStack() as stack:
            self._start(stack)
            stop.wait()
            self._logger.info('stopping')
            self._stop()
        self._logger.info('stopped')
        self._logger.close()

    @abstractmethod
    def _start(self, stack: ExitStack) -> None:
        """Start all tasks; ``stack`` ends them."""

    @abstractmethod
    def _stop(self) -> None:
        """Finish what has to be finished before the tasks end."""

    def _make_peers(self) -> PeerTask:
        return PeerTask(
            UdpSocket(self._process.peer),
            PlainCodec(MESSAGE_TYPES),
            PACKET_TYPES,
        )

    def _make_store(self, stack: ExitStack) -> PlatformStore:
        store = PlatformStore(self._process.store)
        stack.callback(store.close)
        return store

    def _make_registration(
        self,
        store: PlatformStore,
        registration: Registration,
        listed: Listed,
    ) -> RegistrationTask:
        return RegistrationTask(
            store,
            registration,
            listed,
            self._dispatcher.accept,
            Backoff(REGISTRATION_BACKOFF_S, self._random),
        )

    def _start_readiness(
        self,
        stack: ExitStack,
        source: StatusSource,
        task: ForwardingTask,
        peers: PeerTask,
    ) -> None:
        self._counters.register(
            TaskFigures(
                lambda: {**peers.counts, **task.counts},
                lambda: _numbers_of(source.status()),
            ),
        )
        http = HttpEndpoint(self._process.readiness, self._counters, source)
        http.start()
        stack.callback(http.stop)
        self._logger.info('listening', peer=_text(peers.endpoint))


def _numbers_of(status: Mapping[str, Any]) -> dict[str, float]:
    return {
        name: figure for name, figure in status.items() if isinstance(figure, int | float)
    }


def _text(endpoint: Endpoint) -> str:
    return f'{endpoint.host}:{endpoint.port}'
