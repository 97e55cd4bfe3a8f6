"""Guards against majorities that share no registrar, and leases granted too early."""

import random

import pytest

from persimmonreach.configuration import EntriesChanged, EntryInstance
from persimmonreach.core import Endpoint, Received, Send, Tick
from persimmonreach.membership import (
    AgentMembership,
    EntryMembership,
    Member,
    MembershipSettings,
    MemberState,
)
from persimmonreach.membership._registrars import RegistrarSets
from persimmonreach.membership._table import MemberRow
from persimmonreach.membership.messages import Heartbeat, HeartbeatAck, MemberRows

SETTINGS = MembershipSettings()
MEMBER = Member('a', 5, 7, 'z', Endpoint('a', 1), MemberState.ACTIVE)


def listed(version, names):
    entries = (EntryInstance(name, f'z-{name}', Endpoint(name, 1)) for name in names)
    return EntriesChanged(version, tuple(entries))


def acknowledge(agent, entry, sequence, now):
    ack = HeartbeatAck(entry, 'a', sequence, agent.member.incarnation, 3, False, 0, 0, 1)
    agent.handle(Received(Endpoint(entry, 1), ack), now)


def test_majority_of_new_list_alone_does_not_count_during_handover():
    registrars = RegistrarSets(10)
    registrars.adopt(listed(1, 'ABC'), 0)
    registrars.adopt(listed(2, 'ABD'), 100)
    assert not registrars.has_majority(7, 'BD')
    assert not registrars.has_majority(7, 'BC')
    assert registrars.has_majority(7, 'AB')
    registrars.expire(110)
    assert registrars.has_majority(7, 'BD')


@pytest.mark.parametrize('delay', [0.1, 1.9])
def test_lease_runs_from_sending_of_the_oldest_needed_heartbeat(delay):
    agent = AgentMembership(MEMBER, SETTINGS, (), random.Random(1))
    agent.handle(listed(1, 'ABC'), 10)
    agent.handle(Tick(), 11)
    acknowledge(agent, 'A', 1, 10 + delay)
    assert agent.valid_until is None
    acknowledge(agent, 'B', 2, 11 + delay)
    assert agent.valid_until == 10 + SETTINGS.lease_s
    acknowledge(agent, 'C', 2, 11 + delay)
    assert agent.valid_until == 11 + SETTINGS.lease_s


def granted_s(entry, now):
    beat = Heartbeat(MEMBER, 1, 0, 0, 0, 0, 1)
    actions = entry.handle(Received(MEMBER.endpoint, beat), now)
    messages = [action.message for action in actions if isinstance(action, Send)]
    return next(each.lease_s for each in messages if isinstance(each, HeartbeatAck))


def restarted_entry():
    entry = EntryMembership(
        EntryInstance('A', 'z', Endpoint('A', 1)), SETTINGS, random.Random(1)
    )
    entry.handle(listed(1, 'ABC'), 0)
    return entry


def test_restarted_registrar_waits_for_its_earlier_opinions():
    entry = restarted_entry()
    assert granted_s(entry, 0.1) == 0
    assert granted_s(entry, SETTINGS.fence_s) == SETTINGS.lease_s


def test_registrar_refuses_an_incarnation_it_declared_dead():
    entry = restarted_entry()
    rows = MemberRows(1, (MemberRow(MEMBER, ('A',)),))
    entry.handle(Received(Endpoint('B', 1), rows), 0.1)
    assert granted_s(entry, SETTINGS.fence_s) == 0


def test_started_entry_instance_judges_only_after_the_handover():
    entry = restarted_entry()
    rows = MemberRows(1, (MemberRow(MEMBER, ('B', 'C')),))
    entry.handle(Received(Endpoint('B', 1), rows), 0.1)
    assert entry.view(7).find('a').alive
    now = 0.1
    while now < SETTINGS.handover_s + 1:
        now += 0.5
        entry.handle(Tick(), now)
    assert not entry.view(7).find('a').alive
