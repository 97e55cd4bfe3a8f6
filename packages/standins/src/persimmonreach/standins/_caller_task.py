"""Tasks of the callers: one for each flow, and one with socket and journal."""

import random
from itertools import count
from typing import Any, Final, NamedTuple

import gevent

from persimmonreach.core import Clock, Endpoint, FlowKey, StateMachine, Tick
from persimmonreach.packets import Ipv4TcpCodec, PacketError
from persimmonreach.packets.builder import FlowEndpoints, pack_flow_key
from persimmonreach.runtime import Task, UdpSocket
from persimmonreach.standins._caller_events import (
    CloseFlow,
    FlowEnded,
    FlowOpened,
    FlowPlan,
    PacketReceived,
    PushReceived,
    RequestEnded,
    RequestSent,
    SendPacket,
)
from persimmonreach.standins._caller_flow import CallerFlow
from persimmonreach.standins._caller_journal import (
    CallerJournal,
    EndedFlowRow,
    RequestOutcome,
    RequestRow,
    new_journal,
)

_FIRST_CALLER_PORT: Final = 10_000
_FLOW_TICK_PERIOD_S: Final = 0.125
_CALLERS_TICK_PERIOD_S: Final = 0.05
# Delay before a caller opens a new long flow in place of one that ended.
_REOPEN_DELAY_S: Final = 0.5


class CallerGroup(NamedTuple):
    """Callers of one service.

    Attributes
    ----------
    service
        Endpoint of the service.
    hosts
        Addresses of the callers, used in rotation for new flows.
    flows
        Number of long flows that are kept open.
    period_s
        Mean time between requests on a long flow, in seconds.
    singles_per_s
        Flows with a single request that are opened per second.
    deadline_s
        Time limit of a request, and of opening a flow, in seconds.
    idempotent_share
        Share of requests that are idempotent.
    answer_bytes
        Size of a response, in bytes.

    """

    service: Endpoint
    hosts: tuple[str, ...]
    flows: int = 0
    period_s: float = 2
    singles_per_s: float = 0
    deadline_s: float = 3
    idempotent_share: float = 0.5
    answer_bytes: int = 64


class CallersSettings(NamedTuple):
    """Settings of the callers; port 0 lets the system choose one.

    Attributes
    ----------
    fabric
        Endpoint that packets are sent to.
    opens_per_s
        Long flows that are opened per second at the start.

    """

    fabric: Endpoint
    groups: tuple[CallerGroup, ...]
    host: str = '127.0.0.1'
    http_port: int = 0
    seed: int = 1
    opens_per_s: float = 300


class StopCallers(NamedTuple):
    """Message: close each flow after its open request, and open no others."""


class _FlowAction(NamedTuple):
    key: FlowKey
    action: Any


class _OpenFlow(NamedTuple):
    group: CallerGroup
    is_single_request: bool


class CallerFlowTask(Task):
    """Runs the state machine of one flow.

    Parameters
    ----------
    key
        Flow key.
    state_machine
        State machine of the flow.
    clock
        Clock of the state machine.
    owner
        Task that the actions are posted to.

    """

    def __init__(
        self, key: FlowKey, state_machine: StateMachine, clock: Clock, owner: Task
    ) -> None:
        super().__init__(_FLOW_TICK_PERIOD_S)
        self._key = key
        self._state_machine = state_machine
        self._clock = clock
        self._owner = owner

    def receive(self, message: Any) -> None:
        """Pass a message to the state machine."""
        for action in self._state_machine.handle(message, self._clock.now()):
            self._owner.post(_FlowAction(self._key, action))

    def tick(self) -> None:
        """Pass a tick to the state machine."""
        self.receive(Tick())


class CallersTask(Task):
    """Owns the socket, the flows and the journal of all callers.

    Parameters
    ----------
    settings
        Settings of the callers.
    clock
        Clock of all times in the journal.

    """

    def __init__(self, settings: CallersSettings, clock: Clock) -> None:
        super().__init__(_CALLERS_TICK_PERIOD_S)
        self._settings = settings
        self._clock = clock
        self.journal: CallerJournal = new_journal()
        self._flows: dict[FlowKey, tuple[CallerFlowTask, _OpenFlow]] = {}
        self._flow_numbers = count()
        self._rng = random.Random(settings.seed)
        self._headers = Ipv4TcpCodec()
        self._socket: Any = None
        self._is_stopping = False
        self._handlers = {
            _FlowAction: self._run_action,
            PacketReceived: self._dispatch_packet,
            _OpenFlow: self._open_flow,
            StopCallers: self._close_flows,
        }
        self._action_handlers = {
            SendPacket: self._send_packet,
            FlowOpened: self._record_opened_flow,
            FlowEnded: self._end_flow,
            RequestSent: self._record_sent_request,
            RequestEnded: self._record_ended_request,
            PushReceived: self._count_push,
        }

    def start(self) -> None:
        """Bind the socket and start to open flows."""
        self._socket = UdpSocket(Endpoint(self._settings.host, 0))
        self._resources.callback(self._socket.close)
        self._spawn(self._receive_packets)
        delay_s: float = 0
        for group in self._settings.groups:
            for _ in range(group.flows):
                delay_s += 1 / self._settings.opens_per_s
                self._post_later(delay_s, _OpenFlow(group, is_single_request=False))
            if group.singles_per_s:
                self._post_later(0, _OpenFlow(group, is_single_request=True))
        super().start()

    def stop(self) -> None:
        """Stop this task and the tasks of all flows."""
        super().stop()
        for task, _ in self._flows.values():
            task.stop()

    def receive(self, message: Any) -> None:
        """Handle one message from the mailbox."""
        self._handlers[type(message)](message)

    def tick(self) -> None:
        """Do nothing; the task of each flow has ticks of its own."""

    def _receive_packets(self) -> None:
        while self._socket is not None:
            self.post(PacketReceived(self._socket.receive()[0]))

    def _post_later(self, delay_s: float, message: Any) -> None:
        gevent.spawn_later(delay_s, self.post, message)

    def _run_action(self, message: _FlowAction) -> None:
        self._action_handlers[type(message.action)](message)

    def _close_flows(self, _: StopCallers) -> None:
        self._is_stopping = True
        for task, _message in self._flows.values():
            task.post(CloseFlow())

    def _dispatch_packet(self, message: PacketReceived) -> None:
        try:
            key = self._headers.read_outbound(message.packet).key
        except PacketError:
            return
        flow = self._flows.get(key)
        if flow is not None:
            flow[0].post(message)

    def _open_flow(self, message: _OpenFlow) -> None:
        if self._is_stopping:
            return
        group = message.group
        if message.is_single_request:
            # Random intervals, from 0 to twice the mean, keep openings from aligning.
            self._post_later(2 * self._rng.random() / group.singles_per_s, message)
        plan = FlowPlan(
            self._new_key(group),
            message.is_single_request,
            group.period_s,
            group.deadline_s,
            group.idempotent_share,
            group.answer_bytes,
        )
        state_machine = CallerFlow(plan, random.Random(self._rng.random()))
        task = CallerFlowTask(plan.key, state_machine, self._clock, self)
        self._flows[plan.key] = (task, message)
        task.start()
        task.post(Tick())

    def _new_key(self, group: CallerGroup) -> FlowKey:
        number = next(self._flow_numbers)
        host = group.hosts[number % len(group.hosts)]
        port = _FIRST_CALLER_PORT + number // len(group.hosts)
        return pack_flow_key(FlowEndpoints(Endpoint(host, port), group.service))

    def _send_packet(self, message: _FlowAction) -> None:
        self._socket.send(message.action.packet, self._settings.fabric)

    def _record_opened_flow(self, _: _FlowAction) -> None:
        self.journal['flows_opened'] += 1
        self.journal['open_flows'] += 1

    def _end_flow(self, message: _FlowAction) -> None:
        task, opening = self._flows.pop(message.key)
        task.stop()
        if message.action.reason not in {'refused', 'unopened'}:
            self.journal['open_flows'] -= 1
        if message.action.reason != 'closed':
            self._record_ended_flow(message)
        if not opening.is_single_request:
            self._post_later(_REOPEN_DELAY_S, opening)

    def _record_ended_flow(self, message: _FlowAction) -> None:
        reason = message.action.reason
        row = EndedFlowRow(
            flow=message.key.hex(),
            at=self._clock.now(),
            reason=reason,
        )
        if reason == 'refused':
            self.journal['refused'].append(row)
        elif reason == 'unopened':
            self.journal['unopened'].append(row)
        else:
            self.journal['resets'].append(row)

    def _record_sent_request(self, message: _FlowAction) -> None:
        request = message.action
        now = self._clock.now()
        self.journal['requests'][request.request_id.hex()] = RequestRow(
            order=request.operation_id.hex(),
            flow=message.key.hex(),
            idempotent=request.idempotent,
            sent_at=now,
            ended_at=0,
            outcome=RequestOutcome.OPEN,
        )

    def _record_ended_request(self, message: _FlowAction) -> None:
        row = self.journal['requests'][message.action.request_id.hex()]
        row['ended_at'] = self._clock.now()
        row['outcome'] = message.action.outcome

    def _count_push(self, _: _FlowAction) -> None:
        self.journal['pushes'] += 1
