"""Guards against single faults: pauses, restarts, replacements, partitions, losses."""

import pytest

from persimmonreach.core import StateChange
from persimmonreach.membership import (
    LeaseLapsed,
    MembershipSettings,
    MemberState,
    ReportLoad,
    StateAnnounced,
    ViewChanged,
    choose_registrars,
)

SERVICE = 7


def entries_of(cluster):
    return [node for name, node in cluster.nodes.items() if name.startswith('e')]


def has_lease(cluster, name):
    valid_until = cluster.nodes[name].valid_until
    return valid_until is not None and valid_until > cluster.now + cluster.offsets[name]


def registrars_of(cluster):
    return [
        row.entry for row in choose_registrars(SERVICE, tuple(cluster.listed.values()))
    ]


def actions_of(cluster, kind, name):
    return [action for action in cluster.actions[name] if isinstance(action, kind)]


def test_woken_agent_returns_as_higher_incarnation(new_cluster):
    cluster = new_cluster()
    cluster.run(8)
    cluster.pause('a1', 8)
    cluster.run(7.5)
    assert not cluster.nodes['e0'].view(SERVICE).find('a1').alive
    cluster.run(4)
    assert actions_of(cluster, LeaseLapsed, 'a1')[-1].incarnation > 1000
    assert has_lease(cluster, 'a1')
    assert all(node.view(SERVICE).find('a1').is_eligible for node in entries_of(cluster))


def test_agent_declared_dead_by_each_registrar_before_its_first_lease(new_cluster):
    cluster = new_cluster()
    cluster.run(8)
    cluster.drops = lambda _source, target, _message: target == 'a9'
    cluster.start_agent('a9', 0, 1000)
    cluster.pause('a9', 12)
    cluster.run(13)
    cluster.drops = lambda _source, _target, _message: False
    cluster.run(6)
    assert has_lease(cluster, 'a9')


def test_lease_survives_restart_of_one_registrar(new_cluster):
    cluster = new_cluster(entries=5)
    cluster.run(8)
    name = registrars_of(cluster)[0]
    cluster.kill(name)
    cluster.run(3)
    cluster.start_entry(name)
    cluster.run(10)
    for index in range(4):
        assert not actions_of(cluster, LeaseLapsed, f'a{index}')
        assert has_lease(cluster, f'a{index}')


def test_paused_registrar_accuses_nobody(new_cluster):
    cluster = new_cluster()
    cluster.run(8)
    cluster.pause('e0', 10)
    cluster.run(20)
    assert all(not row.accusers for node in entries_of(cluster) for row in node.rows)


def test_start_of_all_instances_together_raises_no_incarnation(new_cluster):
    cluster = new_cluster()
    cluster.run(8)
    for index in range(4):
        assert has_lease(cluster, f'a{index}')
        assert cluster.nodes[f'a{index}'].member.incarnation == 1000


def test_lapse_ends_when_registrars_return(new_cluster):
    cluster = new_cluster()
    cluster.run(8)
    names = registrars_of(cluster)
    for name in names:
        cluster.kill(name)
    cluster.run(5)
    assert not any(has_lease(cluster, f'a{index}') for index in range(4))
    for name in names:
        cluster.start_entry(name)
    cluster.run(8)
    assert all(has_lease(cluster, f'a{index}') for index in range(4))


def test_replaced_registrar_takes_over_without_lapse(new_cluster):
    cluster = new_cluster(entries=3)
    cluster.run(12)
    entry = cluster.listed.pop('e0')
    cluster.kill('e0')
    cluster.run(5)
    endpoint = entry.endpoint._replace(host='e9')
    cluster.listed['e9'] = entry._replace(entry='e9', endpoint=endpoint)
    cluster.start_entry('e9')
    cluster.publish_list(to=['e9'])
    cluster.run(12)
    assert 'e9' in registrars_of(cluster)
    assert all(not actions_of(cluster, LeaseLapsed, f'a{index}') for index in range(4))
    cluster.kill('e1')
    cluster.run(8)
    assert all(has_lease(cluster, f'a{index}') for index in range(4))


def test_region_partition_and_rejoin(new_cluster):
    cluster = new_cluster(entries=4, agents=6)
    cluster.run(12)
    names = registrars_of(cluster)
    minority = [names[0], 'a0', 'a3']
    cluster.partition(minority)
    cluster.run(5)
    cluster.kill('a5')
    cluster.run(180)
    assert not has_lease(cluster, 'a0')
    assert has_lease(cluster, 'a1')
    cluster.cut = set()
    cluster.run(10)
    for node in entries_of(cluster):
        view = node.view(SERVICE)
        assert [row.agent for row in view.members if not row.alive] == ['a5']
    assert has_lease(cluster, 'a0')
    assert len({node.digest for node in entries_of(cluster)}) == 1


def test_removed_row_is_not_revived_by_late_region(new_cluster):
    settings = MembershipSettings(handover_s=4.5, retention_s=20)
    cluster = new_cluster(entries=4, settings=settings)
    cluster.run(12)
    cut = [name for name in cluster.listed if name not in registrars_of(cluster)]
    cluster.partition(cut)
    cluster.kill('a0')
    cluster.run(60)
    assert cluster.nodes[cut[0]].view(SERVICE).find('a0').alive
    seen = cluster.nodes['a1'].view
    assert seen.find('a0') is None
    cluster.cut = set()
    cluster.run(10)
    dead = [node.view(SERVICE).find('a0') for node in entries_of(cluster)]
    assert not any(row and row.alive for row in dead)
    cluster.run(40)
    assert all(node.view(SERVICE).find('a0') is None for node in entries_of(cluster))
    assert len({node.digest for node in entries_of(cluster)}) == 1


def test_joining_entry_instance_is_not_synced_before_it_has_all_rows(new_cluster):
    cluster = new_cluster(entries=5, agents=7)
    outside = [name for name in cluster.listed if name not in registrars_of(cluster)]
    cluster.run(8)
    cluster.kill(outside[0])
    cluster.start_entry(outside[0])
    node = cluster.nodes[outside[0]]
    assert not node.synced
    while not node.synced:
        cluster.run(0.1)
        assert cluster.now < 20
    assert node.digest == cluster.nodes[outside[1]].digest


def test_two_joining_entry_instances_do_not_vouch_for_each_other(new_cluster):
    cluster = new_cluster(entries=5, agents=7)
    outside = [name for name in cluster.listed if name not in registrars_of(cluster)]
    cluster.run(8)
    for name in outside:
        cluster.kill(name)
    for name in outside:
        cluster.start_entry(name)
    cluster.partition(outside)
    cluster.run(3)
    assert not any(cluster.nodes[name].synced for name in outside)
    cluster.cut = set()
    cluster.run(3)
    assert all(cluster.nodes[name].synced for name in outside)
    assert len({node.digest for node in entries_of(cluster)}) == 1


def test_replaced_process_never_renews_its_lease(new_cluster):
    cluster = new_cluster()
    cluster.run(8)
    old = cluster.nodes.pop('a1')
    cluster.nodes['old'] = old
    cluster.offsets['old'] = cluster.offsets['a1']
    cluster.actions['old'] = []
    cluster.start_agent('a1', 1, 5000)
    acks = []
    cluster.drops = lambda source, target, message: (
        target == 'a1' and acks.append((source, message)) is not None
    )
    cluster.run(3)
    for source, message in acks:
        cluster._transmit(source, 'old', message)
    cluster.drops = lambda _source, _target, _message: False
    cluster.run(5)
    assert old.valid_until is None
    assert StateChange('agent_replaced', 'a1', '5000') in cluster.actions['old']
    assert has_lease(cluster, 'a1')


def test_process_continues_above_incarnation_of_a_fast_clock(new_cluster):
    cluster = new_cluster()
    cluster.run(8)
    cluster.kill('a1')
    cluster.start_agent('a1', 1, 10)
    cluster.run(8)
    assert cluster.nodes['a1'].member.incarnation > 1000
    assert has_lease(cluster, 'a1')


def test_loss_of_a_zone_is_one_batch_a_registrar(new_cluster):
    cluster = new_cluster(entries=3, agents=7)
    cluster.run(12)
    cluster.sent.clear()
    for name in [name for name in cluster.nodes if name[0] == 'a'][:5]:
        cluster.kill(name)
    cluster.run(8)
    view = cluster.nodes['e0'].view(SERVICE)
    assert [row.alive for row in view.members].count(False) == 5
    for name in registrars_of(cluster):
        # Heartbeats of the lost agents ended within one period, so that two
        # scans find them; each goes to two peers.
        assert cluster.sent[name, 'MemberRows'] <= 6


def test_lost_delta_is_repaired(new_cluster):
    cluster = new_cluster(entries=4)
    cluster.run(8)
    cluster.drops = lambda _source, _target, message: (
        type(message).__name__ == 'MemberRows'
    )
    cluster.post('a1', StateAnnounced(MemberState.DRAINING))
    cluster.run(1)
    cluster.drops = lambda _source, _target, _message: False
    cluster.run(8)
    for node in entries_of(cluster):
        assert node.view(SERVICE).find('a1').state is MemberState.DRAINING


def test_draining_reaches_all_views_within_seconds(new_cluster):
    cluster = new_cluster(entries=4)
    cluster.run(8)
    cluster.post('a1', StateAnnounced(MemberState.DRAINING))
    cluster.run(2)
    assert cluster.nodes['a1'].is_announced
    for name in cluster.nodes:
        node = cluster.nodes[name]
        view = node.view(SERVICE) if name[0] == 'e' else node.view
        assert view.find('a1').state is MemberState.DRAINING
    assert actions_of(cluster, ViewChanged, 'e3')
    assert len(actions_of(cluster, ReportLoad, 'a0')[-1].endpoints) == 3


@pytest.mark.parametrize('zones', [1, 2, 3, 5])
def test_registrars_are_spread_over_zones(new_cluster, zones):
    listed = tuple(new_cluster(entries=5, agents=0).listed.values())
    entries = [row._replace(zone=f'z{index % zones}') for index, row in enumerate(listed)]
    for service in range(40):
        chosen = choose_registrars(service, entries)
        assert len(chosen) == 3
        assert len({row.zone for row in chosen}) == min(zones, 3)
        assert chosen == choose_registrars(service, list(reversed(entries)))
