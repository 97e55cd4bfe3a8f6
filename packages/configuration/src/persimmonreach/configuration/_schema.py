"""Validation of a declaration against its JSON Schema."""

import difflib
import ipaddress
import json
import re
from collections.abc import Iterable
from importlib import resources
from pathlib import PurePath
from typing import Any, Final

from jsonschema import Draft202012Validator, FormatChecker
from jsonschema.exceptions import ValidationError

from persimmonreach.configuration._sources import SourceFile, make_finding
from persimmonreach.core import Finding

ZONES_FILE_NAME: Final = 'zones.json'
SERVICE_FILE_SUFFIX: Final = '.service.json'
_UNIT_SUFFIX: Final = re.compile('_(ms|s|seconds|milliseconds|minutes|min|us)$')


def is_zones_file(source: SourceFile) -> bool:
    """Whether the file declares availability zones."""
    return PurePath(source.name).name == ZONES_FILE_NAME


def validate_document(source: SourceFile, document: Any) -> list[Finding]:
    """Return all findings of one parsed document."""
    validator = _ZONES_VALIDATOR if is_zones_file(source) else _SERVICE_VALIDATOR
    errors = sorted(validator.iter_errors(document), key=_get_json_path)
    return [finding for error in errors for finding in _make_findings(source, error)]


def _get_json_path(error: ValidationError) -> str:
    return error.json_path


def _is_ip_address(text: object) -> bool:
    ipaddress.ip_address(str(text))
    return True


def _load_validator(name: str) -> Draft202012Validator:
    text = resources.files(__package__).joinpath('schemas', name).read_text('utf-8')
    checker = FormatChecker(formats=())
    checker.checks('ip', raises=ValueError)(_is_ip_address)
    return Draft202012Validator(json.loads(text), format_checker=checker)


_SERVICE_VALIDATOR: Final = _load_validator('service.schema.json')
_ZONES_VALIDATOR: Final = _load_validator('zones.schema.json')


def _make_findings(source: SourceFile, error: ValidationError) -> Iterable[Finding]:
    path = tuple(error.absolute_path)
    schema: dict[str, Any] = dict(error.schema)
    properties = schema.get('properties', {})
    if error.validator == 'additionalProperties':
        unknown_keys = [key for key in error.instance if key not in properties]
        return [
            _make_unknown_key_finding(source, path, key, properties)
            for key in unknown_keys
        ]
    if error.validator == 'required':
        # The validator reports each missing key in an error of its own and names it
        # only in the message.
        name = error.message.split("'")[1]
        remedy = 'add {0}'.format(properties[name].get('description', name))
        return [make_finding(source, path, f'"{name}" is missing', remedy)]
    remedy = 'write {0}'.format(schema.get('description', 'an object'))
    return [make_finding(source, path, error.message, remedy)]


def _make_unknown_key_finding(
    source: SourceFile,
    path: tuple[str | int, ...],
    key: str,
    known_keys: Iterable[str],
) -> Finding:
    remedy = _suggest_key(key, list(known_keys))
    return make_finding(source, (*path, key), f'unknown key "{key}"', remedy)


def _suggest_key(key: str, known_keys: list[str]) -> str:
    stem = _UNIT_SUFFIX.sub('', key)
    same_stem = [name for name in known_keys if _UNIT_SUFFIX.sub('', name) == stem]
    if same_stem:
        return f'write "{same_stem[0]}"; the suffix is the unit'
    matches = difflib.get_close_matches(key, known_keys, n=1)
    if matches:
        return f'write "{matches[0]}"'
    return 'known keys: {0}'.format(', '.join(known_keys))
