"""Guards against operators being shown an outdated or foreign heartbeat."""

import random

from persimmonreach.configuration import EntryInstance
from persimmonreach.core import Endpoint, Received
from persimmonreach.membership import EntryMembership, Member, MemberState
from persimmonreach.membership._settings import MembershipSettings
from persimmonreach.membership.messages import Heartbeat

AGENT = Endpoint('a', 1)


def _heartbeat(incarnation: int, sequence: int, version: int) -> Received:
    member = Member('x-1', incarnation, 1, 'z', AGENT, MemberState.ACTIVE)
    return Received(AGENT, Heartbeat(member, sequence, 5, 9, 0, version, 0))


def test_delayed_heartbeat_does_not_replace_a_later_one() -> None:
    entry = EntryInstance('e1', 'z', Endpoint('e', 1))
    membership = EntryMembership(entry, MembershipSettings(), random.Random(1))
    assert membership.report_of('x-1') is None
    membership.handle(_heartbeat(1, 8, 3), 10)
    membership.handle(_heartbeat(1, 7, 2), 11)
    assert membership.report_of('x-1').config_version == 3
    assert membership.report_of('x-1').heard_at == 10
    # A restarted agent counts its heartbeats from 1 again.
    membership.handle(_heartbeat(2, 1, 2), 12)
    assert membership.report_of('x-1').config_version == 2
