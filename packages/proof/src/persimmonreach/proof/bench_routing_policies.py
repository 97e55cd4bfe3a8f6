"""Ways to keep flows on their backend servers, and what each one breaks."""

from abc import ABC, abstractmethod
from collections.abc import Sequence
from typing import Final, final

from persimmonreach.admission import PlacementPolicy, TwoChoices
from persimmonreach.core import AgentId, FlowKey, rendezvous_score
from persimmonreach.packets import ACK, SYN
from persimmonreach.proof.bench_inputs import make_packet
from persimmonreach.proof.bench_world import World

_PACKETS_PER_STEP: Final = 200
_STEP_S: Final = 0.1
_START_S: Final = 20
# A planned change is followed by heartbeats, claims and grants.
_SETTLE_S: Final = 10
_ARRIVE_S: Final = 1


class RoutingPolicy(ABC):
    """Decides which backend server gets a flow's packets."""

    @property
    @abstractmethod
    def name(self) -> str:
        """Name in the table."""

    @abstractmethod
    def start(self, servers: int) -> None:
        """Start with the backend servers numbered below ``servers``."""

    @abstractmethod
    def open(self, keys: Sequence[FlowKey]) -> None:
        """Open flows."""

    @abstractmethod
    def add(self, number: int) -> None:
        """Add a backend server."""

    @abstractmethod
    def drain(self) -> None:
        """Drain the backend server that has been active for longest."""

    @abstractmethod
    def reached(self, keys: Sequence[FlowKey]) -> set[FlowKey]:
        """Send one packet of each flow; return the flows that still work."""


@final
class BucketTokens(RoutingPolicy):
    """The product: bucket tokens and the directory of their owners.

    Parameters
    ----------
    policy
        Choice of the backend server of a new flow.

    """

    def __init__(self, policy: PlacementPolicy | None = None) -> None:
        self._world = World(policy or TwoChoices())

    @property
    def name(self) -> str:
        """Name in the table."""
        return 'bucket tokens and directory'

    @property
    def world(self) -> World:
        """Agents in virtual time."""
        return self._world

    def start(self, servers: int) -> None:
        """Start the agents and wait until they own all buckets."""
        for number in range(servers):
            self._world.add(number)
        self._world.run(_START_S)

    def open(self, keys: Sequence[FlowKey]) -> None:
        """Send the first packets."""
        self._send(keys, SYN)

    def add(self, number: int) -> None:
        """Start an agent."""
        self._world.add(number)
        self._world.run(_SETTLE_S)

    def drain(self) -> None:
        """Drain the oldest agent; its flows stay."""
        self._world.drain(self._world.active[0])
        self._world.run(_SETTLE_S)

    def reached(self, keys: Sequence[FlowKey]) -> set[FlowKey]:
        """Send one packet of each flow; return the delivered ones."""
        self._world.delivered.clear()
        self._send(keys, ACK)
        return set(self._world.delivered)

    def _send(self, keys: Sequence[FlowKey], flags: int) -> None:
        for first in range(0, len(keys), _PACKETS_PER_STEP):
            for key in keys[first : first + _PACKETS_PER_STEP]:
                self._world.send_packet(make_packet(key, flags))
            self._world.run(_STEP_S)
        self._world.run(_ARRIVE_S)


class ConsistentHashing(RoutingPolicy):
    """Baseline: rendezvous hashing over the active backend servers.

    Parameters
    ----------
    depth
        Sets of active servers that are tried: 1 is the present one alone, 2
        adds the previous one.

    """

    def __init__(self, depth: int = 1) -> None:
        self._depth = depth
        self._history: list[tuple[AgentId, ...]] = []
        self._holders: dict[FlowKey, AgentId] = {}

    @property
    def name(self) -> str:
        """Name in the table."""
        return 'plain consistent hashing'

    @property
    def holders(self) -> dict[FlowKey, AgentId]:
        """Backend server of each flow."""
        return self._holders

    def start(self, servers: int) -> None:
        """Start with numbered servers."""
        first = tuple(_server(number) for number in range(servers))
        self._history = [first]

    def open(self, keys: Sequence[FlowKey]) -> None:
        """Open flows on the servers that the hash names."""
        self._holders = {key: _highest(key, self._history[-1]) for key in keys}

    def add(self, number: int) -> None:
        """Add a server."""
        self._history.append((*self._history[-1], _server(number)))

    def drain(self) -> None:
        """Remove the oldest server from the hash; it keeps its flows."""
        self._history.append(self._history[-1][1:])

    def reached(self, keys: Sequence[FlowKey]) -> set[FlowKey]:
        """Return the flows whose server is named by one of the tried sets."""
        tried = self._history[-self._depth :]
        return {
            key
            for key in keys
            if self._holders[key] in {_highest(key, servers) for servers in tried}
        }


@final
class PreviousOwner(ConsistentHashing):
    """Baseline: hashing that also tries the previous owner of a flow."""

    def __init__(self) -> None:
        super().__init__(depth=2)

    @property
    def name(self) -> str:
        """Name in the table."""
        return 'hashing with one previous owner'


def _server(number: int) -> AgentId:
    return AgentId(f'server-{number}')


def _highest(key: FlowKey, servers: Sequence[AgentId]) -> AgentId:
    subject = key.hex()
    return max(servers, key=lambda server: rendezvous_score(subject, server))
