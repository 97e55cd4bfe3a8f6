"""Guards against a call to leave that arrives after its sender has been replaced.

The sender and its successor have the same id. The agent announced that the backend
server had left, and until its next report the flows open at it were reset.
"""

from random import Random

import pytest

from persimmonreach.core import Action, Endpoint, Incarnation, Send, Tick
from persimmonreach.discovery import (
    AgentState,
    AgentStatus,
    EntriesDiscovered,
    RegisteredEntry,
)
from persimmonreach.forwarding import (
    AgentForwarder,
    AgentIdentity,
    BackendLeft,
    BackendProbed,
    BackendStatusReported,
    ProbeBackend,
    ReportRejected,
)
from persimmonreach.packets.ipv4 import Ipv4Packets

ENTRY = RegisteredEntry('e1', 'z', Endpoint('10.0.0.1', 7000))
STARTED_AT_MS = 1_700_000_000_000
FORMER_STARTED_AT_MS = STARTED_AT_MS - 60_000


def make_agent(state: AgentState) -> AgentForwarder:
    forwarder = AgentForwarder(
        AgentIdentity('a1', 'svc', 'z', Incarnation(1)), Ipv4Packets(), Random(1)
    )
    forwarder.handle(EntriesDiscovered((ENTRY,)), 1)
    forwarder.handle(BackendStatusReported('i-b', STARTED_AT_MS, 1, state, 3, 0), 1)
    return forwarder


def announced_states(actions: tuple[Action, ...]) -> list[AgentState]:
    return [
        action.message.state
        for action in actions
        if isinstance(action, Send) and isinstance(action.message, AgentStatus)
    ]


def is_rejected(actions: tuple[Action, ...]) -> bool:
    return any(isinstance(action, ReportRejected) for action in actions)


@pytest.mark.parametrize('state', [AgentState.READY, AgentState.DRAINING])
def test_call_of_an_earlier_process_is_rejected(state: AgentState) -> None:
    forwarder = make_agent(state)
    actions = forwarder.handle(BackendLeft('i-b', FORMER_STARTED_AT_MS), 2)
    assert is_rejected(actions)
    assert not announced_states(actions)
    assert forwarder.is_backend_running


def test_call_of_the_current_process_is_announced() -> None:
    """Its callers would otherwise wait until the agent stops."""
    forwarder = make_agent(AgentState.DRAINING)
    actions = forwarder.handle(BackendLeft('i-b', STARTED_AT_MS), 2)
    assert announced_states(actions) == [AgentState.LEFT]
    assert not is_rejected(actions)


def test_call_without_start_time_is_announced_if_the_backend_server_drains() -> None:
    forwarder = make_agent(AgentState.DRAINING)
    actions = forwarder.handle(BackendLeft('i-b'), 2)
    assert announced_states(actions) == [AgentState.LEFT]


@pytest.mark.parametrize('is_up', [True, False])
def test_call_without_start_time_is_decided_by_a_probe(is_up: bool) -> None:
    """A backend server drains before it leaves, so the call may be a late one."""
    forwarder = make_agent(AgentState.READY)
    actions = forwarder.handle(BackendLeft('i-b'), 2)
    assert not announced_states(actions)
    actions = forwarder.handle(Tick(), 2.001)
    assert any(isinstance(action, ProbeBackend) for action in actions)
    actions = forwarder.handle(BackendProbed(is_up), 2.002)
    expected_states = [] if is_up else [AgentState.DOWN]
    assert announced_states(actions) == expected_states
