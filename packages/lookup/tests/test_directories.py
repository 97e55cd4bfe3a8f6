"""Guards against searches whose messages grow with the agents or the flows.

Also covers the directories of flows, and how agents publish their flows to them.
"""

from collections.abc import Sequence

import pytest

from persimmonreach.core import Action, Endpoint, Received, Send, Tick
from persimmonreach.discovery import (
    AgentsDiscovered,
    AgentState,
    AgentStatus,
    AgentTable,
    EntryStatus,
    RegisteredAgent,
    RegisteredEntry,
)
from persimmonreach.lookup import (
    DirectoryProcess,
    EntriesChanged,
    FindHolder,
    FlowDirectory,
    FlowFound,
    FlowNotFound,
    FlowPublisher,
    FlowsPublished,
    FlowsQuery,
    FlowsResponse,
    FlowUnconfirmed,
    HolderFound,
    HolderNotFound,
    HolderQuery,
    HolderResponse,
    HolderSearch,
    PacketQuery,
    PublishRound,
)
from persimmonreach.lookup._directories import REPUBLISH_INTERVAL_S, directories_of
from persimmonreach.lookup._packet_queries import MAX_PACKET_QUERY_BYTES
from persimmonreach.lookup._publisher import MAX_FLOWS_PER_ROUND

KEY = b'flow-1'
PACKET = b'packet 1' * 150
AGENT_COUNT = 61
ENTRIES = tuple(
    RegisteredEntry(f'e{number}', 'z', Endpoint('10.0.1.1', number))
    for number in range(24)
)
ENTRY_IDS = [registered.entry for registered in ENTRIES]
PROCESSES = {
    registered.entry: DirectoryProcess(registered.endpoint, 1) for registered in ENTRIES
}
SENDER = Endpoint('x', 1)


def create_search(own_entry: str) -> HolderSearch:
    agent_table = AgentTable(EntryStatus(own_entry, 'z'))
    for number in range(AGENT_COUNT):
        status = AgentStatus(f'a{number}', 1, 1, 'svc', 'z', AgentState.READY)
        agent_table.handle(Received(Endpoint('10.0.0.1', number), status), 0)
    agent_table.handle(AgentsDiscovered(()), 0)
    search = HolderSearch(agent_table, own_entry)
    search.handle(EntriesChanged(ENTRIES), 0)
    return search


@pytest.fixture
def search() -> HolderSearch:
    selected = directories_of(KEY, ENTRY_IDS)
    return create_search(next(entry for entry in ENTRY_IDS if entry not in selected))


def sends_of(actions: Sequence[Action], message_type: type) -> list[Send]:
    return [
        action
        for action in actions
        if isinstance(action, Send) and isinstance(action.message, message_type)
    ]


def start_search(search: HolderSearch) -> tuple[Action, ...]:
    return search.handle(FindHolder(KEY, 'svc', PACKET), 0)


def receive(search: HolderSearch, message: object) -> tuple[Action, ...]:
    return search.handle(Received(SENDER, message), 0.01)


def query_all_agents(search: HolderSearch) -> list[Send]:
    """Return the key queries that follow negative responses to all earlier queries."""
    start_search(search)
    receive(search, HolderResponse(KEY, ''))
    likely_queries = sends_of(receive(search, HolderResponse(KEY, '')), PacketQuery)
    for send in likely_queries:
        receive(search, FlowNotFound(KEY, f'a{send.to.port}'))
    return sends_of(search.handle(Tick(), search.wake_at), FlowsQuery)


def respond(
    search: HolderSearch,
    send: Send,
    held: tuple[bytes, ...] = (),
    indeterminate: tuple[bytes, ...] = (),
) -> tuple[Action, ...]:
    agent = f'a{send.to.port}'
    return receive(
        search, FlowsResponse(send.message.query_id, agent, held, indeterminate)
    )


def test_published_flow_takes_two_queries_and_one_packet(search: HolderSearch) -> None:
    first_actions = start_search(search)
    assert len(sends_of(first_actions, HolderQuery)) == 2
    assert not sends_of(first_actions, PacketQuery)
    hint_actions = receive(search, HolderResponse(KEY, 'a5'))
    assert [send.to.port for send in sends_of(hint_actions, PacketQuery)] == [5]
    final_actions = receive(search, FlowFound(KEY, 'a5'))
    assert HolderFound(KEY, 'a5', ()) in final_actions


def test_unconfirmed_flow_is_routed_to_the_agent_that_a_directory_names(
    search: HolderSearch,
) -> None:
    """A busy backend server responds late, and the search asked all other agents."""
    start_search(search)
    receive(search, HolderResponse(KEY, 'a5'))
    final_actions = receive(search, FlowUnconfirmed(KEY, 'a5'))
    assert HolderFound(KEY, 'a5', ()) in final_actions


def test_unconfirmed_flow_that_no_directory_names_is_searched_for(
    search: HolderSearch,
) -> None:
    """The agent beside a silent backend server was taken for the holder."""
    start_search(search)
    receive(search, HolderResponse(KEY, ''))
    queries = sends_of(receive(search, HolderResponse(KEY, '')), PacketQuery)
    actions: list[Action] = []
    for send in queries:
        actions.extend(receive(search, FlowUnconfirmed(KEY, f'a{send.to.port}')))
    actions.extend(search.handle(Tick(), search.wake_at))
    assert sends_of(actions, FlowsQuery)
    assert not any(isinstance(action, HolderFound) for action in actions)


@pytest.mark.parametrize(('hint', 'is_reset'), [('a-silent', False), ('', True)])
def test_flow_of_a_silent_agent_is_not_given_up(hint: str, is_reset: bool) -> None:
    """An entry instance that started while an agent was paused had never heard it, took
    its flows for lost after 2 s, and reset them although a directory named the agent.
    """
    agent_table = AgentTable(EntryStatus('e-new', 'z'))
    for number in range(3):
        status = AgentStatus(f'a{number}', 1, 1, 'svc', 'z', AgentState.READY)
        agent_table.handle(Received(Endpoint('10.0.0.1', number), status), 2.9)
    silent = RegisteredAgent('a-silent', 'svc', 'z', Endpoint('10.0.0.1', 9))
    agent_table.handle(AgentsDiscovered((silent,)), 0)
    agent_table.handle(Tick(), 0.6)
    agent_table.handle(Tick(), 3)
    assert agent_table.find('a-silent').is_unreachable
    search = HolderSearch(agent_table, 'e-new')
    search.handle(EntriesChanged(ENTRIES), 3)
    search.handle(FindHolder(KEY, 'svc', PACKET), 3)
    ends: list[Action] = []
    for response in (HolderResponse(KEY, hint), HolderResponse(KEY, '')):
        search.handle(Received(SENDER, response), 3)
    for number in range(3):
        response = Received(SENDER, FlowNotFound(KEY, f'a{number}'))
        ends.extend(search.handle(response, 3.01))
    while search.wake_at < 6:
        ends.extend(search.handle(Tick(), search.wake_at))
    is_ended = any(isinstance(action, HolderNotFound) for action in ends)
    assert is_ended is is_reset


def test_search_continues_after_directory_timeout(search: HolderSearch) -> None:
    start_search(search)
    assert search.wake_at <= 0.03
    assert sends_of(search.handle(Tick(), search.wake_at), PacketQuery)


def test_own_directory_is_used_without_a_query() -> None:
    search = create_search(directories_of(KEY, ENTRY_IDS)[0])
    receive(search, FlowsPublished('a9', (KEY,)))
    actions = start_search(search)
    assert [send.to.port for send in sends_of(actions, PacketQuery)] == [9]


def test_search_continues_after_wrong_hint(search: HolderSearch) -> None:
    """A directory may return an agent that does not hold the flow."""
    start_search(search)
    receive(search, HolderResponse(KEY, 'a5'))
    actions = receive(search, FlowNotFound(KEY, 'a5'))
    assert len(sends_of(actions, PacketQuery)) == 2
    assert not any(isinstance(action, HolderNotFound) for action in actions)


def test_late_directory_response_is_ignored(search: HolderSearch) -> None:
    """A late response must not move the search back to an earlier phase."""
    assert query_all_agents(search)
    assert receive(search, HolderResponse(KEY, 'a5')) == ()


def test_all_agents_are_queried_by_key_without_packets(search: HolderSearch) -> None:
    """61 packets of 1.2 KB for one search occupy a link of 10 Mbit/s for 60 ms."""
    assert len(query_all_agents(search)) == AGENT_COUNT - 2


def test_packet_is_sent_to_holder_found_by_key(search: HolderSearch) -> None:
    """A key query carries no packet, so the first packet would be lost."""
    query = query_all_agents(search)[0]
    actions = respond(search, query, held=(KEY,))
    assert HolderFound(KEY, f'a{query.to.port}', (PACKET,)) in actions


def test_simultaneous_searches_share_messages(search: HolderSearch) -> None:
    """After a restart all flows of an availability zone are searched for at once."""
    keys = [b'flow %d' % number for number in range(50)]
    for key in keys:
        search.handle(FindHolder(key, 'svc', PACKET), 0)
    queries = []
    now = 0.0
    while not queries:
        now = search.wake_at
        queries = sends_of(search.handle(Tick(), now), FlowsQuery)
    assert len(queries) <= AGENT_COUNT
    assert {key for send in queries for key in send.message.keys} == set(keys)


def test_no_reset_while_key_queries_are_queued(search: HolderSearch) -> None:
    """A late negative response of a likely agent must not end the search: the
    other agents have not been queried yet.
    """
    start_search(search)
    likely_queries = sends_of(search.handle(Tick(), search.wake_at), PacketQuery)
    assert not search.handle(Tick(), search.wake_at)
    for send in likely_queries:
        assert not receive(search, FlowNotFound(KEY, f'a{send.to.port}'))
    assert sends_of(search.handle(Tick(), search.wake_at), FlowsQuery)


def test_negative_responses_are_cached_across_searches(search: HolderSearch) -> None:
    """With one unresponsive agent, each retransmission of the caller led to
    queries to all other agents.
    """
    queries = query_all_agents(search)
    for send in queries[1:]:
        respond(search, send)
    actions: list[Action] = []
    now = 0.0
    while search.wake_at < 100:
        now = search.wake_at
        actions.extend(search.handle(Tick(), now))
    assert not any(isinstance(action, HolderNotFound) for action in actions)
    search.handle(FindHolder(KEY, 'svc', PACKET), now)
    repeated_queries = sends_of(search.handle(Tick(), search.wake_at), PacketQuery)
    assert [send.to for send in repeated_queries] == [queries[0].to]


def test_response_to_query_of_another_agent_is_ignored(search: HolderSearch) -> None:
    """A response with the id of another agent's query could yield a wrong holder."""
    first_query, second_query = query_all_agents(search)[:2]
    actions = respond(
        search, second_query._replace(message=first_query.message), held=(KEY,)
    )
    assert not any(isinstance(action, HolderFound) for action in actions)


def test_packet_queries_in_flight_are_limited(search: HolderSearch) -> None:
    """After a restart all responses are indeterminate; packets to all agents at once
    would congest the link.
    """
    queries = query_all_agents(search)
    in_flight: list[Send] = []
    for send in queries:
        response_actions = respond(search, send, indeterminate=(KEY,))
        in_flight.extend(sends_of(response_actions, PacketQuery))
    assert len(in_flight) == MAX_PACKET_QUERY_BYTES // len(PACKET)
    results: list[Action] = []
    for _ in range(AGENT_COUNT - 2):
        agent = f'a{in_flight.pop(0).to.port}'
        actions = receive(search, FlowNotFound(KEY, agent))
        in_flight.extend(sends_of(actions, PacketQuery))
        results.extend(action for action in actions if isinstance(action, HolderNotFound))
    assert not in_flight
    assert results == [HolderNotFound(KEY, PACKET)]


def test_unresponsive_agents_do_not_block_packet_queries(search: HolderSearch) -> None:
    """Unresponsive agents would otherwise use up the limit of bytes in flight."""
    for send in query_all_agents(search):
        respond(search, send, indeterminate=(KEY,))
    assert len(
        sends_of(search.handle(Tick(), 1), PacketQuery)
    ) == MAX_PACKET_QUERY_BYTES // len(PACKET)


def test_flow_is_published_once_to_each_directory() -> None:
    publisher = FlowPublisher('a1')
    actions = publisher.handle(PublishRound((KEY,), PROCESSES), 0)
    endpoints = {PROCESSES[entry].endpoint for entry in directories_of(KEY, ENTRY_IDS)}
    assert {send.to for send in sends_of(actions, FlowsPublished)} == endpoints
    assert not publisher.handle(PublishRound((KEY,), PROCESSES), 0.1)


def test_flows_are_republished_to_restarted_directory() -> None:
    """A restarted directory has lost the flows published to its earlier process."""
    publisher = FlowPublisher('a1')
    publisher.handle(PublishRound((KEY,), PROCESSES), 0)
    entry = directories_of(KEY, ENTRY_IDS)[0]
    process = PROCESSES[entry]._replace(incarnation=2)
    actions = publisher.handle(PublishRound((KEY,), {**PROCESSES, entry: process}), 1)
    assert [send.to for send in sends_of(actions, FlowsPublished)] == [process.endpoint]


def test_only_flows_of_removed_directory_are_republished() -> None:
    """Publishing all flows after such a change would multiply the messages."""
    publisher = FlowPublisher('a1')
    keys = tuple(b'flow %d' % number for number in range(40))
    publisher.handle(PublishRound(keys, PROCESSES), 0)
    removed_entry = ENTRY_IDS[3]
    remaining_processes = {
        entry: process for entry, process in PROCESSES.items() if entry != removed_entry
    }
    actions = publisher.handle(PublishRound(keys, remaining_processes), 1)
    published_keys = [
        key for send in sends_of(actions, FlowsPublished) for key in send.message.keys
    ]
    assert sorted(published_keys) == sorted(
        flow_key
        for flow_key in keys
        if removed_entry in directories_of(flow_key, ENTRY_IDS)
    )


def test_flows_are_republished_before_they_expire() -> None:
    """An idle flow that expired in its directories would cost a search of all agents."""
    publisher = FlowPublisher('a1')
    directory = FlowDirectory()
    now = 0.0
    while now < 5 * REPUBLISH_INTERVAL_S:
        for send in sends_of(
            publisher.handle(PublishRound((KEY,), PROCESSES), now),
            FlowsPublished,
        ):
            directory.handle(Received(SENDER, send.message), now)
        directory.handle(Tick(), now)
        assert directory.find(KEY) == 'a1'
        now += 5


def test_publish_round_is_limited() -> None:
    """An unlimited round would block the agent while it selects directories."""
    publisher = FlowPublisher('a1')
    keys = tuple(b'flow %d' % number for number in range(3 * MAX_FLOWS_PER_ROUND))
    rounds = 0
    while publisher.handle(PublishRound(keys, PROCESSES), rounds / 10):
        rounds += 1
    assert rounds == 3


def create_search_with_lost_agent(state: AgentState) -> HolderSearch:
    """Return a search among two agents, one unresponsive since it reported ``state``."""
    agent_table = AgentTable(EntryStatus('e0', 'z'))
    agent_table.handle(AgentsDiscovered(()), 0)
    lost_status = AgentStatus('a0', 1, 1, 'svc', 'z', state)
    agent_table.handle(Received(Endpoint('10.0.0.1', 0), lost_status), 0)
    responsive_status = AgentStatus('a1', 1, 1, 'svc', 'z', AgentState.READY)
    agent_table.handle(Received(Endpoint('10.0.0.1', 1), responsive_status), 4)
    return HolderSearch(agent_table, 'e0')


@pytest.mark.parametrize(
    ('state', 'is_reset'),
    [
        (AgentState.DOWN, True),
        (AgentState.LEFT, True),
        (AgentState.STOPPING, False),
        (AgentState.READY, False),
    ],
)
def test_only_flows_that_lost_agent_may_hold_are_kept(
    state: AgentState,
    is_reset: bool,
) -> None:
    """Without a reset, callers waited until their deadlines because of a lost agent
    that held no flows.
    """
    search = create_search_with_lost_agent(state)
    actions = list(search.handle(FindHolder(KEY, 'svc', PACKET), 4))
    actions.extend(search.handle(Received(SENDER, FlowNotFound(KEY, 'a1')), 4.01))
    while search.wake_at < 10:
        actions.extend(search.handle(Tick(), search.wake_at))
    assert any(isinstance(action, HolderNotFound) for action in actions) is is_reset


def test_late_responses_end_the_search(search: HolderSearch) -> None:
    """On congested links responses arrived after the timeout of 60 ms. If they were
    ignored, the flow would wait for the next packet of the caller, 1.6 s later.
    """
    queries = query_all_agents(search)
    search.handle(Tick(), search.wake_at)
    results = [respond(search, send) for send in queries]
    assert results[-1][0] == HolderNotFound(KEY, PACKET)


def test_unresponsive_agents_are_queried_again(search: HolderSearch) -> None:
    """The retry must not depend on another packet of the caller."""
    queries = query_all_agents(search)
    for send in queries[1:]:
        respond(search, send)
    repeated_queries: list[Send] = []
    while not repeated_queries:
        actions = search.handle(Tick(), search.wake_at)
        repeated_queries = sends_of(actions, FlowsQuery)
    assert [send.to for send in repeated_queries] == [queries[0].to]
    assert search.wake_at < 1
    assert HolderNotFound(KEY, PACKET) in respond(search, repeated_queries[0])


def test_search_without_result_ends(search: HolderSearch) -> None:
    """A search that never ended would block every later search for the flow."""
    query_all_agents(search)
    now = 0.0
    while search.wake_at < 100:
        now = search.wake_at
        search.handle(Tick(), now)
    assert now < 3
