"""Guards against two owners, second placements, resets of live flows and lost tokens."""

import random

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from persimmonreach.membership import MemberState
from persimmonreach.ownership import OwnershipSettings

NAMES = ('agent-0', 'agent-1', 'agent-2', 'agent-3')


def key_of(number):
    return b'\x06%012d' % number


def traffic(net, rng, keys):
    """Send a first packet, copies of earlier ones, and packets of open flows."""
    up = [node for node in net.nodes.values() if node.up]
    key = key_of(len(keys) + 1)
    keys.append((key, net.now))
    net.packet(rng.choice(up), key)
    for copy, sent_at in keys[-20:]:
        if net.now < sent_at + 2 and rng.randrange(3) == 0:
            net.packet(rng.choice(up), copy)
    for node in up:
        for open_key in sorted(node.flows)[-2:]:
            net.packet(rng.choice(up), open_key, first=False)


def fault(net, rng, name):
    """Apply one random fault or change to one agent, or undo the last one."""
    node = net.nodes[name]
    if node.paused:
        net.wake(name)
    elif node.cut or node.row.state is MemberState.DRAINING:
        node.cut = False
        net.set_state(name, MemberState.ACTIVE)
    elif node.up:
        new_fault(net, rng, name)
    else:
        net.restart(name)


def new_fault(net, rng, name):
    node = net.nodes[name]
    kind = rng.choice(('kill', 'restart', 'paused', 'cut', 'drain', 'zone'))
    if kind in {'paused', 'cut'}:
        setattr(node, kind, True)
    elif kind == 'drain':
        net.set_state(name, MemberState.DRAINING)
    elif kind == 'zone':
        net.set_zones_out(*([] if net.zones_out else [node.row.zone]))
    elif kind == 'kill' and sum(peer.up for peer in net.nodes.values()) > 1:
        net.kill(name)
    else:
        net.restart(name)


def heal(net):
    net.loss = 0
    for name, node in net.nodes.items():
        while not node.is_well or node.row.state is MemberState.DRAINING:
            fault(net, random.Random(0), name)
    net.run(1)
    net.set_zones_out()


def run_faults(world, seed, options=None):
    rng = random.Random(seed)
    net = world(agents=4, seed=seed, loss=0.1, delay=0.05, settings=options)
    keys = []
    for _ in range(12):
        for _ in range(rng.randrange(5, 45)):
            net.step()
            traffic(net, rng, keys)
        fault(net, rng, rng.choice(NAMES))
    return net


@pytest.mark.parametrize('seed', range(8))
def test_random_faults_keep_the_invariants(world, seed):
    net = run_faults(world, seed)
    heal(net)
    net.run_until_owned(limit=40)
    assert net.placed


@settings(derandomize=True, deadline=None, max_examples=8)
@given(
    script=st.lists(st.tuples(st.sampled_from(NAMES), st.integers(1, 60)), max_size=6),
    seed=st.integers(0, 9),
)
def test_short_fault_scripts_keep_the_invariants(world, script, seed):
    net = world(agents=4, seed=seed, loss=0.05, delay=0.05)
    rng = random.Random(seed)
    keys = []
    net.run_until_owned()
    for name, steps in script:
        fault(net, rng, name)
        for _ in range(steps):
            net.step()
            traffic(net, rng, keys)
    heal(net)
    net.run_until_owned(limit=40)


def run_until_red(world, options):
    for seed in range(12):
        run_faults(world, seed, options)


def test_without_fencing_the_invariants_turn_red(world):
    options = OwnershipSettings(fencing=False)
    with pytest.raises(AssertionError, match='two agents admit|second placement'):
        run_until_red(world, options)
