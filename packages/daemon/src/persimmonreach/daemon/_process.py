"""What the composition roots of both roles share."""

from abc import ABC, abstractmethod
from collections.abc import Iterable

from persimmonreach.core import Endpoint, MonotonicClock
from persimmonreach.daemon._settings import AgentSettings, EntrySettings, shared_keys
from persimmonreach.daemon._wire import PACKET_TYPES, make_codec
from persimmonreach.observability import Counters, Dispatcher, EventLog
from persimmonreach.runtime import PeerTask, UdpSocket


class DaemonProcess(ABC):
    """A process of one role with its clock, figures, log and dispatcher.

    Parameters
    ----------
    settings
        Checked settings.
    promised
        Counters that are published from the start.

    """

    def __init__(
        self,
        settings: EntrySettings | AgentSettings,
        promised: Iterable[str],
    ) -> None:
        self._clock = MonotonicClock()
        self._counters = Counters(promised)
        self._logger = EventLog(settings.instance)
        self._dispatcher = Dispatcher(self._counters, self._logger)
        self._host = settings.host

    @abstractmethod
    def run(self) -> None:
        """Run until SIGTERM or SIGINT, then shut down gracefully.

        Raises
        ------
        OSError
            If an address of the settings cannot be bound.

        """

    def _make_peers(self, settings: EntrySettings | AgentSettings) -> PeerTask:
        return PeerTask(
            UdpSocket(self._bind(settings.peer_port)),
            make_codec(shared_keys(settings), settings.message_window_s),
            PACKET_TYPES,
        )

    def _bind(self, port: int) -> Endpoint:
        return Endpoint(self._host, port)
