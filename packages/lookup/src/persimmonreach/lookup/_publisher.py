"""Publication of the open flows of an agent to their directories."""

from collections import defaultdict
from collections.abc import Iterable, Iterator, Mapping
from itertools import islice
from typing import Final, NamedTuple

from persimmonreach.core import (
    Action,
    AgentId,
    Count,
    Endpoint,
    EntryId,
    Event,
    FlowKey,
    Incarnation,
    Send,
    StateMachine,
)
from persimmonreach.lookup._directories import REPUBLISH_INTERVAL_S, directories_of
from persimmonreach.lookup.messages import FlowsPublished

# Limits the processor time of a round: selecting the directories of one flow among
# 760 entry instances takes 0.2 ms.
MAX_FLOWS_PER_ROUND: Final = 50
# This number of 14-byte keys fits a datagram of 1,200 bytes.
MAX_KEYS_PER_MESSAGE: Final = 64


class DirectoryProcess(NamedTuple):
    """Process of an entry instance that stores published flows.

    Attributes
    ----------
    endpoint
        Address of the process.
    incarnation
        Differs from that of each earlier process of the entry instance.

    """

    endpoint: Endpoint
    incarnation: Incarnation


class PublishRound(NamedTuple):
    """Event: publish the open flows whose publication is due.

    A publication is due if the flow is new, if its directories have changed or
    restarted, or after ``REPUBLISH_INTERVAL_S``.

    Attributes
    ----------
    open_flows
        Flows that are open.
    entries
        Entry instances that are known.

    """

    open_flows: Iterable[FlowKey]
    entries: Mapping[EntryId, DirectoryProcess]


class _Publication(NamedTuple):
    entries_version: int
    published_at: float
    directories: tuple[DirectoryProcess, ...]


class FlowPublisher(StateMachine):
    """Publishes each open flow of an agent to the directories of the flow.

    Events: ``PublishRound``. Actions: ``Send``, ``Count``.

    Parameters
    ----------
    agent
        Id of the agent.

    """

    def __init__(self, agent: AgentId) -> None:
        self._agent = agent
        self._entries: dict[EntryId, DirectoryProcess] = {}
        self._entries_version = 0
        self._publications: dict[FlowKey, _Publication] = {}

    def handle(self, event: Event, now: float) -> tuple[Action, ...]:
        """Return the actions that ``event`` causes."""
        if not isinstance(event, PublishRound):
            return (Count('publisher_unknown_events'),)
        if event.entries != self._entries:
            self._entries = dict(event.entries)
            self._entries_version += 1
        previous_publications = self._publications
        # The new dictionary drops flows that have ended.
        self._publications = {
            key: previous_publications.get(key, _NOT_PUBLISHED)
            for key in event.open_flows
        }
        due_keys = islice(self._due_flows(now), MAX_FLOWS_PER_ROUND)
        return tuple(self._publish(tuple(due_keys), now))

    def _due_flows(self, now: float) -> Iterator[FlowKey]:
        return (
            key
            for key, publication in self._publications.items()
            if publication.entries_version != self._entries_version
            or now > publication.published_at + REPUBLISH_INTERVAL_S
        )

    def _publish(self, due_keys: tuple[FlowKey, ...], now: float) -> Iterator[Send]:
        keys_by_endpoint: defaultdict[Endpoint, list[FlowKey]] = defaultdict(list)
        for key in due_keys:
            for process in self._update_directories(key, now):
                keys_by_endpoint[process.endpoint].append(key)
        for endpoint, keys in keys_by_endpoint.items():
            for start in range(0, len(keys), MAX_KEYS_PER_MESSAGE):
                keys_in_message = tuple(keys[start : start + MAX_KEYS_PER_MESSAGE])
                yield Send(endpoint, FlowsPublished(self._agent, keys_in_message))

    def _update_directories(
        self,
        key: FlowKey,
        now: float,
    ) -> Iterator[DirectoryProcess]:
        """Record the current directories of a flow; return those to publish to."""
        last_publication = self._publications[key]
        selected_entries = directories_of(key, self._entries)
        directories = tuple(self._entries[entry] for entry in selected_entries)
        is_republish_due = now > last_publication.published_at + REPUBLISH_INTERVAL_S
        published_at = now if is_republish_due else last_publication.published_at
        self._publications[key] = _Publication(
            self._entries_version,
            published_at,
            directories,
        )
        return (
            process
            for process in directories
            if is_republish_due or process not in last_publication.directories
        )


_NOT_PUBLISHED: Final = _Publication(-1, float('-inf'), ())
