"""Guards against one flow at two agents when messages are lost, late or repeated."""

import heapq
from random import Random
from typing import Any, Final

import pytest

from persimmonreach.admission import (
    AdmitLocal,
    LocalFlowCount,
    Placement,
    PlacementSettings,
    PlacementSettled,
    PlaceNew,
    TwoChoices,
)
from persimmonreach.admission.messages import MESSAGE_TYPES
from persimmonreach.core import Endpoint, Received, Send, Tick
from persimmonreach.membership import Member, MemberState, View, ViewChanged
from persimmonreach.runtime import SharedKey, WireCodec

SERVICE: Final = 7
AGENTS: Final = 5
TICK_S: Final = 0.1


def member(number: int, state: MemberState = MemberState.ACTIVE) -> Member:
    endpoint = Endpoint('127.0.0.1', number)
    return Member(f'a{number}', 1, SERVICE, f'z{number % 2}', endpoint, state)


class Network:
    """Agents that place flows over a network that loses and repeats messages."""

    def __init__(self, seed: int) -> None:
        self.rng = Random(seed)
        self.codec = WireCodec(MESSAGE_TYPES, [SharedKey(1, bytes(16))])
        self.now: float = 0
        self.serial = 0
        self.events: list[tuple[float, int, int, Any]] = []
        self.homes: dict[bytes, set[str]] = {}
        self.settled: dict[bytes, list[str | None]] = {}
        self.machines = [
            Placement(
                f'a{number}',
                f'z{number % 2}',
                SERVICE,
                PlacementSettings(),
                TwoChoices(),
                Random(seed + number),
            )
            for number in range(AGENTS)
        ]
        self.rows = [member(number) for number in range(AGENTS)]
        self.show()

    def show(self) -> None:
        for number in range(AGENTS):
            self.post(number, ViewChanged(View(SERVICE, tuple(self.rows))))

    def post(self, number: int, event: Any) -> None:
        for action in self.machines[number].handle(event, self.now):
            match action:
                case AdmitLocal():
                    self.homes.setdefault(action.key, set()).add(f'a{number}')
                case PlacementSettled():
                    self.settled.setdefault(action.key, []).append(action.holder)
                case Send():
                    self.transmit(number, action)

    def transmit(self, number: int, action: Send) -> None:
        message = self.codec.decode(self.codec.encode(action.message))
        event = Received(Endpoint('127.0.0.1', number), message)
        for _ in range(self.rng.choice((0, 0, 1, 1, 2))):
            self.serial += 1
            due = self.now + self.rng.choice((0.004, 0.05, 1, 9))
            heapq.heappush(self.events, (due, self.serial, action.to.port, event))

    def disturb(self) -> None:
        number = self.rng.randrange(AGENTS)
        flow_limit = self.rng.choice((1, 2000))
        count = LocalFlowCount(1, flow_limit, draining=not self.rng.randrange(5))
        self.post(number, count)
        state = self.rng.choice((MemberState.ACTIVE, MemberState.DRAINING))
        self.rows[number] = member(number, state)
        self.show()

    def step(self) -> None:
        self.now += TICK_S
        while self.events and self.events[0][0] <= self.now:
            event = heapq.heappop(self.events)
            self.post(*event[2:])
        for number in range(AGENTS):
            self.post(number, Tick())

    def play(self, seconds: int) -> None:
        while self.now < seconds:
            owner = self.rng.randrange(AGENTS)
            self.post(owner, PlaceNew(b'%f' % self.now, b'syn'))
            if not self.rng.randrange(4):
                self.disturb()
            self.step()
        for _ in range(600):
            self.step()


@pytest.mark.parametrize('seed', range(8))
def test_a_flow_has_one_home_and_it_is_the_one_that_was_settled(seed: int) -> None:
    network = Network(seed)
    network.play(30)
    assert len(network.settled) > 250
    for key, holders in network.settled.items():
        homes = network.homes.get(key, set())
        assert len(holders) == 1
        assert homes == {holders[0]} - {None}
    assert None in [holders[0] for holders in network.settled.values()]
