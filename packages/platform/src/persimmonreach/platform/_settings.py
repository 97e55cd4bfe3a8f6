"""Settings that the platform provides to a process."""

import json
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
from persimmonreach.discovery import RegisteredAgent, RegisteredEntry
from persimmonreach.process import CommonAgentSettings, CommonEntrySettings

# The shutdown ends this long before the platform kills the process.
_GRACE_MARGIN_S: Final = 1.0
# Maximum wait for pending requests when an agent is replaced. It is short because the
# flows of the agent are delayed until the next process runs.
_AGENT_SHUTDOWN_TIMEOUT_S: Final = 0.5
_MAX_PORT: Final = 65_535


class EntryProcessSettings(NamedTuple):
    """Settings of an entry instance.

    Attributes
    ----------
    common_settings
        Registration, seeds, HTTP address and shutdown timeout of the entry instance.
    caller_bind
        Address to which the fabric delivers callers' packets; callers receive
        packets at the same port.
    store
        Address of the platform's store.

    """

    common_settings: CommonEntrySettings
    caller_bind: Endpoint
    store: Endpoint


class AgentProcessSettings(NamedTuple):
    """Settings of an agent.

    Attributes
    ----------
    common_settings
        Registration, seeds, HTTP address and shutdown timeout of the agent.
    caller_port
        Port at which callers receive packets.
    backend
        Address at which the backend server receives packets.
    backend_bind
        Address at which the agent receives packets of the backend server.
    report_bind
        Address at which the agent receives reports of the backend server.
    store
        Address of the platform's store.

    """

    common_settings: CommonAgentSettings
    caller_port: int
    backend: Endpoint
    backend_bind: Endpoint
    report_bind: Endpoint
    store: Endpoint


class _SettingsDocument:
    """Content of a settings file, and the findings of its validation.

    A read method that finds an invalid value adds a finding and returns a
    placeholder, so that all findings are reported together.
    """

    def __init__(self, source: str, content: Any) -> None:
        self._source = source
        self._content = content
        self._findings: list[Finding] = []

    def read_string(self, *path: str) -> str:
        """Return a string that is not empty."""
        value = self._find(path)
        if not isinstance(value, str) or not value:
            self._add_finding(path, 'expected a non-empty string')
            return ''
        return value

    def read_number(self, *path: str) -> float:
        """Return a number that is not negative."""
        value = self._find(path)
        is_number = isinstance(value, int | float) and not isinstance(value, bool)
        if not is_number or value < 0:
            self._add_finding(path, 'expected a number of at least 0')
            return 0
        return value

    def read_endpoint(self, *path: str) -> Endpoint:
        """Return an address with a port."""
        host, _, port = self.read_string(*path).rpartition(':')
        if not host or not port.isdecimal() or int(port) > _MAX_PORT:
            self._add_finding(path, 'expected an address with a port')
            return Endpoint('', 0)
        return Endpoint(host, int(port))

    def read_listen_endpoint(self, name: str) -> Endpoint:
        """Return an address at which the process receives requests or packets."""
        return self.read_endpoint('listen', name)

    def read_first_port(self, *path: str) -> int:
        """Return the first port of a range."""
        value = self._find(path)
        if not isinstance(value, list) or not value or not isinstance(value[0], int):
            self._add_finding(path, 'expected a range of ports')
            return 0
        return value[0]

    def read_hosts(self, *path: str) -> list[str]:
        """Return the hosts of a list of addresses; empty if the list is missing."""
        value = self._find(path) or []
        if not isinstance(value, list):
            self._add_finding(path, 'expected a list of addresses')
            return []
        return [str(address).rpartition(':')[0] for address in value]

    def raise_findings(self) -> None:
        """Raise all findings as one exception group.

        Raises
        ------
        FindingsError
            If there is a finding.

        """
        raise_findings('settings of the platform are invalid', self._findings)

    def _find(self, path: tuple[str, ...]) -> Any:
        value = self._content
        for name in path:
            value = value.get(name) if isinstance(value, dict) else None
        return value

    def _add_finding(self, path: tuple[str, ...], problem: str) -> None:
        json_path = '.'.join(('$', *path))
        if all(finding.path != json_path for finding in self._findings):
            self._findings.append(Finding(self._source, json_path, problem))


def read_entry_settings(path: str) -> EntryProcessSettings:
    """Read the settings of an entry instance.

    Raises
    ------
    FindingsError
        With all findings of the file, if it is unreadable or invalid.

    """
    document = _load(path)
    entry = EntryId(document.read_string('nodeName'))
    common_settings = CommonEntrySettings(
        RegisteredEntry(
            entry, Zone(document.read_string('zone')), _read_peer_endpoint(document)
        ),
        _read_seeds(document),
        document.read_listen_endpoint('readinessAddr'),
        max(0, document.read_number('bounds', 'graceS') - _GRACE_MARGIN_S),
    )
    settings = EntryProcessSettings(
        common_settings,
        document.read_listen_endpoint('datagramAddr'),
        document.read_endpoint('platform', 'address'),
    )
    document.raise_findings()
    return settings


def read_agent_settings(path: str) -> AgentProcessSettings:
    """Read the settings of an agent.

    Raises
    ------
    FindingsError
        With all findings of the file, if it is unreadable or invalid.

    """
    document = _load(path)
    registration = RegisteredAgent(
        AgentId(document.read_string('nodeName')),
        ServiceName(document.read_string('service')),
        Zone(document.read_string('zone')),
        _read_peer_endpoint(document),
    )
    http_endpoint = document.read_listen_endpoint('readinessAddr')
    settings = AgentProcessSettings(
        CommonAgentSettings(
            registration, _read_seeds(document), http_endpoint, _AGENT_SHUTDOWN_TIMEOUT_S
        ),
        document.read_listen_endpoint('datagramAddr').port,
        document.read_endpoint('app'),
        document.read_listen_endpoint('outbound'),
        document.read_listen_endpoint('control'),
        document.read_endpoint('platform', 'address'),
    )
    document.raise_findings()
    return settings


def _load(path: str) -> _SettingsDocument:
    try:
        with open(path, encoding='utf-8') as settings_file:
            content = json.load(settings_file)
    except (OSError, ValueError, RecursionError) as error:
        raise_findings(
            'settings of the platform cannot be read',
            [Finding(path, '$', str(error))],
        )
    return _SettingsDocument(path, content)


def _read_peer_endpoint(document: _SettingsDocument) -> Endpoint:
    return Endpoint(document.read_string('ip'), document.read_first_port('portRange'))


def _read_seeds(document: _SettingsDocument) -> tuple[Endpoint, ...]:
    # The seed addresses hold the port of another listener. The port for peers is the
    # same on all instances.
    port = document.read_first_port('portRange')
    return tuple(Endpoint(host, port) for host in document.read_hosts('seeds'))
