"""What callers, backend servers and nodes have seen, for the promises."""

from collections import defaultdict
from typing import Final, NamedTuple, Protocol

from persimmonreach.core import Endpoint, FlowKey, Zone
from persimmonreach.proof._network import Scheduler
from persimmonreach.proof._settings import WITHDRAWN_S

# Source port of a flow key over IPv4.
_PORT_BYTES: Final = slice(5, 7)
_ID_BYTES: Final = 4


def flow_label(key: FlowKey) -> str:
    """Return a short name of a flow for traces."""
    return key[_PORT_BYTES].hex()


def request_label(request_id: bytes) -> str:
    """Return a short name of a request for traces."""
    return request_id[:_ID_BYTES].hex()


class RunRow(NamedTuple):
    """One run of a request at a backend server."""

    server: str
    attempt: int
    at: float
    idempotent: bool


class ServerIdentity(Protocol):
    """What the journal needs to know of a backend server."""

    @property
    def name(self) -> str:
        """Name of the agent beside it."""

    @property
    def address(self) -> Endpoint:
        """Address of its service."""


class Journal:
    """Facts of one case, and promises found broken while it runs.

    Parameters
    ----------
    scheduler
        Virtual time.

    """

    def __init__(self, scheduler: Scheduler) -> None:
        self._scheduler = scheduler
        self.broken: dict[str, str] = {}
        self.runs: dict[bytes, list[RunRow]] = defaultdict(list)
        self.holders: dict[FlowKey, list[str]] = defaultdict(list)
        self.answered: set[bytes] = set()
        self.zones_out: dict[Zone, float] = {}
        # Nodes that cannot hear of a change are not expected to know it.
        self.deaf_until = float('-inf')
        # The same for nodes that can reach none of the others.
        self.apart_until = float('-inf')
        self.trace: list[str] = []

    def note(self, text: str) -> None:
        """Add one line to the trace."""
        now = round(self._scheduler.now, 3)
        self.trace.append(f'{now} {text}')

    def breaks(self, promise: str, detail: str) -> None:
        """Record that ``promise`` is broken; the first detail is kept."""
        self.note(f'BROKEN {promise}: {detail}')
        now = self._scheduler.now
        self.broken.setdefault(promise, f'{now:.1f} s: {detail}')

    def started(self, request_id: bytes, row: RunRow) -> None:
        """Record a run."""
        self.runs[request_id].append(row)
        label = request_label(request_id)
        self.note(f'run {label} at {row.server} attempt {row.attempt}')

    def delivered(self, server: ServerIdentity, address: Endpoint) -> None:
        """Check the service of a packet that reached a backend server."""
        if address != server.address:
            name = server.name
            self.breaks('own_service', f'packet for {address} at {name}')

    def packet_in(self, zone: Zone, agent: str) -> None:
        """Check that a packet did not reach a zone that is out of service."""
        if zone not in self.zones_out:
            return
        since = max(self.zones_out[zone], self.apart_until)
        if self._scheduler.now > since + WITHDRAWN_S:
            self.breaks('zone_out_gets_no_packet', agent)

    def opened(
        self,
        key: FlowKey,
        server: str,
        draining_since: float | None,
    ) -> None:
        """Record a new flow at a backend server."""
        self.holders[key].append(server)
        label = flow_label(key)
        self.note(f'flow {label} opened at {server}')
        if draining_since is None:
            return
        if self._scheduler.now > draining_since + WITHDRAWN_S:
            self.breaks('drained_gets_no_new_flow', f'{label} at {server}')

    def overloaded(self, server: str) -> None:
        """Record a request above the capacity of a cold backend server."""
        self.breaks('cold_not_overloaded', server)
