"""Guards against versions that go down, get stuck or revert while they spread."""

from random import Random
from typing import Any

import msgspec
import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from persimmonreach.configuration import (
    AbsorbOverrides,
    AgentConfiguration,
    AgentSettings,
    Configuration,
    ConfigurationChanged,
    Declarations,
    EntriesChanged,
    EntryConfiguration,
    EntryInstance,
    EntrySettings,
    OverrideSet,
    Publisher,
    PublisherSettings,
    ServiceConfig,
    StoreConfirmed,
    StoreError,
    StoreFailed,
    StoreRead,
    Timing,
    VersionOffered,
    read_base,
)
from persimmonreach.configuration._head import Snapshot
from persimmonreach.configuration.messages import ConfigPush, EntriesPush, ServicePush
from persimmonreach.core import (
    Endpoint,
    EntryId,
    ManualClock,
    Received,
    Send,
    ServiceId,
    Tick,
    Zone,
)
from persimmonreach.standins.store_fake import FakeStore
from persimmonreach.standins.store_state import Faults, StoreState

ZONES = ('a', 'b', 'c')
TICK_S = 0.1
# Largest datagram on links between zones, less key id, tag and type.
LARGEST_BODY_BYTES = 1400 - 18


def _declare(slots: int, count: int = 3) -> Declarations:
    services = tuple(
        ServiceConfig(ServiceId(0), f's{port}', Endpoint('10.9.0.1', 1 + port), slots)
        for port in range(count)
    )
    return Declarations(services, frozenset(Zone(zone) for zone in ZONES))


class _Net:
    """Entry instances and agents on a network that loses and reorders messages."""

    def __init__(
        self, entries: int, agents: int = 0, loss: float = 0, order=True
    ) -> None:
        self.random = Random(7)
        self.clock = ManualClock(100)
        self.loss = loss
        state = StoreState()
        self.store = FakeStore(self.clock, state)
        self.operator_store = FakeStore(self.clock, state)
        self.instances = tuple(
            EntryInstance(
                EntryId(f'e{number:03}'),
                Zone(ZONES[number % len(ZONES)]),
                Endpoint('127.0.0.1', number),
            )
            for number in range(entries)
        )
        self.alive = set(self.instances)
        self.listed = self.instances
        self.entries_version = 1
        self.nodes: dict[Endpoint, Any] = {
            row.endpoint: EntryConfiguration(
                EntrySettings(row.entry, row.zone, enforce_version_order=order),
                Random(number),
            )
            for number, row in enumerate(self.instances)
        }
        self.agents = [Endpoint('127.0.0.2', number) for number in range(agents)]
        endpoints = tuple(row.endpoint for row in self.instances)
        for number, endpoint in enumerate(self.agents):
            agent_settings = AgentSettings('s1', endpoints, order)
            self.nodes[endpoint] = AgentConfiguration(agent_settings, Random(number))
        self.queue: list[tuple[float, Endpoint, Received]] = []
        self.versions = dict.fromkeys(self.nodes, 0)
        self.went_down = False
        self.largest = 0

    def publisher(self, store: FakeStore) -> Publisher:
        timing = Timing(self.clock, lambda: int(self.clock.now() * 1000), self.skip)
        return Publisher(PublisherSettings('op', 3), store, timing, self.random)

    def skip(self, seconds: float) -> None:
        self.clock.advance(seconds)

    def publish(self, slots: int, count: int = 3) -> Any:
        publisher = self.publisher(self.operator_store)
        return publisher.publish(publisher.plan(_declare(slots, count)))

    def zone(self, zone: str, out: bool) -> None:
        publisher = self.publisher(self.operator_store)
        publisher.publish(publisher.plan_zone(Zone(zone), out))

    def set_outage(self, outage: bool) -> None:
        for store in (self.store, self.operator_store):
            store.set_faults(Faults(outage))

    def post(self, endpoint: Endpoint, event: Any) -> None:
        now = self.clock.now()
        for action in self.nodes[endpoint].handle(event, now):
            self._perform(endpoint, action, now)

    def run(self, seconds: float) -> None:
        for _ in range(round(seconds / TICK_S)):
            self.clock.advance(TICK_S)
            now = self.clock.now()
            due = [item for item in self.queue if item[0] <= now]
            self.queue = [item for item in self.queue if item[0] > now]
            for _, to, event in due:
                self.post(to, event)
            for row in self.instances:
                if row in self.alive:
                    self._tick_entry(row.endpoint, now)
            for agent in self.agents:
                self.post(agent, Tick())

    def seconds_until(self, reached: Any, limit: float) -> float:
        start = self.clock.now()
        while not all(reached(item) for item in self.in_force()):
            assert self.clock.now() - start < limit, self.in_force()
            self.run(TICK_S)
        return self.clock.now() - start

    def in_force(self) -> list[Configuration]:
        dead = {row.endpoint for row in self.instances if row not in self.alive}
        return [node.configuration for at, node in self.nodes.items() if at not in dead]

    def read(self, endpoint: Endpoint) -> None:
        try:
            base = read_base(self.store)
        except StoreError:
            self.post(endpoint, StoreFailed())
            return
        head = base.head if base.revision else None
        event = StoreRead(head, base.services, self.listed, self.entries_version)
        self.post(endpoint, event)

    def _tick_entry(self, endpoint: Endpoint, now: float) -> None:
        if self.nodes[endpoint].wants_store(now) and not self.random.randrange(5):
            self.read(endpoint)
        self.post(endpoint, Tick())

    def _perform(self, endpoint: Endpoint, action: Any, now: float) -> None:
        if isinstance(action, ConfigurationChanged):
            version = action.configuration.version
            self.went_down = self.went_down or version < self.versions[endpoint]
            self.versions[endpoint] = version
        elif isinstance(action, Send):
            body = msgspec.msgpack.encode(action.message)
            self.largest = max(self.largest, len(body))
            if self.random.random() >= self.loss:
                at = now + self.random.uniform(0.004, 0.3)
                message = msgspec.msgpack.decode(body, type=type(action.message))
                self.queue.append((at, action.to, Received(endpoint, message)))
        elif isinstance(action, AbsorbOverrides):
            try:
                self.publisher(self.store).absorb(action.overrides)
            except StoreError:
                return


def _has_version(version: int):
    return lambda item: item.version == version


def _has_zone_a(out: bool):
    return lambda item: ('a' in item.zones_out) is out


def _settled(net: _Net) -> None:
    net.run(20)
    assert all(node.configuration.version for node in net.nodes.values())


@pytest.mark.parametrize('entries', [1, 4, 40, 150])
def test_accepted_publish_is_in_force_everywhere_despite_loss(entries: int) -> None:
    net = _Net(entries, agents=8, loss=0.3)
    net.publish(1)
    _settled(net)
    for slots in range(2, 6):
        net.publish(slots)
        net.seconds_until(_has_version(slots), limit=12)
    assert not net.went_down
    assert net.largest <= LARGEST_BODY_BYTES


def test_large_configuration_reaches_a_joining_peer_in_small_datagrams() -> None:
    net = _Net(6, loss=0.3)
    net.publish(1, count=1400)
    _settled(net)
    joiner = net.instances[0]
    joined = EntrySettings(joiner.entry, joiner.zone, (net.instances[1].endpoint,))
    net.nodes[joiner.endpoint] = EntryConfiguration(joined, Random(1))
    net.set_outage(True)
    net.seconds_until(lambda item: len(item.services) == 1400, limit=30)
    net.set_outage(False)
    net.publish(1, count=1390)
    net.seconds_until(lambda item: len(item.services) == 1390, limit=12)
    digests = {net.nodes[row.endpoint].configuration for row in net.instances}
    assert len(digests) == 1
    assert net.largest <= LARGEST_BODY_BYTES


def test_unsuccessful_publish_changes_nothing_in_force() -> None:
    net = _Net(5, agents=2)
    net.publish(1)
    _settled(net)
    before = net.in_force()
    publisher = net.publisher(net.operator_store)
    stale = publisher.plan(_declare(9))
    net.publish(2)
    net.seconds_until(_has_version(2), limit=12)
    publisher.publish(stale)
    net.run(10)
    assert {row.slots for item in net.in_force() for row in item.services} == {2}
    assert before != net.in_force()


def _stale_reads(order: bool) -> _Net:
    net = _Net(6, agents=3, order=order)
    net.publish(1)
    old = read_base(net.operator_store)
    _settled(net)
    net.publish(2)
    net.run(12)
    for row in net.instances:
        event = StoreRead(old.head, old.services, net.listed, net.entries_version)
        net.post(row.endpoint, event)
        net.post(net.agents[0], Received(row.endpoint, ServicePush(1, 0, (), None)))
    net.run(1)
    return net


def test_older_head_that_arrives_later_is_refused() -> None:
    net = _stale_reads(order=True)
    assert not net.went_down
    assert all(item.version == 2 for item in net.in_force())


def test_invariant_check_detects_a_switched_off_version_rule() -> None:
    assert _stale_reads(order=False).went_down


def test_loss_of_all_readers_and_of_the_store_is_survived() -> None:
    net = _Net(12, loss=0.1)
    net.publish(1)
    _settled(net)
    readers = {row for row in net.instances if net.nodes[row.endpoint]._entries.is_reader}
    assert len(readers) == 6
    net.alive -= readers
    net.run(5)
    net.set_outage(True)
    net.run(60)
    assert all(node.configuration.version == 1 for node in net.nodes.values())
    net.set_outage(False)
    net.listed = tuple(row for row in net.instances if row in net.alive)
    net.entries_version = 2
    net.publish(2)
    net.seconds_until(_has_version(2), limit=75)
    net.run(20)
    assert net.nodes[net.listed[0].endpoint].entries == net.listed


def test_short_list_after_an_outage_is_not_believed_at_once() -> None:
    net = _Net(6)
    net.publish(1)
    _settled(net)
    net.set_outage(True)
    net.run(30)
    net.set_outage(False)
    # All store leases have lapsed and only one instance has registered again.
    net.listed = net.instances[:1]
    net.entries_version = 2
    net.run(5)
    assert all(node.entries == net.instances for node in net.nodes.values())
    net.listed = net.instances
    net.entries_version = 3
    net.run(20)
    assert all(node.entries == net.instances for node in net.nodes.values())


def test_override_during_an_outage_is_in_force_and_then_absorbed() -> None:
    net = _Net(9, agents=6, loss=0.3)
    net.publish(1)
    _settled(net)
    net.set_outage(True)
    wall_ms = int(net.clock.now() * 1000)
    net.post(net.instances[4].endpoint, OverrideSet(Zone('a'), True, wall_ms, 'o1'))
    net.seconds_until(lambda item: 'a' in item.zones_out, limit=5)
    net.run(30)
    assert all(item.zones_out == {'a'} for item in net.in_force())
    net.set_outage(False)
    net.seconds_until(_has_version(2), limit=40)
    net.run(10)
    assert read_base(net.operator_store).head.version == 2
    assert all(item.zones_out == {'a'} for item in net.in_force())


def test_override_reaches_150_instances_and_their_agents_within_5_s() -> None:
    net = _Net(150, agents=20, loss=0.3)
    net.publish(1)
    _settled(net)
    for number, out in enumerate((True, False, True)):
        wall_ms = int(net.clock.now() * 1000)
        override = OverrideSet(Zone('a'), out, wall_ms, f'o{number}')
        net.post(net.instances[number].endpoint, override)
        net.seconds_until(_has_zone_a(out), limit=5)
        net.run(10)
    assert not net.went_down


@pytest.mark.parametrize('through_store', [True, False])
def test_override_does_not_outlive_an_opposite_later_change(through_store: bool) -> None:
    net = _Net(9, agents=4, loss=0.3)
    net.publish(1)
    _settled(net)
    net.set_outage(True)
    wall_ms = int(net.clock.now() * 1000)
    net.post(net.instances[4].endpoint, OverrideSet(Zone('a'), True, wall_ms, 'o1'))
    net.run(10)
    if through_store:
        net.set_outage(False)
        net.zone('a', out=False)
    else:
        net.post(net.instances[7].endpoint, OverrideSet(Zone('a'), False, wall_ms, 'o2'))
        net.run(10)
        net.set_outage(False)
    net.run(45)
    assert all(not item.zones_out for item in net.in_force())
    assert not any(state.out for state in read_base(net.operator_store).head.zones)
    # An instance that still gossips the old override changes nothing.
    offers = net.nodes[net.instances[4].endpoint]._offer(net.clock.now())
    assert not offers.overrides


def test_agent_refuses_an_entry_instance_that_is_behind_and_follows_an_offer() -> None:
    agent = AgentConfiguration(AgentSettings('s1', ()), Random(1))
    ahead, behind = Endpoint('127.0.0.1', 1), Endpoint('127.0.0.1', 2)
    service = ServiceConfig(ServiceId(4), 's1', Endpoint('10.9.0.1', 1), 2, version=5)
    sent = agent.handle(VersionOffered(5, ahead), 1)
    assert [action.to for action in sent] == [ahead]
    agent.handle(Received(ahead, ServicePush(5, 500, (), service)), 2)
    agent.handle(Received(behind, ServicePush(4, 0, (), None)), 3)
    assert agent.configuration.services == (service,)
    assert agent.age(3) == pytest.approx(1.5)
    assert not agent.handle(VersionOffered(5, behind), 4)


def test_agent_does_not_take_an_answer_for_its_predecessor() -> None:
    agent = AgentConfiguration(AgentSettings('s1', ()), Random(1))
    entry = Endpoint('127.0.0.1', 1)
    service = ServiceConfig(ServiceId(4), 's1', Endpoint('10.9.0.1', 1), 2, version=5)
    late = ServicePush(5, 0, (), None, unchanged=True)
    # Taken as a whole it would say that the service is not declared.
    assert not agent.configuration.version
    agent.handle(Received(entry, late), 1)
    assert not agent.configuration.version
    agent.handle(Received(entry, ServicePush(5, 0, (), service)), 2)
    assert agent.configuration.services == (service,)


def test_confirmation_ages_while_the_store_is_silent() -> None:
    net = _Net(1)
    endpoint = net.instances[0].endpoint
    node = net.nodes[endpoint]
    assert node.is_stale(net.clock.now())
    net.publish(1)
    net.read(endpoint)
    net.clock.advance(30)
    assert node.age(net.clock.now()) == pytest.approx(30)
    net.post(endpoint, StoreConfirmed())
    assert node.age(net.clock.now()) == pytest.approx(0)
    net.clock.advance(61)
    assert node.is_stale(net.clock.now())


@settings(derandomize=True, max_examples=100, deadline=None)
@given(pushes=st.lists(st.tuples(st.integers(0, 4), st.integers(0, 4)), max_size=30))
def test_no_sequence_of_pushes_lowers_a_version(pushes: list[tuple[int, int]]) -> None:
    net = _Net(2)
    peer, endpoint = (row.endpoint for row in net.instances)
    for version, since in pushes:
        offer = (
            net.nodes[peer]._offer(0)._replace(version=version, entries_version=version)
        )
        digest = Snapshot(version).digest
        push = ConfigPush(version, since, 0, 1, digest, (), (), ())
        net.post(endpoint, Received(peer, offer))
        net.post(endpoint, Received(peer, push))
        net.post(endpoint, Received(peer, EntriesPush(version, since, 0, 1, (), ())))
    assert not net.went_down


def test_diverged_copy_is_replaced_by_the_whole_configuration() -> None:
    net = _Net(2)
    net.publish(1)
    _settled(net)
    peer, endpoint = (row.endpoint for row in net.instances)
    table = net.nodes[endpoint]._replica._table
    table._rows.popitem()
    net.set_outage(True)
    publisher = net.publisher(FakeStore(net.clock, net.store.state))
    publisher.publish(publisher.plan(_declare(1, count=4)))
    base = read_base(FakeStore(net.clock, net.store.state))
    net.post(peer, StoreRead(base.head, base.services, net.listed, 1))
    net.seconds_until(lambda item: len(item.services) == 4, limit=12)


def test_chunks_of_another_peer_are_not_mixed_in() -> None:
    net = _Net(3)
    asked, other, endpoint = (row.endpoint for row in net.instances)
    node = net.nodes[endpoint]
    offer = net.nodes[asked]._offer(0)._replace(version=3)
    node.handle(Received(asked, offer), 1)
    digest = Snapshot(3).digest
    push = ConfigPush(3, 0, 0, 1, digest, (), (), ())
    node.handle(Received(other, push), 1)
    assert not node.configuration.version
    node.handle(Received(asked, push), 1)
    assert node.configuration.version == 3


def test_first_list_of_an_instance_is_announced_with_its_version() -> None:
    net = _Net(3)
    node = EntryConfiguration(EntrySettings(EntryId('x'), Zone('a')), Random(1))
    actions = node.handle(StoreRead(None, (), net.instances, 9), 1)
    assert actions[0] == EntriesChanged(9, net.instances)
