"""Settings of a process, checked in full before anything starts."""

import ipaddress
import json
from collections.abc import Mapping
from pathlib import Path
from typing import Any, Final, NamedTuple, TypeVar, get_type_hints

import msgspec

from persimmonreach.core import Endpoint, Finding, FindingsError, raise_findings
from persimmonreach.flows import ProbeSettings
from persimmonreach.membership import MembershipSettings, check_settings
from persimmonreach.runtime import LARGEST_WINDOW_S, SharedKey

_LARGEST_PORT: Final = 65_535
_SMALLEST_KEY_BYTES: Final = 16
_LARGEST_KEY_BYTES: Final = 64
_LARGEST_KEY_ID: Final = 255
# Clocks set by NTP and a paused sender may differ by some hundred milliseconds.
_SMALLEST_WINDOW_S: Final = 1.0


class KeySetting(NamedTuple):
    """Shared key in a settings file.

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
    """Addresses of the backend server beside an agent."""

    host: str
    port: int
    http_port: int


class EntrySettings(NamedTuple):
    """Settings of an entry instance; port 0 lets the system choose one.

    Attributes
    ----------
    message_window_s
        Largest difference in seconds between a sender's clock and the own one
        at which its messages are accepted.

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
    membership: MembershipSettings = MembershipSettings()
    message_window_s: float = LARGEST_WINDOW_S


class AgentSettings(NamedTuple):
    """Settings of an agent; port 0 lets the system choose one.

    Attributes
    ----------
    service
        Declared name of the service of the backend server.
    fabric
        Address that takes packets toward callers.
    seeds
        Peer addresses of some entry instances.
    shutdown_s
        Seconds that a graceful shutdown may take.
    message_window_s
        Largest difference in seconds between a sender's clock and the own one
        at which its messages are accepted.

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
    membership: MembershipSettings = MembershipSettings()
    message_window_s: float = LARGEST_WINDOW_S
    probing: ProbeSettings = ProbeSettings()


Settings = TypeVar('Settings', EntrySettings, AgentSettings)


def read_settings(path: str, settings_type: type[Settings]) -> Settings:
    """Read and check a settings file.

    Raises
    ------
    FindingsError
        With every fault of the file.

    """
    try:
        document = json.loads(Path(path).read_text(encoding='utf-8'))
    except (OSError, ValueError) as error:
        finding = Finding(path, '$', str(error), 'write one JSON object')
        raise_findings('settings cannot be read', [finding])
    return convert_settings(document, path, settings_type)


def convert_settings(
    document: Any,
    source: str,
    settings_type: type[Settings],
) -> Settings:
    """Check the content of a settings file.

    Raises
    ------
    FindingsError
        With every fault of the content.

    """
    if not isinstance(document, dict):
        finding = Finding(source, '$', 'not a JSON object')
        raise_findings('settings are invalid', [finding])
    hints = get_type_hints(settings_type)
    findings = _find_wrong_names(document, source, settings_type)
    fields: dict[str, Any] = {}
    for name, content in document.items():
        if name in hints:
            _convert_field(name, content, hints, source, fields, findings)
    raise_findings('settings are invalid', findings)
    settings = settings_type(**fields)
    raise_findings('settings are invalid', _find_wrong_values(settings, source))
    return settings


def shared_keys(settings: EntrySettings | AgentSettings) -> list[SharedKey]:
    """Return the keys of the settings; the first one signs."""
    return [
        SharedKey(setting.key_id, bytes.fromhex(setting.secret))
        for setting in settings.keys
    ]


def _convert_field(
    name: str,
    content: Any,
    hints: Mapping[str, Any],
    source: str,
    fields: dict[str, Any],
    findings: list[Finding],
) -> None:
    try:
        fields[name] = msgspec.convert(_as_rows(content, hints[name]), hints[name])
    except msgspec.ValidationError as error:
        findings.append(Finding(source, f'$.{name}', str(error)))


def _as_rows(content: Any, hint: Any) -> Any:
    """Return JSON objects as the arrays that a NamedTuple is read from."""
    if isinstance(content, list):
        inner = getattr(hint, '__args__', (None,))[0]
        return [_as_rows(element, inner) for element in content]
    names = getattr(hint, '_fields', None)
    if not isinstance(content, dict) or names is None:
        return content
    unknown = set(content) - set(names)
    if unknown:
        first = min(unknown)
        raise msgspec.ValidationError(f'unknown name {first!r}')
    defaults = hint._field_defaults
    missing = [name for name in names if name not in content and name not in defaults]
    if missing:
        raise msgspec.ValidationError(f'missing name {missing[0]!r}')
    return [content.get(name, defaults.get(name)) for name in names]


def _find_wrong_names(
    document: Mapping[str, Any],
    source: str,
    settings_type: type,
) -> list[Finding]:
    names = settings_type._fields
    required = set(names) - set(settings_type._field_defaults)
    remedy = 'one of {names}'.format(names=', '.join(names))
    findings = [
        Finding(source, f'$.{name}', 'unknown name', remedy)
        for name in document
        if name not in names
    ]
    findings.extend(
        Finding(source, f'$.{name}', 'missing')
        for name in sorted(required - set(document))
    )
    return findings


def _find_wrong_values(
    settings: EntrySettings | AgentSettings,
    source: str,
) -> list[Finding]:
    findings = [
        Finding(source, f'$.{name}', 'not a port', 'from 0 to 65535')
        for name in settings._fields
        if name.endswith('_port') and not 0 <= getattr(settings, name) <= _LARGEST_PORT
    ]
    if not _SMALLEST_WINDOW_S <= settings.message_window_s <= LARGEST_WINDOW_S:
        remedy = f'from {_SMALLEST_WINDOW_S} to {LARGEST_WINDOW_S}'
        findings.append(
            Finding(source, '$.message_window_s', 'not a valid window', remedy),
        )
    if not _is_ip_number(settings.host):
        findings.append(Finding(source, '$.host', 'not an IP number'))
    if not settings.keys:
        findings.append(Finding(source, '$.keys', 'no key', 'give one or two keys'))
    for index, key in enumerate(settings.keys):
        if not _is_valid_key(key):
            findings.append(
                Finding(
                    source,
                    f'$.keys[{index}]',
                    'not a key',
                    'key_id 0 to 255, secret 16 to 64 bytes as hexadecimal digits',
                ),
            )
    try:
        check_settings(settings.membership)
    except FindingsError as error:
        findings.extend(found._replace(source=source) for found in error.findings)
    return findings


def _is_ip_number(host: str) -> bool:
    try:
        ipaddress.ip_address(host)
    except ValueError:
        return False
    return True


def _is_valid_key(key: KeySetting) -> bool:
    try:
        secret = bytes.fromhex(key.secret)
    except ValueError:
        return False
    if not _SMALLEST_KEY_BYTES <= len(secret) <= _LARGEST_KEY_BYTES:
        return False
    return 0 <= key.key_id <= _LARGEST_KEY_ID
