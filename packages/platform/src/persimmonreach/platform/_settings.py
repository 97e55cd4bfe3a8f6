"""Settings that the platform hands to a process."""

import json
from pathlib import Path
from typing import Any, Final, NamedTuple

from persimmonreach.core import (
    AgentId,
    Endpoint,
    EntryId,
    Finding,
    ServiceName,
    Zone,
    raise_findings,
)

SETTINGS_VARIABLE: Final = 'PERSIMMONREACH_CONFIG'
_LARGEST_PORT: Final = 65_535


class ProcessSettings(NamedTuple):
    """What both roles are told.

    Attributes
    ----------
    instance
        Name of the instance.
    zone
        Availability zone of the instance.
    peer
        Address for messages between own processes.
    caller_port
        Port at which callers take packets.
    readiness
        Address of the readiness endpoint.
    store
        Address of the platform's store.
    seeds
        Addresses at which entry instances of the first start took messages.

    """

    instance: str
    zone: Zone
    peer: Endpoint
    caller_port: int
    readiness: Endpoint
    store: Endpoint
    seeds: tuple[Endpoint, ...]


class EntryProcessSettings(NamedTuple):
    """Settings of an entry instance.

    Attributes
    ----------
    entry
        Id of the entry instance.
    process
        What both roles are told.
    callers
        Address at which the routers deliver callers' packets.
    grace_s
        Seconds between the request to stop and the end by force.

    """

    entry: EntryId
    process: ProcessSettings
    callers: Endpoint
    grace_s: float


class AgentProcessSettings(NamedTuple):
    """Settings of an agent.

    Attributes
    ----------
    agent
        Id of the agent.
    process
        What both roles are told.
    service
        Service of the backend server.
    backend
        Address of the backend server, for packets.
    from_backend
        Address at which the agent takes the backend server's packets.
    reports
        Address at which the agent takes the backend server's reports.

    """

    agent: AgentId
    process: ProcessSettings
    service: ServiceName
    backend: Endpoint
    from_backend: Endpoint
    reports: Endpoint


class _Document:
    """A settings file, and the faults found in it."""

    def __init__(self, source: str, content: Any) -> None:
        self._source = source
        self._content = content
        self._findings: list[Finding] = []

    def text(self, *path: str) -> str:
        """Return a text that is not empty."""
        found = self._find(path)
        if not isinstance(found, str) or not found:
            self._report(path, 'not a text')
            return ''
        return found

    def number(self, *path: str) -> float:
        """Return a number that is not negative."""
        found = self._find(path)
        is_number = isinstance(found, int | float) and not isinstance(found, bool)
        if not is_number or found < 0:
            self._report(path, 'not a number of at least 0')
            return 0
        return found

    def endpoint(self, *path: str) -> Endpoint:
        """Return an address with a port."""
        host, _, port = self.text(*path).rpartition(':')
        if not host or not port.isdecimal() or int(port) > _LARGEST_PORT:
            self._report(path, 'not an address with a port')
            return Endpoint('', 0)
        return Endpoint(host, int(port))

    def first_port(self, *path: str) -> int:
        """Return the first port of a range."""
        found = self._find(path)
        if not isinstance(found, list) or not found or not isinstance(found[0], int):
            self._report(path, 'not a range of ports')
            return 0
        return found[0]

    def hosts(self, *path: str) -> list[str]:
        """Return the hosts of a list of addresses; it may be missing."""
        found = self._find(path) or []
        if not isinstance(found, list):
            self._report(path, 'not a list of addresses')
            return []
        return [str(address).rpartition(':')[0] for address in found]

    def raise_findings(self) -> None:
        """Raise all faults together."""
        raise_findings('settings of the platform are invalid', self._findings)

    def _find(self, path: tuple[str, ...]) -> Any:
        found = self._content
        for name in path:
            found = found.get(name) if isinstance(found, dict) else None
        return found

    def _report(self, path: tuple[str, ...], problem: str) -> None:
        place = '.'.join(('$', *path))
        if all(finding.path != place for finding in self._findings):
            self._findings.append(Finding(self._source, place, problem))


def read_entry_settings(path: str) -> EntryProcessSettings:
    """Read the settings of an entry instance.

    Raises
    ------
    FindingsError
        With every fault of the file.

    """
    document = _load(path)
    settings = EntryProcessSettings(
        EntryId(document.text('nodeName')),
        _read_process(document),
        document.endpoint('listen', 'datagramAddr'),
        document.number('bounds', 'graceS'),
    )
    document.raise_findings()
    return settings


def read_agent_settings(path: str) -> AgentProcessSettings:
    """Read the settings of an agent.

    Raises
    ------
    FindingsError
        With every fault of the file.

    """
    document = _load(path)
    settings = AgentProcessSettings(
        AgentId(document.text('nodeName')),
        _read_process(document),
        ServiceName(document.text('service')),
        document.endpoint('app'),
        document.endpoint('listen', 'outbound'),
        document.endpoint('listen', 'control'),
    )
    document.raise_findings()
    return settings


def _load(path: str) -> _Document:
    try:
        content = json.loads(Path(path).read_text(encoding='utf-8'))
    except (OSError, ValueError) as error:
        raise_findings(
            'settings of the platform cannot be read',
            [Finding(path, '$', str(error))],
        )
    return _Document(path, content)


def _read_process(document: _Document) -> ProcessSettings:
    peer_port = document.first_port('portRange')
    return ProcessSettings(
        document.text('nodeName'),
        Zone(document.text('zone')),
        Endpoint(document.text('ip'), peer_port),
        document.endpoint('listen', 'datagramAddr').port,
        document.endpoint('listen', 'readinessAddr'),
        document.endpoint('platform', 'address'),
        # Seeds name another port of the instances; ports are the same on all.
        tuple(Endpoint(host, peer_port) for host in document.hosts('seeds')),
    )
