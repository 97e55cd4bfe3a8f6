"""Publication of the flows of an agent to the entry instances that it knows."""

from collections.abc import Iterable

from persimmonreach.core import FlowKey
from persimmonreach.discovery import KnownEntry
from persimmonreach.lookup import DirectoryProcess, PublishRound


def make_publish_round(
    open_flows: Iterable[FlowKey], entries: Iterable[KnownEntry]
) -> PublishRound:
    """Return the event that publishes open flows to their directories."""
    directories = {
        known_entry.entry: DirectoryProcess(known_entry.endpoint, known_entry.incarnation)
        for known_entry in entries
    }
    return PublishRound(open_flows, directories)
