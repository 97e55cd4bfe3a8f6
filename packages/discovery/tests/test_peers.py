"""Guards against agents and rules that an entry instance does not get from the store."""

from random import Random

from persimmonreach.core import Action, Endpoint, Received, Send, Tick
from persimmonreach.discovery import (
    AgentsDiscovered,
    AgentState,
    AgentStatus,
    AgentTable,
    EntriesDiscovered,
    EntryPeers,
    EntryStatus,
    PeerMembership,
    PeerStatus,
    RegisteredEntry,
    RulesRefreshed,
)
from persimmonreach.rules import RulesOutdated, WatchAssigned

NAMES = ('e1', 'e2', 'e3', 'e4')
SERVICE = 'svc'


def endpoint(name: str) -> Endpoint:
    return Endpoint(f'10.0.0.{ord(name[-1])}', 7000)


class EntryGroup:
    """Entry instances that exchange messages without loss."""

    def __init__(self, seeds: tuple[Endpoint, ...] = ()) -> None:
        self.now: float = 0
        self.agent_tables: dict[Endpoint, AgentTable] = {}
        self.peers: dict[Endpoint, EntryPeers] = {}
        self.other_actions: dict[Endpoint, list[Action]] = {}
        for name in NAMES:
            registration = RegisteredEntry(name, 'z', endpoint(name))
            agent_table = AgentTable(EntryStatus(name, 'z'))
            self.agent_tables[registration.endpoint] = agent_table
            self.peers[registration.endpoint] = EntryPeers(
                registration, agent_table, seeds, Random(1)
            )
            self.other_actions[registration.endpoint] = []

    def receive_status(self, name: str, agent: str) -> None:
        status = AgentStatus(agent, 1, 1, SERVICE, 'z', AgentState.READY)
        received = Received(Endpoint('10.9.0.1', 7000), status)
        self.agent_tables[endpoint(name)].handle(received, self.now)

    def run(self, seconds: float) -> None:
        for _ in range(int(seconds * 10)):
            self.now += 0.1
            for address in self.peers:
                self.dispatch(address, self.peers[address].handle(Tick(), self.now))

    def dispatch(self, address: Endpoint, actions: tuple[Action, ...]) -> None:
        for action in actions:
            if isinstance(action, Send) and action.to in self.peers:
                received = Received(address, action.message)
                responses = self.peers[action.to].handle(received, self.now)
                self.dispatch(action.to, responses)
            elif not isinstance(action, Send):
                self.other_actions[address].append(action)
                if isinstance(action, AgentsDiscovered):
                    self.agent_tables[address].handle(action, self.now)

    def discover_all(self) -> None:
        registrations = tuple(
            RegisteredEntry(name, 'z', endpoint(name)) for name in NAMES
        )
        for address, peers in self.peers.items():
            peers.handle(RulesRefreshed(1, 1, ()), self.now)
            self.dispatch(
                address, peers.handle(EntriesDiscovered(registrations), self.now)
            )
        for events in self.other_actions.values():
            events.clear()


def test_unregistered_agent_is_learned_from_a_peer() -> None:
    """A store can remove a registration while its lease remains valid."""
    group = EntryGroup()
    group.discover_all()
    group.receive_status('e1', 'agent-late')
    group.run(1.5)
    for agent_table in group.agent_tables.values():
        assert agent_table.find('agent-late') is not None


def test_entries_discover_each_other_through_one_seed() -> None:
    """Entry instances that cannot read the store know only the addresses of seeds."""
    group = EntryGroup(seeds=(endpoint('e1'),))
    group.receive_status('e1', 'agent')
    group.run(5)
    assert all(agent_table.find('agent') for agent_table in group.agent_tables.values())


def test_two_entries_watch_and_a_failed_one_is_replaced() -> None:
    """If no watcher is replaced, changes in the store are detected late."""
    group = EntryGroup()
    group.discover_all()
    group.run(3)
    watchers = [name for name in NAMES if group.peers[endpoint(name)].is_watcher]
    assert watchers == ['e1', 'e2']
    del group.peers[endpoint('e1')]
    group.run(4)
    assert group.peers[endpoint('e3')].is_watcher
    assert WatchAssigned(True) in group.other_actions[endpoint('e3')]


def test_missed_rules_are_detected_from_a_peer() -> None:
    """None of the pending watches at the store returned version 6 of the rules."""
    group = EntryGroup()
    group.discover_all()
    address = endpoint('e2')
    group.dispatch(
        address, group.peers[address].handle(RulesRefreshed(9, 6, ()), group.now)
    )
    group.run(1.5)
    for name in ('e1', 'e3', 'e4'):
        assert RulesOutdated(9) in group.other_actions[endpoint(name)]
    assert RulesOutdated(9) not in group.other_actions[address]


def test_older_rules_of_a_peer_cause_no_read() -> None:
    """Each status of an outdated peer would cause a read of the store."""
    group = EntryGroup()
    entry_peers = group.peers[endpoint('e1')]
    entry_peers.handle(RulesRefreshed(50, 7, ()), 0)
    older_status = PeerStatus('e2', 'z', 0, 40, 6, ())
    actions = entry_peers.handle(Received(endpoint('e2'), older_status), 0)
    assert not any(isinstance(action, RulesOutdated) for action in actions)


def test_membership_is_split_to_fit_datagrams() -> None:
    """61 agents in one message would exceed the datagram size of 1,200 bytes."""
    group = EntryGroup()
    for number in range(61):
        group.receive_status('e1', f'side-montevideo-a-{number}')
    entry_peers = group.peers[endpoint('e1')]
    request = PeerStatus('e2', 'z', 0, response_requested=True)
    actions = entry_peers.handle(Received(endpoint('e2'), request), 0)
    messages = [
        action.message
        for action in actions
        if isinstance(action, Send) and isinstance(action.message, PeerMembership)
    ]
    assert sum(len(message.agents) for message in messages) == 61
    assert max(len(message.agents) for message in messages) <= 20


def test_an_agent_is_learned_although_most_listed_peers_are_gone() -> None:
    """A new entry instance missed a resumed agent for 5 s (soak, seed 14).

    It sent one status a second to a random peer, and the chosen peers had been
    killed. The statuses of the watcher do not carry its agents.
    """
    group = EntryGroup()
    unavailable = tuple(
        RegisteredEntry(f'gone-{port}', 'z', Endpoint('10.8.0.1', port))
        for port in range(20)
    )
    group.discover_all()
    for peers in group.peers.values():
        peers.handle(EntriesDiscovered(unavailable), group.now)
    group.run(1)
    group.receive_status('e1', 'agent-late')
    group.run(2.5)
    for agent_table in group.agent_tables.values():
        assert agent_table.find('agent-late') is not None


def test_members_are_sent_at_a_bounded_rate_while_all_start() -> None:
    """All entry instances hear different agents while they start, and each answered
    each status of each other one: 29 MB between zones for 59 and 136 instances.
    """
    agent_table = AgentTable(EntryStatus('e1', 'z'))
    own = RegisteredEntry('e1', 'z', endpoint('e1'))
    peers = EntryPeers(own, agent_table, (), Random(1))
    for number in range(19):
        status = AgentStatus(f'a{number}', 1, 1, SERVICE, 'z', AgentState.READY)
        agent_table.handle(Received(Endpoint('10.9.0.1', number), status), 0)
    peers.handle(Tick(), 0)
    sent: list[Action] = []
    for number in range(58):
        status = PeerStatus(f'p{number}', 'z', number, response_requested=True)
        sender = Endpoint('10.0.0.9', number)
        sent.extend(peers.handle(Received(sender, status), 0.1))
    targets = {
        action.to
        for action in sent
        if isinstance(action, Send) and isinstance(action.message, PeerMembership)
    }
    assert len(targets) == 8
    # Each peer still gets a status, so that all of them know each other.
    assert sum(isinstance(getattr(a, 'message', None), PeerStatus) for a in sent) == 58
    peers.handle(Tick(), 1.1)
    late = PeerStatus('p57', 'z', 57, response_requested=True)
    actions = peers.handle(Received(Endpoint('10.0.0.9', 57), late), 1.2)
    assert any(isinstance(getattr(a, 'message', None), PeerMembership) for a in actions)
