"""Value checks for the fields of settings files."""

import ipaddress
import math
from collections.abc import Callable
from types import MappingProxyType
from typing import Any, Final, NamedTuple

from persimmonreach.core import Endpoint
from persimmonreach.daemon._settings import (
    AgentSettings,
    BackendSetting,
    EntrySettings,
    KeySetting,
)
from persimmonreach.flows import ProbeSettings
from persimmonreach.runtime import MAX_MESSAGE_WINDOW_S

_MAX_PORT: Final = 65_535
_MIN_SECRET_BYTES: Final = 16
_MAX_SECRET_BYTES: Final = 64
_MAX_KEY_ID: Final = 255
# Clock differences under NTP and pauses of a sender can reach several hundred
# milliseconds.
_MIN_MESSAGE_WINDOW_S: Final = 1.0


class FieldCheck(NamedTuple):
    """Constraint on the value of a field.

    Attributes
    ----------
    accepts
        Returns whether a value meets the constraint.
    problem
        Description of the error in a rejected value.
    remedy
        Suggested correction; empty if there is none.

    """

    accepts: Callable[[Any], bool]
    problem: str
    remedy: str = ''


def find_check(record_type: type, field_name: str) -> FieldCheck | None:
    """Return the check of a field of ``record_type``; None if it has no check."""
    return _CHECKS.get(record_type, {}).get(field_name)


def _is_ipv4_address(host: str) -> bool:
    try:
        ipaddress.IPv4Address(host)
    except ValueError:
        return False
    return True


def _is_listening_port(port: int) -> bool:
    return 0 <= port <= _MAX_PORT


def _is_remote_port(port: int) -> bool:
    return 1 <= port <= _MAX_PORT


def _is_secret(hex_digits: str) -> bool:
    try:
        secret = bytes.fromhex(hex_digits)
    except ValueError:
        return False
    return _MIN_SECRET_BYTES <= len(secret) <= _MAX_SECRET_BYTES


def _is_key_id(key_id: int) -> bool:
    return 0 <= key_id <= _MAX_KEY_ID


def _are_valid_keys(keys: tuple[KeySetting, ...]) -> bool:
    key_ids = {key.key_id for key in keys}
    return bool(keys) and len(key_ids) == len(keys)


def _is_message_window(seconds: float) -> bool:
    return _MIN_MESSAGE_WINDOW_S <= seconds <= MAX_MESSAGE_WINDOW_S


def _is_positive_duration(seconds: float) -> bool:
    return 0 < seconds < math.inf


_NONEMPTY_NAME: Final = FieldCheck(bool, 'name is empty', 'use at least one character')
_HOST: Final = FieldCheck(
    _is_ipv4_address, 'not an IPv4 address', 'use dotted decimal notation'
)
_LISTENING_PORT: Final = FieldCheck(
    _is_listening_port, 'port out of range', 'use 0 to 65535'
)
_REMOTE_PORT: Final = FieldCheck(_is_remote_port, 'port out of range', 'use 1 to 65535')
_DURATION: Final = FieldCheck(
    _is_positive_duration,
    'duration out of range',
    'use a finite number of seconds above 0',
)
_COMMON_CHECKS: Final = MappingProxyType(
    {
        'instance': _NONEMPTY_NAME,
        'zone': _NONEMPTY_NAME,
        'host': _HOST,
        'peer_port': _LISTENING_PORT,
        'http_port': _LISTENING_PORT,
        'keys': FieldCheck(
            _are_valid_keys,
            'no key, or a duplicate key_id',
            'use one or two keys with different key_id',
        ),
        'message_window_s': FieldCheck(
            _is_message_window,
            'time window out of range',
            f'use seconds from {_MIN_MESSAGE_WINDOW_S} to {MAX_MESSAGE_WINDOW_S}',
        ),
    },
)
_CHECKS: Final = MappingProxyType(
    {
        Endpoint: {'host': _HOST, 'port': _REMOTE_PORT},
        BackendSetting: {
            'host': _HOST,
            'port': _REMOTE_PORT,
            'http_port': _REMOTE_PORT,
        },
        KeySetting: {
            'key_id': FieldCheck(_is_key_id, 'key id out of range', 'use 0 to 255'),
            'secret': FieldCheck(
                _is_secret,
                'not a valid secret',
                'use 16 to 64 bytes as hexadecimal digits',
            ),
        },
        ProbeSettings: {
            'idle_s': _DURATION,
            'interval_s': _DURATION,
            'probes': FieldCheck(
                _is_remote_port, 'number of probes out of range', 'use 1 to 65535'
            ),
        },
        EntrySettings: {
            **_COMMON_CHECKS,
            'fabric_port': _LISTENING_PORT,
            'control_port': _LISTENING_PORT,
        },
        AgentSettings: {
            **_COMMON_CHECKS,
            'service': _NONEMPTY_NAME,
            'shutdown_s': _DURATION,
            'seeds': FieldCheck(
                bool, 'list is empty', 'list one or more entry instances'
            ),
        },
    },
)
