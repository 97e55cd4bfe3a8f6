"""Types of the settings of an entry instance and of an agent."""

from typing import NamedTuple

from persimmonreach.core import Endpoint
from persimmonreach.flows import ProbeSettings
from persimmonreach.runtime import MAX_MESSAGE_WINDOW_S, SharedKey


class KeySetting(NamedTuple):
    """Shared key for message authentication in a settings file.

    Attributes
    ----------
    key_id
        Number from 0 to 255.
    secret
        16 to 64 bytes as hexadecimal digits.

    """

    key_id: int
    secret: str


class BackendSetting(NamedTuple):
    """Addresses of the backend server beside an agent.

    Attributes
    ----------
    host
        IPv4 address of the backend server.
    port
        UDP port for IP packets.
    http_port
        TCP port of its HTTP server.

    """

    host: str
    port: int
    http_port: int


class EntrySettings(NamedTuple):
    """Settings of an entry instance; port 0 selects an ephemeral port.

    Attributes
    ----------
    instance
        Id of the entry instance.
    zone
        Availability zone of the instance.
    host
        IPv4 address that the process listens on.
    store
        Address of the store.
    keys
        Keys that authenticate messages between processes; the first one signs.
    fabric_port
        UDP port for packets of the fabric.
    peer_port
        UDP port for messages between processes.
    http_port
        TCP port of the HTTP endpoints.
    control_port
        TCP port for operators' calls.
    seeds
        Peer addresses of entry instances that receive the status of this one while
        no peer is known, for example before the store responds.
    message_window_s
        Maximum difference in seconds between the local clock and the sender's time
        in a message; a message with a larger difference is rejected.

    """

    instance: str
    zone: str
    host: str
    store: Endpoint
    keys: tuple[KeySetting, ...]
    fabric_port: int = 0
    peer_port: int = 0
    http_port: int = 0
    control_port: int = 0
    seeds: tuple[Endpoint, ...] = ()
    message_window_s: float = MAX_MESSAGE_WINDOW_S


class AgentSettings(NamedTuple):
    """Settings of an agent; port 0 selects an ephemeral port.

    Attributes
    ----------
    instance
        Id of the agent.
    zone
        Availability zone of the agent.
    service
        Declared name of the service of the backend server.
    host
        IPv4 address that the process listens on.
    backend
        Addresses of the backend server.
    fabric
        Address of the fabric that forwards packets to callers.
    seeds
        Peer addresses of one or more entry instances.
    keys
        Keys that authenticate messages between processes; the first one signs.
    peer_port
        UDP port for messages between processes.
    http_port
        TCP port of the HTTP endpoints.
    shutdown_s
        Maximum wait in seconds for pending requests at a graceful shutdown.
    message_window_s
        Maximum difference in seconds between the local clock and the sender's time
        in a message; a message with a larger difference is rejected.
    probing
        When idle flows are probed and unresponsive flows are reset.

    """

    instance: str
    zone: str
    service: str
    host: str
    backend: BackendSetting
    fabric: Endpoint
    seeds: tuple[Endpoint, ...]
    keys: tuple[KeySetting, ...]
    peer_port: int = 0
    http_port: int = 0
    shutdown_s: float = 10
    message_window_s: float = MAX_MESSAGE_WINDOW_S
    probing: ProbeSettings = ProbeSettings()


def shared_keys(settings: EntrySettings | AgentSettings) -> list[SharedKey]:
    """Decode the shared keys of the settings; the first one signs."""
    return [
        SharedKey(setting.key_id, bytes.fromhex(setting.secret))
        for setting in settings.keys
    ]
