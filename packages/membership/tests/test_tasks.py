"""Guards against actions that reach the wrong callable, and ticks that stop."""

import random

import gevent
from gevent.event import Event

from persimmonreach.configuration import EntriesChanged, EntryInstance
from persimmonreach.core import Endpoint, MonotonicClock, Send
from persimmonreach.membership import (
    AgentMembership,
    Member,
    MembershipSettings,
    MemberState,
    ViewChanged,
)
from persimmonreach.membership.messages import Heartbeat
from persimmonreach.membership.tasks import AgentMembershipTask

WAIT_S = 20


def test_task_sends_heartbeats_and_posts_other_actions():
    here = Endpoint('127.0.0.1', 1)
    member = Member('a', 1, 7, 'z', here, MemberState.JOINING)
    machine = AgentMembership(member, MembershipSettings(), [here], random.Random(1))
    beats, actions, repeated = [], [], Event()

    def send(endpoint, message):
        if isinstance(message, Heartbeat):
            beats.append((endpoint, message))
        if len(beats) > 1:
            repeated.set()

    with AgentMembershipTask(machine, send, actions.append, MonotonicClock()) as task:
        task.post(EntriesChanged(1, (EntryInstance('e', 'z', here),)))
        with gevent.Timeout(WAIT_S):
            repeated.wait()
    assert beats[0][0] == here
    assert not any(isinstance(action, Send) for action in actions)
    assert not any(
        isinstance(action, ViewChanged) and not action.view for action in actions
    )
