"""Guards against agents that end, or end flows, for what a backend server reports."""

from itertools import repeat
from typing import Any

from gevent.event import Event
from hypothesis import given, settings
from hypothesis import strategies as st

from persimmonreach.admission import BackendReported, BackendState
from persimmonreach.core import Count, FlowKey
from persimmonreach.packets.adapters import (
    BackendServer,
    BackendStatus,
    BackendUnavailableError,
)
from persimmonreach.routing import BackendServerLost, ConnectionsRead
from persimmonreach.routing._delegated import Attempt, DelegatedAttempts
from persimmonreach.routing.tasks import BackendMonitorTask
from persimmonreach.runtime import Task


class FakeBackend(BackendServer):
    """Answers with fixed states; None stands for no answer."""

    def __init__(self, *states: str | None) -> None:
        self.states = list(states)

    def deliver(self, packet: bytes) -> None:
        """Nothing is delivered here."""

    def receive(self) -> bytes:
        Event().wait()
        return b''

    def read_status(self) -> BackendStatus:
        state = self.states.pop(0)
        if state is None:
            raise BackendUnavailableError
        return BackendStatus(state, 0.5)

    def read_connections(self) -> tuple[FlowKey, ...]:
        return ()

    def close(self) -> None:
        """Nothing is open."""


class Collector(Task):
    """Keeps what is posted."""

    def __init__(self) -> None:
        super().__init__(1)
        self.posted: list[Any] = []

    def post(self, message: Any) -> None:
        self.posted.append(message)

    def receive(self, message: Any) -> None:
        """Nothing is received: posts are kept."""

    def tick(self) -> None:
        """Nothing depends on the time."""


# More than the polls after which a backend server that is silent is lost.
STARTING = tuple(repeat('starting', 8))
# One less than those polls.
SILENT = tuple(repeat(None, 5))


def watch(*states: str | None) -> tuple[list[Any], list[Any]]:
    """Return what the flow task and the sink got after one poll a state."""
    flows, told = Collector(), []
    monitor = BackendMonitorTask(FakeBackend(*states), flows, told.append)
    for _ in states:
        monitor.tick()
    return flows.posted, told


def test_unknown_state_ends_neither_the_process_nor_the_flows() -> None:
    posted, told = watch(*STARTING, 'warm')
    assert posted == [ConnectionsRead(()), BackendReported(BackendState.WARM, 0.5)]
    assert told.count(Count('backend_states_unknown')) == 8


def test_loss_is_reported_once_and_only_after_misses_in_a_row() -> None:
    assert BackendServerLost() not in watch(*SILENT, 'warm', *SILENT)[0]
    posted, _ = watch('cold', *SILENT, *SILENT)
    assert posted.count(BackendServerLost()) == 1


@settings(derandomize=True, max_examples=50)
@given(
    st.lists(
        st.tuples(st.integers(0, 9), st.integers(0, 2), st.integers(1, 3)), max_size=60
    ),
    st.floats(0, 1e6),
)
def test_each_delegated_attempt_is_found_by_its_own_number(
    rows: list[tuple[int, int, int]], now: float
) -> None:
    delegated = DelegatedAttempts()
    attempts = [Attempt(b'%d' % key, b'%d' % request, n) for key, request, n in rows]
    numbers = [delegated.number(attempt, now) for attempt in attempts]
    assert len(set(numbers)) == len(set(attempts))
    for attempt, number in zip(attempts, numbers, strict=True):
        assert delegated.find(attempt.request_id, number) == attempt
        assert delegated.find_number(attempt) == number


def test_delegated_attempts_are_bounded_and_not_repeated_after_a_restart() -> None:
    delegated = DelegatedAttempts()
    attempts = [Attempt(b'k', b'%d' % number, 1) for number in range(5000)]
    numbers = [delegated.number(attempt, 7) for attempt in attempts]
    assert len(delegated._numbers) == len(delegated._attempts) == 4096
    assert delegated.find(b'0', numbers[0]) is None
    restarted = DelegatedAttempts()
    assert restarted.number(attempts[0], 20) not in numbers
