"""Base of the nodes: life, pauses, and the configuration seen to be in force."""

from abc import ABC, abstractmethod
from typing import Any

from persimmonreach.configuration import Configuration
from persimmonreach.core import Endpoint, Received, StateMachine, Zone
from persimmonreach.proof._journal import Journal
from persimmonreach.proof._network import Network, Scheduler
from persimmonreach.runtime import LARGEST_WINDOW_S


class Surroundings:
    """What all nodes of a case share.

    Parameters
    ----------
    scheduler
        Virtual time.
    network
        Messages between own processes.
    journal
        Receives facts.

    """

    def __init__(self, scheduler: Scheduler, network: Network, journal: Journal) -> None:
        self.scheduler = scheduler
        self.network = network
        self.journal = journal


class Node(ABC):
    """A process that may die, pause and be started again.

    Parameters
    ----------
    name
        Instance name.
    zone
        Availability zone.
    endpoint
        Address toward other processes.
    shared
        What all nodes share.

    """

    def __init__(
        self,
        name: str,
        zone: Zone,
        endpoint: Endpoint,
        shared: Surroundings,
    ) -> None:
        self.name = name
        self.zone = zone
        self.endpoint = endpoint
        self.alive = False
        self.paused = False
        self.present_since: float = 0
        self._shared = shared
        self._inbox: list[tuple[float, Any]] = []
        self._newest = 0
        shared.network.connect(endpoint, zone, self.post)

    @property
    def now(self) -> float:
        """Virtual time in seconds."""
        return self._shared.scheduler.now

    @property
    def is_well(self) -> bool:
        """Whether the process runs."""
        return self.alive and not self.paused

    @property
    @abstractmethod
    def configuration(self) -> Configuration:
        """Configuration in force."""

    def start(self) -> None:
        """Start a process without state."""
        self.alive = True
        self.paused = False
        self.present_since = self.now
        self._newest = 0
        self._inbox.clear()
        self._shared.journal.note(f'{self.name} starts')
        self._start()

    def die(self) -> None:
        """End the process at once."""
        self._shared.journal.note(f'{self.name} dies')
        self.alive = False

    def pause(self) -> None:
        """Stop the process; what arrives waits in its sockets."""
        self._shared.journal.note(f'{self.name} is paused')
        self.paused = True

    def wake(self) -> None:
        """Let the process go on and read what has arrived."""
        self._shared.journal.note(f'{self.name} wakes')
        self.paused = False
        self.present_since = self.now
        waiting = tuple(self._inbox)
        self._inbox.clear()
        for arrived_at, event in waiting:
            # As the wire codec does; see runtime.LARGEST_WINDOW_S.
            is_late = self.now > arrived_at + LARGEST_WINDOW_S
            if not (is_late and isinstance(event, Received)):
                self.post(event)

    def post(self, event: Any) -> None:
        """Hand an event to the process."""
        if not self.alive:
            return
        if self.paused:
            self._inbox.append((self.now, event))
        else:
            self._accept(event)

    def tick(self) -> None:
        """Let the process act on elapsed time."""
        if self.is_well:
            self._tick()

    @abstractmethod
    def _start(self) -> None:
        """Build the decisions."""

    @abstractmethod
    def _accept(self, event: Any) -> None:
        """Hand an event to the right decision."""

    @abstractmethod
    def _tick(self) -> None:
        """Act on elapsed time."""

    @abstractmethod
    def _perform(self, action: Any) -> None:
        """Carry out one action."""

    def _run(self, machine: StateMachine, event: Any) -> None:
        for action in machine.handle(event, self.now):
            self._perform(action)

    def _send(self, to: Endpoint, message: Any) -> None:
        self._shared.network.send(self.endpoint, to, message)

    def _note_version(self, configuration: Configuration) -> None:
        version = configuration.version
        out = ','.join(sorted(configuration.zones_out))
        self._shared.journal.note(f'{self.name} version {version} out [{out}]')
        if version < self._newest:
            detail = f'{self.name} from {self._newest} to {version}'
            self._shared.journal.breaks('version_never_reverts', detail)
        self._newest = max(self._newest, version)


def content_of(event: Any) -> Any:
    """Return the message that was received, or the event itself."""
    return event.message if isinstance(event, Received) else event
