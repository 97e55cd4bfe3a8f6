"""Guards against datagrams that are too large and a control load above its budget."""

import random

import pytest

from persimmonreach.configuration import EntriesChanged, EntryInstance
from persimmonreach.core import Endpoint
from persimmonreach.membership import Member, MemberState, View
from persimmonreach.membership._chunks import list_messages, row_messages, view_messages
from persimmonreach.membership._gossip import AntiEntropy
from persimmonreach.membership._registrars import RegistrarSets
from persimmonreach.membership._table import MemberRow, MemberTable
from persimmonreach.membership.messages import (
    MESSAGE_TYPES,
    BucketDigests,
    Heartbeat,
    HeartbeatAck,
    RowDigests,
    RowsWanted,
    TableDigest,
)
from persimmonreach.runtime import SharedKey, WireCodec

LARGEST_BYTES = 1400
IP_UDP_BYTES = 28
BUDGET_BYTES_PER_S = 4096
LARGE = (1 << 64) - 1
CODEC = WireCodec(MESSAGE_TYPES, [SharedKey(1, b'k' * 16)])


def member(index, service=1400):
    return Member(
        f'agent-{index:06d}-{"x" * 20}',
        1_900_000_000_000,
        service,
        'zone-north-1',
        Endpoint('100.100.100.100', 65_000),
        MemberState.ACTIVE,
    )


def size(message):
    datagram = CODEC.encode(message)
    assert CODEC.decode(datagram) == message
    return len(datagram)


def steady_state_bytes(agents, entries, heartbeat_s, gossip_s):
    """Return bytes per second, sent and received, of an agent and an entry instance."""
    beat = size(Heartbeat(member(1), 1_000_000, 2000, 2000, LARGE, 10**6, 10**9))
    ack = size(
        HeartbeatAck('e' * 30, 'a' * 32, 10**6, 10**13, 6, True, LARGE, 10**6, 10**9)
    )
    exchange = beat + ack + 2 * IP_UDP_BYTES
    agent = 3 * exchange / heartbeat_s
    digest = size(TableDigest(LARGE, 10**9, True, True)) + IP_UDP_BYTES
    return agent, agent * agents / entries + 4 * digest / gossip_s


@pytest.mark.parametrize('accusers', [(), ('e' * 40, 'f' * 40)])
def test_rows_views_and_lists_fit_into_datagrams(accusers):
    members = [member(index) for index in range(500)]
    rows = [MemberRow(each, accusers) for each in members]
    entries = tuple(
        EntryInstance(
            f'entry-{index:030d}', 'zone-north-1', Endpoint('100.100.100.100', 1)
        )
        for index in range(760)
    )
    messages = [
        *row_messages(10**9, rows),
        *view_messages(View(1400, tuple(members), LARGE)),
        *list_messages(EntriesChanged(10**9, entries)),
    ]
    assert max(size(message) for message in messages) <= LARGEST_BYTES
    assert sum(len(part.rows) for part in messages if hasattr(part, 'rows')) == 500


def test_anti_entropy_copies_a_full_table_in_datagrams_that_fit():
    full, empty = MemberTable(), MemberTable()
    rng = random.Random(4)
    for index in range(5700):
        full.merge(MemberRow(member(index, rng.choice((64, rng.randrange(1400))))))
    sides = {'full': AntiEntropy(full, RegistrarSets(1))}
    sides['empty'] = AntiEntropy(empty, RegistrarSets(1))
    queue = [('full', sides['empty'].open_exchange(Endpoint('full', 1)).message)]
    while queue:
        target, message = queue.pop()
        assert size(message) <= LARGEST_BYTES
        other = 'empty' if target == 'full' else 'full'
        for row in getattr(message, 'rows', ()):
            empty.merge(row)
        answers = sides[target].receive(message, Endpoint(other, 1))
        queue.extend((other, answer.message) for answer in answers)
    assert empty.digest == full.digest


def test_exchange_carries_only_the_row_that_differs():
    one, other = MemberTable(), MemberTable()
    for index in range(300):
        one.merge(MemberRow(member(index)))
        other.merge(MemberRow(member(index)))
    newer = MemberRow(member(7)._replace(state=MemberState.DRAINING))
    one.merge(newer)
    asked = AntiEntropy(other, RegistrarSets(1))
    buckets = [BucketDigests(one.bucket_digests)]
    digests = [sent.message for sent in asked.receive(buckets[0], Endpoint('x', 1))]
    assert all(isinstance(message, RowDigests) for message in digests)
    answers = [
        sent.message
        for message in digests
        for sent in AntiEntropy(one, RegistrarSets(1)).receive(message, Endpoint('y', 1))
    ]
    rows = [row for message in answers for row in getattr(message, 'rows', ())]
    wanted = [message for message in answers if isinstance(message, RowsWanted)]
    assert rows == [newer]
    assert sum(len(message.digests) for message in wanted) == 1


def test_steady_state_stays_within_the_control_budget():
    agent, entry = steady_state_bytes(5700, 760, heartbeat_s=2, gossip_s=2)
    assert agent < BUDGET_BYTES_PER_S
    assert entry < BUDGET_BYTES_PER_S
