"""Guards against a lease that outlasts its agent's death, and against views that part.

The harness checks after each step that no entry instance lists an agent as
dead while that agent holds a lease, that rows never go backwards and that
equal digests mean equal views.
"""

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from persimmonreach.membership import MembershipSettings

SETTLE_S = 30
QUICK = MembershipSettings(handover_s=4.5)
FAULTS = st.lists(
    st.tuples(
        st.sampled_from(('pause', 'kill', 'partition', 'restart_entry', 'heal', 'wait')),
        st.integers(0, 8),
        st.sampled_from((0.5, 2, 3.5, 6)),
    ),
    min_size=4,
    max_size=10,
)


def inject(cluster, fault, index):
    names = sorted(cluster.nodes)
    name = names[index % len(names)]
    match fault:
        case 'pause':
            cluster.pause(name, 1 + index)
        case 'kill' if name.startswith('a'):
            cluster.kill(name)
            cluster.start_agent(name, index % 3, int(cluster.now * 1000) + 2000)
        case 'partition':
            cluster.partition(names[index % 3 :: 3])
        case 'restart_entry':
            entry = f'e{index % len(cluster.listed)}'
            cluster.kill(entry)
            cluster.start_entry(entry)
        case 'heal':
            cluster.cut = set()


def check_healed(cluster):
    cluster.loss = 0
    cluster.cut = set()
    cluster.run(SETTLE_S)
    entries = [node for name, node in cluster.nodes.items() if name.startswith('e')]
    assert len({node.digest for node in entries}) == 1
    assert all(node.synced for node in entries)
    view = entries[0].view(7)
    for name, node in cluster.nodes.items():
        if name.startswith('a'):
            assert node.view == view
            assert view.find(name).is_eligible
            assert node.valid_until > cluster.now + cluster.offsets[name]


@settings(max_examples=40, deadline=None, derandomize=True, database=None)
@given(FAULTS, st.integers(0, 1000))
def test_faults_in_any_order(new_cluster, faults, seed):
    cluster = new_cluster(entries=3 + seed % 3, agents=4 + seed % 4, seed=seed, loss=0.1)
    cluster.run(6)
    for fault, index, seconds in faults:
        inject(cluster, fault, index)
        cluster.run(seconds)
    check_healed(cluster)


@pytest.mark.parametrize('seed', range(6))
def test_list_changes_among_losses(new_cluster, seed):
    cluster = new_cluster(entries=5, agents=6, seed=seed, loss=0.2)
    cluster.run(6)
    for round_ in range(5):
        gone = cluster.rng.choice(sorted(cluster.listed))
        entry = cluster.listed.pop(gone)
        cluster.kill(gone)
        name = f'e{10 + round_}'
        cluster.listed[name] = entry._replace(
            entry=name, endpoint=entry.endpoint._replace(host=name)
        )
        cluster.start_entry(name)
        # Only one entry instance hears of the list from the store.
        cluster.publish_list(to=[cluster.rng.choice(sorted(cluster.listed))])
        cluster.pause(f'a{round_}', cluster.rng.choice((1, 5, 8)))
        cluster.run(6)
    check_healed(cluster)


def test_check_finds_missing_fence(new_cluster):
    new_cluster(settings=QUICK, loss=0.3).run(120)
    cluster = new_cluster(settings=QUICK._replace(fencing=False), loss=0.3)
    with pytest.raises(AssertionError, match='is dead and holds a lease'):
        cluster.run(120)


def lose_deltas(new_cluster, settings):
    cluster = new_cluster(entries=4, settings=settings, loss=0.3)
    cluster.run(6)
    for index in range(4):
        cluster.kill(f'a{index}')
        cluster.start_agent(f'a{index}', index % 3, 5000)
    cluster.drops = lambda _source, target, message: (
        target == 'e3' and type(message).__name__ == 'MemberRows'
    )
    cluster.run(6)
    cluster.drops = lambda _source, _target, _message: False
    return cluster


def test_check_finds_missing_anti_entropy(new_cluster):
    check_healed(lose_deltas(new_cluster, QUICK))
    cluster = lose_deltas(new_cluster, QUICK._replace(anti_entropy=False))
    with pytest.raises(AssertionError):
        check_healed(cluster)
