"""In-memory harness: virtual time, seeded loss and delay, pauses and partitions."""

import heapq
import random
from collections import Counter
from itertools import count

import pytest

from persimmonreach.configuration import EntriesChanged, EntryInstance
from persimmonreach.core import Endpoint, EntryId, Received, Send, ServiceId, Tick, Zone
from persimmonreach.membership import (
    AgentMembership,
    EntryMembership,
    Member,
    MembershipSettings,
    MemberState,
    StateAnnounced,
)

STEP_S = 0.1
SERVICE = ServiceId(7)
QUICK = MembershipSettings(handover_s=4.5)


class Cluster:
    """Entry instances ``e<i>`` and agents ``a<i>`` on one virtual network."""

    def __init__(self, entries=3, agents=4, settings=QUICK, seed=1, loss=0):
        self.rng = random.Random(seed)
        self.settings = settings
        self.loss = loss
        self.now = float(0)
        self.nodes = {}
        self.listed = {}
        self.offsets = {}
        self.paused = {}
        self.cut = set()
        self.queue = []
        self.order = count()
        self.actions = {}
        self.sent = Counter()
        self.rows_seen = {}
        self.drops = _drop_nothing
        self.version = 0
        for index in range(entries):
            name = f'e{index}'
            self.listed[name] = EntryInstance(
                EntryId(name), Zone(f'z{index % 3}'), Endpoint(name, 1)
            )
        for name in tuple(self.listed):
            self.start_entry(name)
        self.publish_list()
        for index in range(agents):
            self.start_agent(f'a{index}', index % 3, 1000)

    def start_entry(self, name):
        self.offsets.setdefault(name, self.rng.uniform(100, 9000))
        self.rows_seen = {key: at for key, at in self.rows_seen.items() if key[0] != name}
        self._add(name, EntryMembership(self.listed[name], self.settings, self.rng))
        if self.version:
            self._give_list(name)

    def start_agent(self, name, zone, incarnation):
        self.offsets.setdefault(name, self.rng.uniform(100, 9000))
        member = Member(
            name, incarnation, SERVICE, f'z{zone}', Endpoint(name, 1), MemberState.JOINING
        )
        seeds = [entry.endpoint for entry in self.listed.values()]
        self._add(name, AgentMembership(member, self.settings, seeds, self.rng))
        self.post(name, StateAnnounced(MemberState.ACTIVE))

    def publish_list(self, to=None):
        self.version += 1
        for name in to or [node for node in self.nodes if node.startswith('e')]:
            self._give_list(name)

    def kill(self, name):
        self.nodes.pop(name)

    def pause(self, name, seconds):
        self.paused[name] = self.now + seconds

    def partition(self, side):
        others = set(self.nodes) - set(side)
        self.cut = {(a, b) for a in side for b in others}
        self.cut |= {(b, a) for a, b in self.cut}

    def post(self, name, event):
        if name not in self.nodes:
            return
        actions = self.nodes[name].handle(event, self.now + self.offsets[name])
        for action in actions:
            if isinstance(action, Send):
                self._transmit(name, action.to.host, action.message)
            else:
                self.actions[name].append(action)

    def run(self, seconds, check=True):
        end = self.now + seconds
        while self.now < end:
            self.now += STEP_S
            while self.queue and self.queue[0][0] <= self.now:
                at, order, source, target, message = heapq.heappop(self.queue)
                if self.paused.get(target, 0) > self.now:
                    held = (self.paused[target] + STEP_S, order, source, target, message)
                    heapq.heappush(self.queue, held)
                else:
                    self.post(target, Received(Endpoint(source, 1), message))
            for name in tuple(self.nodes):
                if self.paused.get(name, 0) <= self.now:
                    self.post(name, Tick())
            if check:
                self.check()

    def check(self):
        views = {}
        for name, node in self.nodes.items():
            if name.startswith('e'):
                view = node.view(SERVICE)
                for member in view.members:
                    order = (member.incarnation, member.state, not member.alive)
                    assert self.rows_seen.get((name, member.agent), order) <= order
                    self.rows_seen[name, member.agent] = order
                    self._check_lease(member)
            else:
                view = node.view
            assert views.setdefault(view.digest, view.members) == view.members

    def _check_lease(self, member):
        agent = self.nodes.get(member.agent)
        if agent is None or member.alive:
            return
        valid_until = agent.valid_until or 0
        if agent.member.incarnation == member.incarnation:
            now = self.now + self.offsets[member.agent]
            assert valid_until <= now, f'{member.agent} is dead and holds a lease'

    def _add(self, name, node):
        self.nodes[name] = node
        self.actions[name] = []

    def _give_list(self, name):
        self.post(name, EntriesChanged(self.version, tuple(self.listed.values())))

    def _transmit(self, source, target, message):
        self.sent[source, type(message).__name__] += 1
        if (source, target) in self.cut or self.drops(source, target, message):
            return
        copies = 2 if self.rng.random() < self.loss else 1
        for _ in range(copies):
            if self.rng.random() >= self.loss:
                slow = self.rng.random() < self.loss / 5
                longest = 2 if slow else 0.15
                at = self.now + self.rng.uniform(0.001, longest)
                item = (at, next(self.order), source, target, message)
                heapq.heappush(self.queue, item)


def _drop_nothing(_source, _target, _message):
    return False


@pytest.fixture(scope='session')
def new_cluster():
    """Return the harness class."""
    return Cluster
