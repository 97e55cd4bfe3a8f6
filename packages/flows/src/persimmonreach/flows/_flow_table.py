"""Flow table of an agent: the flows of its backend server."""

from collections.abc import ItemsView
from typing import Final

from persimmonreach.core import Endpoint, FlowKey
from persimmonreach.flows._flow_record import FlowRecord
from persimmonreach.flows._observer import RequestObserver
from persimmonreach.flows._outstanding_requests import OutstandingRequests
from persimmonreach.packets import RST, PacketHeader

# A closed flow is kept until its last packets have arrived.
CLOSED_RETENTION_S: Final = 5


class FlowTable:
    """Flows of the local backend server, tracked from their packets.

    Parameters
    ----------
    retention_s
        Seconds without a packet after which a flow that is not closed expires.
    observer
        Observer of the requests; None if there is none.

    """

    def __init__(
        self, retention_s: float, observer: RequestObserver | None = None
    ) -> None:
        self._retention_s = retention_s
        self._observer = observer
        self._flows: dict[FlowKey, FlowRecord] = {}
        self._busy_count = 0
        self._closed_count = 0
        self._outstanding_requests = OutstandingRequests()

    def __len__(self) -> int:
        """Return the number of flows that are not closed."""
        return len(self._flows) - self._closed_count

    @property
    def busy_count(self) -> int:
        """Number of flows with a request that waits for its response."""
        return self._busy_count

    @property
    def opening_s(self) -> float:
        """Average time from the admission of a flow to its request; 0 if not known."""
        return self._outstanding_requests.opening_s

    @property
    def next_expiry_at(self) -> float:
        """Time at which a silent flow no longer occupies the server; may be infinite."""
        return self._outstanding_requests.next_expiry_at

    @property
    def keys(self) -> tuple[FlowKey, ...]:
        """Keys of all flows, including closed ones that have not expired."""
        return tuple(self._flows)

    def count_occupying(self, now: float) -> int:
        """Return the number of flows that are being opened or wait for a response."""
        return self._outstanding_requests.count(now)

    def items(self) -> ItemsView[FlowKey, FlowRecord]:
        """Return all flows with their keys, including closed ones."""
        return self._flows.items()

    def find(self, key: FlowKey) -> FlowRecord | None:
        """Return the flow if it is in the table."""
        return self._flows.get(key)

    def add(
        self,
        key: FlowKey,
        entry_endpoint: Endpoint | None,
        now: float,
        syn_sequence: int | None = None,
    ) -> FlowRecord:
        """Add a flow, in place of one with the same key, and return it.

        Parameters
        ----------
        key
            Key of the flow.
        entry_endpoint
            Address of the entry instance that sent the packet; None if the backend
            server sent the packet or reported the flow.
        now
            Time of the packet or report, in seconds.
        syn_sequence
            Sequence number of the packet if it is the SYN of the caller; otherwise None.

        """
        self.remove(key)
        flow = FlowRecord(entry_endpoint, now, syn_sequence)
        self._flows[key] = flow
        if syn_sequence is not None:
            self._outstanding_requests.add_admitted(key, now)
            if self._observer is not None:
                self._observer.on_opening(key, now)
        return flow

    def adopt(self, key: FlowKey, now: float) -> None:
        """Add an open flow that the backend server reported, unless it is present."""
        if key not in self._flows:
            flow = self.add(key, None, now)
            flow.is_open = True
            flow.confirmed_at = now

    def remove(self, key: FlowKey) -> FlowRecord | None:
        """Remove a flow and return it; None if it is not in the table.

        A request that waits is abandoned.
        """
        flow = self._flows.pop(key, None)
        if flow is not None:
            self._abandon_request(key, flow)
            self._outstanding_requests.discard(key)
            self._closed_count -= flow.is_closed
        return flow

    def observe_caller_packet(
        self, flow: FlowRecord, header: PacketHeader, now: float
    ) -> None:
        """Update a flow from a packet of the caller."""
        was_closed = flow.is_closed
        flow.is_open = True
        # A retransmitted request may arrive after its response was sent.
        is_request = header.payload_size and flow.caller.advances_sequence(header)
        flow.caller.observe(header, now)
        self._closed_count += flow.is_closed - was_closed
        if header.flags & RST:
            self._abandon_request(header.key, flow)
        elif is_request and not flow.is_busy:
            self._start_request(header.key, flow, now)

    def observe_backend_packet(
        self, key: FlowKey, header: PacketHeader, now: float
    ) -> None:
        """Update a flow from a packet of the backend server."""
        flow = self._flows[key]
        was_closed = flow.is_closed
        if flow.initial_sequence is None:
            # Without a SYN-ACK, the flow was open before the agent started.
            flow.is_open = True
        flow.confirmed_at = min(flow.confirmed_at, now)
        flow.backend.observe(header, now)
        self._closed_count += flow.is_closed - was_closed
        if header.flags & RST:
            self._fail_request(key, flow, now)
            self.remove(key)
        elif header.payload_size:
            self._finish_request(key, flow, now)
        elif flow.is_closed:
            self._fail_request(key, flow, now)

    def remove_expired(self, now: float) -> int:
        """Remove expired flows and return their number."""
        expired_keys = [
            key for key, flow in self._flows.items() if self._is_expired(flow, now)
        ]
        for key in expired_keys:
            self._fail_request(key, self._flows[key], now)
            self.remove(key)
        return len(expired_keys)

    def _start_request(self, key: FlowKey, flow: FlowRecord, now: float) -> None:
        flow.is_busy = True
        self._busy_count += 1
        self._outstanding_requests.add_request(key, now)
        if self._observer is not None:
            # The flow itself is one of those that occupy the backend server.
            occupying = self._outstanding_requests.count(now) - 1
            is_repeated = flow.has_carried_request
            self._observer.on_request(key, occupying, now, is_repeated=is_repeated)
        flow.has_carried_request = True

    def _finish_request(self, key: FlowKey, flow: FlowRecord, now: float) -> None:
        if self._clear_busy(key, flow) and self._observer is not None:
            self._observer.on_response(key, now)

    def _fail_request(self, key: FlowKey, flow: FlowRecord, now: float) -> None:
        if self._clear_busy(key, flow) and self._observer is not None:
            self._observer.on_failure(key, now)

    def _abandon_request(self, key: FlowKey, flow: FlowRecord) -> None:
        if self._clear_busy(key, flow) and self._observer is not None:
            self._observer.on_abandoned(key)

    def _clear_busy(self, key: FlowKey, flow: FlowRecord) -> bool:
        """End the request that waits for a response; return whether there was one."""
        if not flow.is_busy:
            return False
        flow.is_busy = False
        self._busy_count -= 1
        self._outstanding_requests.discard(key)
        return True

    def _is_expired(self, flow: FlowRecord, now: float) -> bool:
        limit_s = CLOSED_RETENTION_S if flow.is_closed else self._retention_s
        return now - flow.last_packet_at > limit_s
