"""Exchange of membership and rule versions between entry instances.

The store is the source of registrations and rules. It can reject an entry instance,
lose its registration or report no more changes to its watch. The entry instance then
receives the missing information from its peers.
"""

from collections.abc import Iterator, Sequence
from random import Random
from typing import Final, NamedTuple, TypeVar

import xxhash

from persimmonreach.core import (
    Action,
    Count,
    Endpoint,
    EntryId,
    Event,
    LogStateChange,
    Received,
    Send,
    StateMachine,
    Tick,
)
from persimmonreach.discovery._agent_table import AgentTable
from persimmonreach.discovery._events import (
    AgentsDiscovered,
    EntriesDiscovered,
    PeersChanged,
    RulesRefreshed,
)
from persimmonreach.discovery.messages import (
    PeerMembership,
    PeerStatus,
    RegisteredAgent,
    RegisteredEntry,
)
from persimmonreach.rules import RulesOutdated, WatchAssigned

# Interval at which a watcher sends its status to all peers, and any other entry
# instance to one random peer.
EXCHANGE_INTERVAL_S: Final = 1.0
# Number of watchers: entry instances that watch the store with the short timeout on
# behalf of their peers. One of them may be partitioned from the store.
WATCHER_COUNT: Final = 2
# Two consecutive messages of a watcher may be lost or late.
WATCHER_TIMEOUT_S: Final = 2.5
# A peer is removed after this time without a message. The time exceeds the longest
# partition to be survived, since nothing else rediscovers a removed peer.
PEER_RETENTION_S: Final = 600.0
# Number of times in an exchange interval that this entry instance sends its members. All
# entry instances know different agents while they start; 59 of them that answered each
# status with 10 KB sent 29 MB between zones in the first seconds.
MAX_MEMBERSHIPS_PER_INTERVAL: Final = 8
# Number of members, of about 50 bytes each, that fit in a datagram of 1,200 bytes.
MEMBERS_PER_MESSAGE: Final = 20

_Member = TypeVar('_Member')


class _Peer(NamedTuple):
    registration: RegisteredEntry
    last_message_at: float


class EntryPeers(StateMachine):
    """Peers of an entry instance, with which it exchanges members and rule versions.

    Events: ``EntriesDiscovered``, ``RulesRefreshed``, ``Received`` with a
    ``PeerStatus`` or ``PeerMembership``, ``Tick``. Actions: ``Send``,
    ``AgentsDiscovered``, ``PeersChanged``, ``RulesOutdated``, ``WatchAssigned``,
    ``LogStateChange``, ``Count``.

    Parameters
    ----------
    own_registration
        Registration of this entry instance.
    agent_table
        Agents known to this entry instance.
    seeds
        Addresses that receive the status of this entry instance while no peer is
        known.
    random
        Source of the random choice of a peer.

    """

    def __init__(
        self,
        own_registration: RegisteredEntry,
        agent_table: AgentTable,
        seeds: Sequence[Endpoint],
        random: Random,
    ) -> None:
        self._own_registration = own_registration
        self._agent_table = agent_table
        self._seeds = tuple(seed for seed in seeds if seed != own_registration.endpoint)
        self._random = random
        self._peers: dict[EntryId, _Peer] = {}
        self._watcher_message_at: dict[EntryId, float] = {}
        self._rules = RulesRefreshed(0, 0, ())
        self._is_watcher = True
        # Peers whose latest status named other agents; one of them is asked next.
        self._differing_peers: set[EntryId] = set()
        self._remaining_memberships = MAX_MEMBERSHIPS_PER_INTERVAL
        self._next_exchange_at: float = 0

    @property
    def entries(self) -> tuple[RegisteredEntry, ...]:
        """All known entry instances including this one, sorted by id."""
        peers = (peer.registration for peer in self._peers.values())
        return tuple(sorted((self._own_registration, *peers)))

    @property
    def is_watcher(self) -> bool:
        """Whether this entry instance watches the store on behalf of its peers."""
        return self._is_watcher

    def handle(self, event: Event, now: float) -> tuple[Action, ...]:
        """Return the actions that ``event`` causes."""
        match event:
            case Received(sender, PeerStatus() as status):
                return self._on_status(sender, status, now)
            case Received(_, PeerMembership(agents, entries)):
                return (AgentsDiscovered(agents, False), *self._add_entries(entries, now))
            case EntriesDiscovered(entries):
                return self._add_entries(entries, now)
            case RulesRefreshed():
                return self._on_rules(event, now)
            case Tick():
                return self._on_tick(now)
            case _:
                return (Count('peers_unknown_events'),)

    def _on_status(
        self,
        sender: Endpoint,
        status: PeerStatus,
        now: float,
    ) -> tuple[Action, ...]:
        registration = RegisteredEntry(status.entry, status.zone, sender)
        actions: list[Action] = list(self._update_peer(registration, now))
        if status.watches_closely:
            self._watcher_message_at[status.entry] = now
        if status.response_requested:
            actions.append(Send(sender, self._build_status(now)))
        self._differing_peers.discard(status.entry)
        if status.agents_hash != self._hash_agents(now):
            self._differing_peers.add(status.entry)
            actions.extend(self._send_membership(sender, now))
        if self._has_newer_rules(status):
            actions.append(RulesOutdated(status.revision))
        return (*actions, *self._assign_watch(now))

    def _send_membership(self, peer: Endpoint, now: float) -> tuple[Action, ...]:
        if not self._remaining_memberships:
            return (Count('memberships_deferred'),)
        self._remaining_memberships -= 1
        return tuple(Send(peer, members) for members in self._build_membership(now))

    def _has_newer_rules(self, status: PeerStatus) -> bool:
        rules = self._rules
        is_different = (status.version, status.zones_out) != (
            rules.version,
            rules.zones_out,
        )
        return is_different and status.revision > rules.revision

    def _on_rules(self, event: RulesRefreshed, now: float) -> tuple[Action, ...]:
        is_change = event[1:] != self._rules[1:]
        self._rules = event
        if not (is_change and self._is_watcher):
            return ()
        return self._send_status(tuple(self._peers.values()), now)

    def _on_tick(self, now: float) -> tuple[Action, ...]:
        if now < self._next_exchange_at:
            return ()
        self._next_exchange_at = now + EXCHANGE_INTERVAL_S
        self._remaining_memberships = MAX_MEMBERSHIPS_PER_INTERVAL
        self._peers = {
            entry: peer
            for entry, peer in self._peers.items()
            if now - peer.last_message_at < PEER_RETENTION_S
        }
        peers = tuple(self._peers.values())
        watch_actions = self._assign_watch(now)
        if not peers:
            request = self._build_status(now)._replace(response_requested=True)
            return (*watch_actions, *(Send(seed, request) for seed in self._seeds))
        if self._is_watcher:
            return (*watch_actions, *self._send_status(peers, now))
        return (*watch_actions, *self._send_status((self._choose_peer(),), now))

    def _choose_peer(self) -> _Peer:
        """Return a peer that knows other agents if there is one, or else any peer.

        The chosen peer responds with its agents if they differ. Random peers alone may
        all be gone, and an agent that only some entry instances hear is learned late.
        """
        differing_peers = sorted(self._differing_peers & self._peers.keys())
        self._differing_peers.clear()
        return self._peers[self._random.choice(differing_peers or sorted(self._peers))]

    def _send_status(self, peers: Sequence[_Peer], now: float) -> tuple[Action, ...]:
        status = self._build_status(now)
        return tuple(Send(peer.registration.endpoint, status) for peer in peers)

    def _add_entries(
        self,
        entries: Sequence[RegisteredEntry],
        now: float,
    ) -> tuple[Action, ...]:
        own_entry = self._own_registration.entry
        new_registrations = [
            registration
            for registration in entries
            if registration.entry not in self._peers and registration.entry != own_entry
        ]
        self._peers.update(
            (registration.entry, _Peer(registration, now))
            for registration in new_registrations
        )
        if not new_registrations:
            return ()
        request = self._build_status(now)._replace(response_requested=True)
        requests = tuple(
            Send(registration.endpoint, request) for registration in new_registrations
        )
        return (*requests, self._peers_changed())

    def _update_peer(
        self, registration: RegisteredEntry, now: float
    ) -> tuple[Action, ...]:
        known_peer = self._peers.get(registration.entry)
        self._peers[registration.entry] = _Peer(registration, now)
        if known_peer is not None and known_peer.registration == registration:
            return ()
        return (self._peers_changed(),)

    def _peers_changed(self) -> PeersChanged:
        peers = self._peers.values()
        return PeersChanged(tuple(peer.registration.endpoint for peer in peers))

    def _assign_watch(self, now: float) -> tuple[Action, ...]:
        """Make this entry instance a watcher unless enough peers with lower ids are."""
        lower_watchers = [
            entry
            for entry, last_message_at in self._watcher_message_at.items()
            if entry < self._own_registration.entry
            and now - last_message_at < WATCHER_TIMEOUT_S
        ]
        is_watcher = len(lower_watchers) < WATCHER_COUNT
        if is_watcher == self._is_watcher:
            return ()
        self._is_watcher = is_watcher
        role = 'close' if is_watcher else 'relaxed'
        return (
            WatchAssigned(is_watcher),
            LogStateChange('watch_assigned', role, ', '.join(lower_watchers)),
        )

    def _build_status(self, now: float) -> PeerStatus:
        return PeerStatus(
            self._own_registration.entry,
            self._own_registration.zone,
            self._hash_agents(now),
            *self._rules,
            watches_closely=self._is_watcher,
        )

    def _hash_agents(self, now: float) -> int:
        agents = sorted(
            record.agent for record in self._agent_table.responsive_agents(now)
        )
        return xxhash.xxh3_64_intdigest('\n'.join(agents).encode())

    def _build_membership(self, now: float) -> Iterator[PeerMembership]:
        agents = [
            RegisteredAgent(
                record.agent, record.status.service, record.status.zone, record.endpoint
            )
            for record in self._agent_table.responsive_agents(now)
        ]
        for batch in _batches(agents):
            yield PeerMembership(batch, ())
        entries = [
            self._own_registration,
            *(peer.registration for peer in self._peers.values()),
        ]
        for batch in _batches(entries):
            yield PeerMembership((), batch)


def _batches(members: Sequence[_Member]) -> Iterator[tuple[_Member, ...]]:
    for start in range(0, len(members), MEMBERS_PER_MESSAGE):
        yield tuple(members[start : start + MEMBERS_PER_MESSAGE])
