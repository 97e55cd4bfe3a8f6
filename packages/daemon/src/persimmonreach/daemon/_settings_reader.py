"""Reads settings files and reports all their errors before any task starts."""

import json
from collections.abc import Mapping
from pathlib import Path
from typing import Any, Final, NamedTuple, TypeVar, get_args, get_type_hints

import msgspec

from persimmonreach.core import Finding, raise_findings
from persimmonreach.daemon._settings import AgentSettings, EntrySettings
from persimmonreach.daemon._settings_checks import find_check

Settings = TypeVar('Settings', EntrySettings, AgentSettings)
_INVALID_SETTINGS: Final = 'settings are invalid'
# Sentinel for a value with an error; settings never contain it.
_INVALID_VALUE: Final = object()


class _Location(NamedTuple):
    """JSON path of a value, and the findings collected so far."""

    source: str
    path: str
    findings: list[Finding]

    def child(self, segment: str) -> '_Location':
        return self._replace(path=f'{self.path}{segment}')

    def add_finding(self, problem: str, remedy: str = '') -> None:
        self.findings.append(Finding(self.source, self.path, problem, remedy))


def read_settings(path: str, settings_type: type[Settings]) -> Settings:
    """Read and validate a settings file.

    Raises
    ------
    FindingsError
        With all errors of the file.

    """
    try:
        document = json.loads(
            Path(path).read_text(encoding='utf-8'),
            object_pairs_hook=_reject_duplicate_names,
            parse_constant=_reject_constant,
        )
    except (OSError, ValueError, RecursionError) as error:
        finding = Finding(path, '$', str(error), 'use one JSON object')
        raise_findings('settings cannot be read', [finding])
    return convert_settings(document, path, settings_type)


def convert_settings(
    document: Any,
    source: str,
    settings_type: type[Settings],
) -> Settings:
    """Validate the parsed content of a settings file.

    Raises
    ------
    FindingsError
        With all errors of the content.

    """
    location = _Location(source, '$', [])
    settings = _convert(document, settings_type, location)
    raise_findings(_INVALID_SETTINGS, location.findings)
    return settings


def _convert(content: Any, type_hint: Any, location: _Location) -> Any:
    if hasattr(type_hint, '_fields'):
        return _convert_object(content, type_hint, location)
    if get_args(type_hint):
        return _convert_list(content, get_args(type_hint)[0], location)
    try:
        return msgspec.convert(content, type_hint)
    except msgspec.ValidationError as error:
        location.add_finding(str(error))
        return _INVALID_VALUE


def _convert_list(content: Any, type_hint: Any, location: _Location) -> Any:
    if not isinstance(content, list):
        location.add_finding('value is not a list')
        return _INVALID_VALUE
    elements = tuple(
        _convert(element, type_hint, location.child(f'[{index}]'))
        for index, element in enumerate(content)
    )
    return _INVALID_VALUE if _INVALID_VALUE in elements else elements


def _convert_object(content: Any, record_type: Any, location: _Location) -> Any:
    if not isinstance(content, dict):
        location.add_finding('value is not a JSON object')
        return _INVALID_VALUE
    previous_finding_count = len(location.findings)
    _check_field_names(content, record_type, location)
    type_hints = get_type_hints(record_type)
    fields = {
        name: _convert_field(field, record_type, name, type_hints, location)
        for name, field in content.items()
        if name in type_hints
    }
    if len(location.findings) > previous_finding_count:
        return _INVALID_VALUE
    return record_type(**fields)


def _convert_field(
    content: Any,
    record_type: type,
    name: str,
    type_hints: Mapping[str, Any],
    location: _Location,
) -> Any:
    child = location.child(f'.{name}')
    field = _convert(content, type_hints[name], child)
    check = None if field is _INVALID_VALUE else find_check(record_type, name)
    if check is not None and not check.accepts(field):
        child.add_finding(check.problem, check.remedy)
    return field


def _check_field_names(
    content: Mapping[str, Any], record_type: Any, location: _Location
) -> None:
    names = record_type._fields
    remedy = 'use one of {names}'.format(names=', '.join(names))
    for key in content:
        if key not in names:
            location.child(f'.{key}').add_finding('unknown field', remedy)
    for name in names:
        if name not in content and name not in record_type._field_defaults:
            location.child(f'.{name}').add_finding('required field is missing')


def _reject_duplicate_names(pairs: list[tuple[str, Any]]) -> dict[str, Any]:
    content = dict(pairs)
    if len(content) < len(pairs):
        names = [name for name, _ in pairs]
        duplicates = sorted(name for name in content if names.count(name) > 1)
        raise ValueError(
            'duplicate field names: {names}'.format(names=', '.join(duplicates))
        )
    return content


def _reject_constant(name: str) -> None:
    raise ValueError(f'{name} is not a valid JSON number')
