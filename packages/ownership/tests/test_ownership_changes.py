"""Guards against broken flows and lost or doubled tokens in single, known cases."""

import pytest

from persimmonreach import ownership as own
from persimmonreach.core import BUCKETS_PER_SERVICE, Received, bucket_of
from persimmonreach.membership import MemberState
from persimmonreach.ownership.messages import ClaimBuckets, GrantBucket, Sender

QUIET_S = 35  # Longer than the adoption grace, so that a reset is possible.


def keys(count):
    return [b'\x06%012d' % number for number in range(count)]


@pytest.fixture
def net(world):
    """Return three agents that own all buckets."""
    net = world(agents=3)
    net.run_until_owned()
    return net


def open_flows(net, count):
    for key in keys(count):
        net.packet(net.nodes['agent-0'], key)
    net.run(QUIET_S)
    assert sum(len(node.flows) for node in net.nodes.values()) == count


def delivered(net, count):
    """Send one packet of each flow through each agent; return the deliveries."""
    net.actions.clear()
    for node in net.nodes.values():
        for key in keys(count):
            if node.is_well:
                net.packet(node, key, first=False)
    net.run(1)
    return [action for _, action in net.actions if isinstance(action, own.DeliverLocal)]


def drain(net, name):
    net.set_state(name, MemberState.DRAINING)


def of_type(net, action_type):
    return [action for _, action in net.actions if isinstance(action, action_type)]


def test_killed_owner_is_replaced_within_ten_seconds(net):
    net.kill('agent-0')
    net.run(10)
    assert len(net.owned()) == BUCKETS_PER_SERVICE


def test_owner_killed_during_a_grant(net):
    net.delay_of[GrantBucket] = 1
    drain(net, 'agent-0')
    net.run(0.8)
    net.kill('agent-0')
    net.run_until_owned(limit=15)


def test_old_grant_is_refused(net):
    net.delay_of[GrantBucket] = 2.5
    drain(net, 'agent-0')
    net.run(8)
    assert net.counts['grants_refused']
    net.run_until_owned()


def test_two_claimants_for_the_buckets_of_a_killed_owner(net):
    net.kill('agent-0')
    net.run(3.9)
    net.join('agent-3', 'zone-0')
    net.run_until_owned()
    net.run(5)
    assert len(net.owned()) == BUCKETS_PER_SERVICE


def test_paused_owner_admits_nothing_when_it_wakes(net):
    sleeper = net.nodes['agent-0']
    sleeper.paused = True
    net.run(12)
    assert len(net.owned()) == BUCKETS_PER_SERVICE
    for key in keys(50):
        net.packet(sleeper, key)
        net.packet(net.nodes['agent-1'], key)
    net.run(1)
    net.wake('agent-0')
    net.run(1)
    net.run_until_owned()
    assert net.counts['tokens_dropped']
    assert net.counts['first_packets_stale'] == 50
    assert len(net.placed) == 50


def test_planned_move_keeps_open_flows(net):
    open_flows(net, 100)
    drain(net, 'agent-0')
    net.run(3)
    assert not net.nodes['agent-0'].machine.owned
    assert len(delivered(net, 100)) == 300
    assert net.counts['tokens_regenerated'] == BUCKETS_PER_SERVICE


def test_twenty_successive_changes_keep_all_flows(net):
    open_flows(net, 60)
    for change in range(20):
        name = f'agent-{change // 2 % 3}'
        net.set_state(name, MemberState.ACTIVE if change % 2 else MemberState.DRAINING)
        net.run(5)
        assert len(delivered(net, 60)) == 180
    assert not of_type(net, own.ResetCaller)
    assert len(net.owned()) == BUCKETS_PER_SERVICE


@pytest.mark.parametrize('mechanism', ['handover', 'lookup'])
def test_flows_survive_with_either_handover_or_lookup(world, mechanism):
    net = world(settings=own.OwnershipSettings()._replace(**{mechanism: False}))
    net.run_until_owned()
    open_flows(net, 60)
    drain(net, 'agent-0')
    net.run(5)
    assert len(delivered(net, 60)) >= 60
    assert not of_type(net, own.ResetCaller)


def test_without_handover_and_lookup_a_live_flow_is_reset(world):
    net = world(settings=own.OwnershipSettings(handover=False, lookup=False))
    net.run_until_owned()
    net.run(QUIET_S)
    open_flows(net, 60)
    drain(net, 'agent-0')
    net.run(5)
    with pytest.raises(AssertionError, match='reset of a live flow'):
        delivered(net, 60)


def test_zone_out_and_back(net):
    open_flows(net, 60)
    in_zone = len(net.nodes['agent-0'].flows)
    net.set_zones_out('zone-0')
    net.run(5)
    assert not net.nodes['agent-0'].machine.owned
    assert len(net.owned()) == BUCKETS_PER_SERVICE
    assert in_zone
    assert len(of_type(net, own.EndLocalFlow)) == in_zone
    assert of_type(net, own.ResetFlow)
    net.set_zones_out()
    net.run(5)
    assert net.nodes['agent-0'].machine.owned
    assert len(delivered(net, 60)) == (60 - in_zone) * 3


def test_caller_whose_reset_was_lost_is_reset_again_after_a_zone_is_out(net):
    open_flows(net, 60)
    agent = net.nodes['agent-0']
    # The agent repeats the resets of flows in its own buckets itself.
    ended = {key for key in agent.flows if bucket_of(key) not in agent.machine.owned}
    assert ended
    # A restart a moment ago keeps lookups from ending in a reset.
    net.restart('agent-1')
    net.run(8)
    net.set_zones_out('zone-0')
    net.run(5)
    net.actions.clear()
    for key in ended:
        net.packet(net.nodes['agent-1'], key, first=False)
    net.run(2)
    assert {action.header.key for action in of_type(net, own.ResetCaller)} == ended


def test_restarted_holder_keeps_its_flows(net):
    open_flows(net, 60)
    for name in net.nodes:
        net.restart(name)
        net.run(2)
    net.run_until_owned()
    net.run(2)
    assert len(delivered(net, 60)) == 180


def test_unknown_flow_is_reset_once_all_members_answered(net):
    net.run(QUIET_S)
    key = keys(1)[0]
    owner = net.owned()[bucket_of(key)]
    net.packet(owner, key, first=False)
    net.run(1)
    assert len(of_type(net, own.ResetCaller)) == 1


def test_lookup_without_all_answers_resets_nobody(net):
    net.run(QUIET_S)
    key = keys(1)[0]
    owner = net.owned()[bucket_of(key)]
    other = next(node for node in net.nodes.values() if node is not owner)
    other.paused = True
    net.packet(owner, key, first=False)
    net.run(2.5)
    assert not of_type(net, own.ResetCaller)
    assert net.counts['lookups_unanswered'] == 1


def test_hop_limit_ends_a_loop(net):
    key = keys(1)[0]
    owner = net.owned()[bucket_of(key)]
    other = next(node for node in net.nodes.values() if node is not owner)
    net.packet(other, key, hops=3)
    net.run(1)
    assert net.counts['packets_dropped_hop_limit'] == 1
    assert not net.placed


def test_copies_during_a_slow_placement_and_a_move_are_not_admitted(world):
    net = world(delay=0.4)
    net.run_until_owned()
    for key in keys(40):
        net.packet(net.nodes['agent-0'], key)
        net.packet(net.nodes['agent-1'], key)
    drain(net, 'agent-0')
    for _ in range(10):
        net.run(0.3)
        for key in keys(40):
            net.packet(net.nodes['agent-2'], key)
    net.run(3)
    assert len(net.placed) == 40
    assert net.counts['packets_of_pending_placement']


def test_conflict_keeps_the_recorded_flow_if_it_is_established(net):
    open_flows(net, 60)
    delivered(net, 60)
    key, holder = next(
        (key, node)
        for node in net.nodes.values()
        for key in sorted(node.flows)
        if net.owned()[bucket_of(key)] is not node
    )
    third = next(
        node
        for node in net.nodes.values()
        if node not in {holder, net.owned()[bucket_of(key)]}
    )
    third.flows.add(key)
    net.at(0, third, own.LocalFlowsAdopted((key,)))
    net.run(2)
    assert key in holder.flows
    assert key not in third.flows
    assert net.counts['flow_conflicts'] == 1


def test_large_bucket_moves_in_small_datagrams(net):
    bucket = next(
        bucket for bucket, node in net.owned().items() if node.row.agent == 'agent-0'
    )
    many = [key for key in keys(20000) if bucket_of(key) == bucket]
    net.nodes['agent-1'].flows.update(many)
    net.at(0, net.nodes['agent-1'], own.LocalFlowsAdopted(tuple(many)))
    net.run(2)
    drain(net, 'agent-0')
    net.run(5)
    assert len(many) > 250
    assert len(net.owned()) == BUCKETS_PER_SERVICE


@pytest.mark.parametrize(('block', 'is_owned'), [(3, False), (0, True)])
def test_answered_claim_blocks_own_claims(world, block, is_owned):
    net = world(settings=own.OwnershipSettings(claim_block=block))
    net.run(2.8)
    node = net.nodes['agent-0']
    bucket = next(
        bucket
        for bucket in range(BUCKETS_PER_SERVICE)
        if node.view.expected_owner(bucket, ()).agent == 'agent-0'
    )
    claim = ClaimBuckets(Sender('agent-1', 99, 7), 1, (bucket,))
    net.at(0, node, Received(net.nodes['agent-1'].row.endpoint, claim))
    net.run(2)
    assert (bucket in node.machine.owned) is is_owned
    net.run_until_owned()


def test_placement_of_a_former_owner_is_refused_after_a_claim(net):
    key = keys(1)[0]
    bucket = bucket_of(key)
    owner = net.owned()[bucket]
    node = next(peer for peer in net.nodes.values() if peer is not owner)
    claim = ClaimBuckets(Sender('agent-9', 4, 7), 1, (bucket,))
    net.at(0, node, Received(owner.row.endpoint, claim))
    net.step()
    former = (owner.row.agent, owner.row.incarnation)
    assert not node.machine.accepts_placement(key, former, net.now)
    assert node.machine.accepts_placement(key, ('agent-9', 4), net.now)
    assert not node.machine.accepts_placement(key, ('agent-9', 3), net.now)
    assert node.machine.accepts_placement(key, former, net.now + 10)
