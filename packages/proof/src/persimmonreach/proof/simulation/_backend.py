"""Simulated backend server with the packet format of the platform."""

from collections.abc import Callable
from random import Random
from typing import Final, NamedTuple

from persimmonreach.core import Endpoint
from persimmonreach.proof.simulation._packets import (
    ACK,
    FIN,
    RST,
    SYN,
    Segment,
    build_bounced,
    decode,
    encode,
)
from persimmonreach.proof.simulation._time import Scheduler

_SEQUENCE_MODULUS: Final = 0x100000000
_SEQUENCE_BITS: Final = 32

# Source and destination of the packets of a caller, which identify its flow.
EndpointPair = tuple[Endpoint, Endpoint]


class ExecutedRequest(NamedTuple):
    """A request that a backend server has executed.

    Attributes
    ----------
    request
        Payload of the request, unique among all requests.
    backend
        Id of the backend server.
    completed_at
        Virtual time of completion in seconds.

    """

    request: bytes
    backend: str
    completed_at: float


class BackendServer:
    """Holds flows, executes requests one at a time and bounces other packets.

    Parameters
    ----------
    scheduler
        Scheduler in virtual time.
    random
        Source of initial sequence numbers.
    service_time_s
        Time that the execution of a request takes, in seconds.
    executed_requests
        List to which executed requests are appended; all servers share it.

    Attributes
    ----------
    name
        Id of the backend server; each start gives it a new one.
    send
        Sends a packet to the agent on the same instance; set by the agent.
    executed_requests
        Executed requests of all servers.
    is_up
        Whether the server is running.
    is_paused
        Whether the server does nothing, while the operating system still accepts
        connections and packets for it.
    is_draining
        Whether each flow is closed after its next response.
    flow_limit
        Maximum number of flows; at the limit, SYNs of further flows are bounced.
    accept_times
        Time at which each flow was accepted, in seconds.

    """

    def __init__(
        self,
        scheduler: Scheduler,
        random: Random,
        service_time_s: float,
        executed_requests: list[ExecutedRequest],
    ) -> None:
        self._scheduler = scheduler
        self._random = random
        self._service_time_s = service_time_s
        # Initial sequence number, and whether the caller has acknowledged it.
        self._flows: dict[EndpointPair, tuple[int, bool]] = {}
        self._received_requests: set[bytes] = set()
        self._responses: dict[bytes, Segment] = {}
        self._idle_at: float = 0
        self._incarnation = 0
        self.executed_requests = executed_requests
        self.send: Callable[[bytes], None] = _discard
        self.name = ''
        self._unread_packets: list[bytes] = []
        self._due_responses: list[tuple[EndpointPair, bytes, int]] = []
        self.is_up = False
        self.is_paused = False
        self.is_draining = False
        self.flow_limit = 2000
        self.accept_times: list[float] = []

    def start(self, name: str) -> None:
        """Start the server without flows."""
        self.name = name
        self._incarnation += 1
        self.is_up = True
        self.is_draining = False
        self._end_process()

    def crash(self) -> None:
        """Stop the server immediately; its flows are lost and not closed."""
        self._incarnation += 1
        self.is_up = False
        self._end_process()

    def pause(self) -> None:
        """Stop processing; packets and due responses are queued."""
        self.is_paused = True

    def resume(self) -> None:
        """Continue processing; due responses are sent before packets are read."""
        self.is_paused = False
        due_responses = tuple(self._due_responses)
        self._due_responses.clear()
        for endpoints, request, incarnation in due_responses:
            self._complete_request(endpoints, request, incarnation)
        unread_packets = tuple(self._unread_packets)
        self._unread_packets.clear()
        for packet in unread_packets:
            self.receive(packet)

    def holds(self, endpoints: EndpointPair) -> bool:
        """Return whether the flow is open at this server."""
        return self.is_up and self._flows.get(endpoints, (0, False))[1]

    def receive(self, packet: bytes) -> None:
        """Process a packet of a caller."""
        if not self.is_up:
            return
        if self.is_paused:
            self._unread_packets.append(packet)
            return
        segment = decode(packet)
        endpoints = (segment.source, segment.destination)
        if segment.flags & SYN:
            self._open_flow(endpoints, packet)
        elif self._belongs_to_flow(segment, endpoints):
            self._flows[endpoints] = (self._flows[endpoints][0], True)
            self._process_segment(endpoints, segment)
        else:
            self.send(build_bounced(packet))

    def _belongs_to_flow(self, segment: Segment, endpoints: EndpointPair) -> bool:
        flow = self._flows.get(endpoints)
        if flow is None:
            return False
        initial_sequence, is_open = flow
        return (
            is_open
            or segment.acknowledgement == (initial_sequence + 1) % _SEQUENCE_MODULUS
        )

    def _open_flow(self, endpoints: EndpointPair, packet: bytes) -> None:
        if endpoints not in self._flows:
            if len(self._flows) >= self.flow_limit:
                self.send(build_bounced(packet))
                return
            initial_sequence = self._random.getrandbits(_SEQUENCE_BITS)
            self._flows[endpoints] = (initial_sequence, False)
            self.accept_times.append(self._scheduler.now)
        initial_sequence = self._flows[endpoints][0]
        self._send_segment(
            endpoints, Segment(endpoints[1], endpoints[0], SYN | ACK, initial_sequence)
        )

    def _process_segment(self, endpoints: EndpointPair, segment: Segment) -> None:
        if segment.flags & (RST | FIN):
            self._close_flow(endpoints, segment)
            return
        request = segment.payload
        if request in self._responses:
            # The caller retransmits a request whose response was lost or delayed.
            self._send_segment(endpoints, self._responses[request])
        elif request and request not in self._received_requests:
            self._received_requests.add(request)
            self._enqueue_request(endpoints, request)

    def _enqueue_request(self, endpoints: EndpointPair, request: bytes) -> None:
        now = self._scheduler.now
        self._idle_at = max(self._idle_at, now) + self._service_time_s
        delay_s = self._idle_at - now
        self._scheduler.call_later(
            delay_s, self._complete_request, endpoints, request, self._incarnation
        )

    def _close_flow(self, endpoints: EndpointPair, segment: Segment) -> None:
        self._flows.pop(endpoints)
        if segment.flags & FIN:
            self._send_segment(endpoints, Segment(endpoints[1], endpoints[0], FIN | ACK))

    def _complete_request(
        self, endpoints: EndpointPair, request: bytes, incarnation: int
    ) -> None:
        if incarnation != self._incarnation:
            return
        if self.is_paused:
            self._due_responses.append((endpoints, request, incarnation))
            return
        self.executed_requests.append(
            ExecutedRequest(request, self.name, self._scheduler.now)
        )
        if endpoints not in self._flows:
            return
        initial_sequence = self._flows[endpoints][0]
        payload = build_response(request)
        response = Segment(
            endpoints[1], endpoints[0], ACK, initial_sequence + 1, 0, payload
        )
        self._responses[request] = response
        self._send_segment(endpoints, response)
        if self.is_draining:
            self._flows.pop(endpoints)
            self._send_segment(
                endpoints,
                Segment(endpoints[1], endpoints[0], FIN | ACK, initial_sequence + 1),
            )

    def _end_process(self) -> None:
        self.is_paused = False
        self._flows.clear()
        self._unread_packets.clear()
        self._due_responses.clear()

    def _send_segment(self, endpoints: EndpointPair, segment: Segment) -> None:
        self.send(encode(segment))


def build_response(request: bytes) -> bytes:
    """Return the response to a request."""
    return b'answer to %s' % request


def _discard(packet: bytes) -> None:
    """Discard a packet; used until an agent has been attached."""
