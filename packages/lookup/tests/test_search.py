"""Guards against searches that miss the holder, and against resets of held flows."""

from collections.abc import Sequence
from math import inf
from random import Random

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from persimmonreach.core import Action, Endpoint, Received, Send, Tick
from persimmonreach.discovery import (
    AgentsDiscovered,
    AgentState,
    AgentStatus,
    AgentTable,
    EntryStatus,
    RegisteredAgent,
)
from persimmonreach.lookup import (
    FindHolder,
    FlowFound,
    FlowNotFound,
    FlowsQuery,
    FlowUnconfirmed,
    HolderFound,
    HolderNotFound,
    HolderSearch,
    PacketQuery,
)
from persimmonreach.lookup._search import SEARCH_TIMEOUT_S

KEY = b'flow-1'
FIND_HOLDER = FindHolder(KEY, 'svc', b'packet 1')


def create_agent_table(agent_count: int, is_loaded: bool = True) -> AgentTable:
    agent_table = AgentTable(EntryStatus('e1', 'z'))
    for number in range(agent_count):
        status = AgentStatus(f'a{number}', 1, 1, 'svc', 'z', AgentState.READY)
        agent_table.handle(Received(Endpoint('10.0.0.1', number), status), 0)
    if is_loaded:
        agent_table.handle(AgentsDiscovered(()), 0)
    return agent_table


def queried_agents(actions: Sequence[Action]) -> set[str]:
    return {
        f'a{action.to.port}'
        for action in actions
        if isinstance(action, Send)
        and isinstance(action.message, PacketQuery | FlowsQuery)
    }


def actions_of(actions: Sequence[Action], action_type: type) -> list[Action]:
    return [action for action in actions if isinstance(action, action_type)]


def respond_not_found(search: HolderSearch, agent: str, now: float) -> tuple[Action, ...]:
    actions = search.handle(Received(Endpoint('x', 1), FlowNotFound(KEY, agent)), now)
    return (*actions, *send_queued_queries(search))


def send_queued_queries(search: HolderSearch) -> tuple[Action, ...]:
    """Advance the time to the next round of key queries, if a flow is queued."""
    send_at = search._queries.send_at
    return () if send_at == inf else search.handle(Tick(), send_at)


def respond_found(search: HolderSearch, agent: str, now: float) -> tuple[Action, ...]:
    return search.handle(Received(Endpoint('x', 1), FlowFound(KEY, agent)), now)


def test_packets_of_one_flow_share_a_search() -> None:
    """A search for each packet would multiply the queries."""
    search = HolderSearch(create_agent_table(7))
    first_agents = queried_agents(search.handle(FIND_HOLDER, 0))
    assert len(first_agents) == 2
    for number in range(2, 6):
        later_event = FIND_HOLDER._replace(packet=b'packet %d' % number)
        assert not queried_agents(search.handle(later_event, 0.001))
    found_actions = actions_of(
        respond_found(search, first_agents.pop(), 0.01), HolderFound
    )
    assert found_actions[0].packets == (
        b'packet 2',
        b'packet 3',
        b'packet 4',
        b'packet 5',
    )


def test_all_agents_are_queried_after_negative_responses() -> None:
    """A search limited to the likely agents would miss a flow held by another one."""
    search = HolderSearch(create_agent_table(7))
    first_agents = queried_agents(search.handle(FIND_HOLDER, 0))
    later_agents: set[str] = set()
    for agent in first_agents:
        later_agents |= queried_agents(respond_not_found(search, agent, 0.01))
    assert first_agents | later_agents == {f'a{number}' for number in range(7)}


def test_unresponsive_agents_do_not_delay_the_search() -> None:
    """Without a timeout, an agent that does not respond would stop the search."""
    search = HolderSearch(create_agent_table(7))
    search.handle(FIND_HOLDER, 0)
    assert search.wake_at <= 0.05
    search.handle(Tick(), search.wake_at)
    assert search.wake_at <= 0.05
    assert queried_agents(search.handle(Tick(), search.wake_at))


def test_reset_requires_response_of_every_agent() -> None:
    """An agent that has not responded may hold the flow."""
    search = HolderSearch(create_agent_table(5))
    first_agents = queried_agents(search.handle(FIND_HOLDER, 0))
    actions: tuple[Action, ...] = ()
    for agent in sorted(first_agents):
        actions = respond_not_found(search, agent, 0.01)
    for agent in sorted(queried_agents(actions))[1:]:
        assert not actions_of(respond_not_found(search, agent, 0.02), HolderNotFound)
    timeout_actions = search.handle(Tick(), 1)
    assert not actions_of(timeout_actions, HolderNotFound)


def test_no_reset_before_agents_are_loaded() -> None:
    """An agent that has not been discovered yet may hold the flow."""
    search = HolderSearch(create_agent_table(2, is_loaded=False))
    actions: tuple[Action, ...] = ()
    for agent in queried_agents(search.handle(FIND_HOLDER, 0)):
        actions = respond_not_found(search, agent, 0.01)
    assert not actions_of(actions, HolderNotFound)


def test_agent_that_was_discovered_in_a_pause_is_queried() -> None:
    """All known agents had responded negatively, and the flow was reset without a query
    to the agent that was read from the store in the pause of the search.
    """
    agent_table = create_agent_table(2, is_loaded=False)
    search = HolderSearch(agent_table)
    for agent in sorted(queried_agents(search.handle(FIND_HOLDER, 0))):
        respond_not_found(search, agent, 0.01)
    holder = RegisteredAgent('a2', 'svc', 'z', Endpoint('10.0.0.1', 2))
    agent_table.handle(AgentsDiscovered((holder,)), 0.05)
    queried: set[str] = set()
    ends: list[Action] = []
    while search.wake_at < 1 and not queried:
        actions = search.handle(Tick(), search.wake_at)
        queried |= queried_agents(actions)
        ends.extend(actions_of(actions, HolderNotFound))
    assert queried == {'a2'}
    assert not ends
    assert actions_of(respond_found(search, 'a2', 0.5), HolderFound)


def test_agent_that_returned_packet_is_not_queried() -> None:
    """A query to the agent that returned the packet would repeat a known response."""
    search = HolderSearch(create_agent_table(3))
    first_actions = search.handle(FIND_HOLDER._replace(not_held_by='a1'), 0)
    queried = queried_agents(first_actions)
    for agent in sorted(queried):
        queried |= queried_agents(respond_not_found(search, agent, 0.01))
    assert queried == {'a0', 'a2'}


def apply_status(agent_table: AgentTable, agent: str, state: AgentState) -> None:
    status = AgentStatus(agent, 1, 2, 'svc', 'z', state)
    agent_table.handle(Received(Endpoint('10.0.0.1', int(agent[1:])), status), 0)


@pytest.mark.parametrize(
    ('state', 'is_ended'),
    [(AgentState.DOWN, True), (AgentState.READY, False), (AgentState.STOPPING, False)],
)
def test_agent_with_server_down_is_queried_for_one_round(
    state: AgentState,
    is_ended: bool,
) -> None:
    """Searches waited for unresponsive agents of backend servers that were down. Their
    instances were removed one by one, and lost flows were not reset for 6 s.
    """
    agent_table = create_agent_table(4)
    apply_status(agent_table, 'a3', state)
    search = HolderSearch(agent_table)
    queried = queried_agents(search.handle(FIND_HOLDER, 0))
    while search.wake_at < 1 and len(queried) < 4:
        queried |= queried_agents(search.handle(Tick(), search.wake_at))
    for agent in ('a0', 'a1', 'a2'):
        respond_not_found(search, agent, 0.1)
    end_actions: tuple[Action, ...] = ()
    while not end_actions and search.wake_at < 1:
        actions = search.handle(Tick(), search.wake_at)
        end_actions = tuple(actions_of(actions, HolderNotFound))
    assert bool(end_actions) is is_ended


def test_search_ends_when_unresponsive_agent_left() -> None:
    """The search lasted until its timeout of 2 s, although all remaining agents had
    responded.
    """
    agent_table = create_agent_table(4)
    search = HolderSearch(agent_table)
    queried = queried_agents(search.handle(FIND_HOLDER, 0))
    for agent in sorted(queried):
        queried |= queried_agents(respond_not_found(search, agent, 0.01))
    unresponsive_agent, *other_agents = sorted(queried)
    for agent in other_agents:
        respond_not_found(search, agent, 0.02)
    apply_status(agent_table, unresponsive_agent, AgentState.LEFT)
    end_actions: tuple[Action, ...] = ()
    while not end_actions and search.wake_at < 1:
        end_actions = tuple(
            actions_of(search.handle(Tick(), search.wake_at), HolderNotFound),
        )
    assert end_actions


def test_search_without_responses_ends() -> None:
    """A search that never ended would block every later search for the flow."""
    search = HolderSearch(create_agent_table(3))
    search.handle(FIND_HOLDER, 0)
    now = 0.0
    while search.wake_at < 10:
        now = search.wake_at
        search.handle(Tick(), now)
    assert now <= SEARCH_TIMEOUT_S
    assert queried_agents(search.handle(FIND_HOLDER, now + 1))


def test_agents_of_other_services_are_queried() -> None:
    """The weights of a route may have changed since the flow was opened."""
    agent_table = create_agent_table(2)
    other_status = AgentStatus('a9', 1, 1, 'other', 'z', AgentState.READY)
    agent_table.handle(Received(Endpoint('10.0.0.1', 9), other_status), 0)
    search = HolderSearch(agent_table)
    queried = queried_agents(search.handle(FIND_HOLDER, 0))
    for agent in sorted(queried):
        queried |= queried_agents(respond_not_found(search, agent, 0.01))
    assert 'a9' in queried


@settings(derandomize=True, deadline=None, max_examples=150)
@given(st.integers(1, 9), st.integers(0, 9), st.floats(0, 0.6), st.integers(0, 1000))
def test_no_reset_of_held_flow_on_lossy_network(
    agent_count: int,
    holder_number: int,
    loss_rate: float,
    seed: int,
) -> None:
    """Lost queries or responses must neither reset a held flow nor keep a search
    from ending.
    """
    rng = Random(seed)
    search = HolderSearch(create_agent_table(agent_count))
    now = 0.0
    results: list[Action] = []
    actions: Sequence[Action] = search.handle(FIND_HOLDER, now)
    for _ in range(4):
        recipients = sorted(queried_agents(actions))
        results.extend(actions_of(actions, HolderNotFound))
        actions = ()
        for agent in recipients:
            if rng.random() < loss_rate:
                continue
            respond = respond_found if agent == f'a{holder_number}' else respond_not_found
            actions = (*actions, *respond(search, agent, now + 0.005))
        results.extend(actions_of(actions, HolderFound | HolderNotFound))
        if search.wake_at > 100:
            break
        if not queried_agents(actions):
            now = search.wake_at
            actions = search.handle(Tick(), now)
    if holder_number < agent_count:
        assert not actions_of(results, HolderNotFound)
    elif loss_rate == 0:
        assert actions_of(results, HolderNotFound)
    assert now < 0.5


@pytest.mark.parametrize('response_type', [FlowFound, FlowNotFound])
def test_responses_without_search_cause_no_reset(response_type: type) -> None:
    """A response may arrive after its search has ended."""
    search = HolderSearch(create_agent_table(2))
    actions = search.handle(Received(Endpoint('x', 1), response_type(KEY, 'a1')), 0)
    assert not actions_of(actions, HolderNotFound)


def respond_unconfirmed(
    search: HolderSearch, agent: str, now: float
) -> tuple[Action, ...]:
    response = FlowUnconfirmed(KEY, agent)
    actions = search.handle(Received(Endpoint('x', 1), response), now)
    return (*actions, *send_queued_queries(search))


def test_unconfirmed_flow_is_routed_to_the_agent_that_all_others_leave_over() -> None:
    """A pure ACK gets no response, so that its flow stays unconfirmed at the holder."""
    search = HolderSearch(create_agent_table(3))
    first, second = sorted(queried_agents(search.handle(FIND_HOLDER, 0)))
    last = ({'a0', 'a1', 'a2'} - {first, second}).pop()
    actions = (
        *respond_unconfirmed(search, first, 0.02),
        *respond_not_found(search, second, 0.021),
    )
    assert not actions_of(actions, HolderFound)
    found = actions_of(respond_not_found(search, last, 0.03), HolderFound)
    assert [action.agent for action in found] == [first]


def test_flow_is_not_reset_while_an_agent_has_not_confirmed_it() -> None:
    """The agent beside a silent backend server may hold the flow."""
    search = HolderSearch(create_agent_table(2))
    for agent in sorted(queried_agents(search.handle(FIND_HOLDER, 0))):
        respond_unconfirmed(search, agent, 0.02)
    while search.wake_at < SEARCH_TIMEOUT_S + 1:
        assert not actions_of(search.handle(Tick(), search.wake_at), HolderNotFound)


def test_further_packets_reach_all_agents_that_may_hold_the_flow() -> None:
    """A request that follows a pure ACK waited until the search had timed out."""
    search = HolderSearch(create_agent_table(2))
    agents = queried_agents(search.handle(FIND_HOLDER, 0))
    for agent in sorted(agents):
        respond_unconfirmed(search, agent, 0.02)
    further_packet = FIND_HOLDER._replace(packet=b'packet 2')
    assert queried_agents(search.handle(further_packet, 0.1)) == agents


def test_packet_that_an_unconfirmed_holder_returns_continues_the_search() -> None:
    """The packet joined the queue of a search that waited for this agent only."""
    search = HolderSearch(create_agent_table(2))
    first, second = sorted(queried_agents(search.handle(FIND_HOLDER, 0)))
    for agent in (first, second):
        respond_unconfirmed(search, agent, 0.02)
    returned = FIND_HOLDER._replace(not_held_by=first)
    found = actions_of(search.handle(returned, 0.1), HolderFound)
    assert [action.agent for action in found] == [second]
