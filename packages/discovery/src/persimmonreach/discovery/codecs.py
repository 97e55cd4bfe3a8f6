"""Encoding of registrations as values in the store."""

import json
from typing import Final

from persimmonreach.core import AgentId, Endpoint, EntryId, ServiceName, Zone
from persimmonreach.core.codecs import (
    Content,
    ContentError,
    IpAddress,
    JsonDecoder,
    Name,
    Port,
)
from persimmonreach.discovery._registration import AGENTS_PREFIX, ENTRIES_PREFIX
from persimmonreach.discovery.messages import RegisteredAgent, RegisteredEntry
from persimmonreach.store import KeyValue, StoreContentError

_AGENT_DECODER: Final = JsonDecoder[tuple[str, str, str, int]](
    tuple[Name, Name, IpAddress, Port]
)
_ENTRY_DECODER: Final = JsonDecoder[tuple[str, str, int]](tuple[Name, IpAddress, Port])


def encode_agent(agent: RegisteredAgent) -> bytes:
    """Return the value of the key of an agent."""
    fields = [agent.service, agent.zone, *agent.endpoint]
    return json.dumps(fields).encode()


def encode_entry(entry: RegisteredEntry) -> bytes:
    """Return the value of the key of an entry instance."""
    return json.dumps([entry.zone, *entry.endpoint]).encode()


def decode_agent(stored: KeyValue) -> RegisteredAgent:
    """Return the agent that a key of the store registers.

    Raises
    ------
    StoreContentError
        If the key names no agent or the value is malformed.

    """
    agent = _extract_id(stored, AGENTS_PREFIX)
    service, zone, host, port = _decode(stored, _AGENT_DECODER)
    return RegisteredAgent(
        AgentId(agent), ServiceName(service), Zone(zone), Endpoint(host, port)
    )


def decode_entry(stored: KeyValue) -> RegisteredEntry:
    """Return the entry instance that a key of the store registers.

    Raises
    ------
    StoreContentError
        If the key names no entry instance or the value is malformed.

    """
    entry = _extract_id(stored, ENTRIES_PREFIX)
    zone, host, port = _decode(stored, _ENTRY_DECODER)
    return RegisteredEntry(EntryId(entry), Zone(zone), Endpoint(host, port))


def _extract_id(stored: KeyValue, prefix: str) -> str:
    name = stored.key.removeprefix(prefix)
    if not name:
        raise StoreContentError(f'{stored.key} names no instance')
    return name


def _decode(stored: KeyValue, decoder: JsonDecoder[Content]) -> Content:
    try:
        return decoder.decode(stored.value)
    except ContentError as error:
        raise StoreContentError(f'{stored.key}: {error}') from error
