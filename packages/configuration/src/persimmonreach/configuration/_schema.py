"""Checking one declaration against its JSON Schema."""

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

ZONES_FILE: Final = 'zones.json'
SERVICE_SUFFIX: Final = '.service.json'
_UNIT_SUFFIX: Final = re.compile('_(ms|s|seconds|milliseconds|minutes|min|us)$')


def is_zones_file(source: SourceFile) -> bool:
    """Whether the file declares availability zones."""
    return PurePath(source.name).name == ZONES_FILE


def schema_findings(source: SourceFile, document: Any) -> list[Finding]:
    """Return all faults of one parsed document."""
    validator = _ZONES if is_zones_file(source) else _SERVICE
    errors = sorted(validator.iter_errors(document), key=_path_of)
    return [found for error in errors for found in _translate(source, error)]


def _path_of(error: ValidationError) -> str:
    return error.json_path


def _is_ip(text: object) -> bool:
    ipaddress.ip_address(str(text))
    return True


def _load(name: str) -> Draft202012Validator:
    text = resources.files(__package__).joinpath('schemas', name).read_text('utf-8')
    checker = FormatChecker(formats=())
    checker.checks('ip', raises=ValueError)(_is_ip)
    return Draft202012Validator(json.loads(text), format_checker=checker)


_SERVICE: Final = _load('service.schema.json')
_ZONES: Final = _load('zones.schema.json')


def _translate(source: SourceFile, error: ValidationError) -> Iterable[Finding]:
    path = tuple(error.absolute_path)
    schema: dict[str, Any] = dict(error.schema)
    known = schema.get('properties', {})
    if error.validator == 'additionalProperties':
        unknown = [key for key in error.instance if key not in known]
        return [_unknown_key(source, path, key, known) for key in unknown]
    if error.validator == 'required':
        # The validator reports each missing key on its own.
        name = error.message.split("'")[1]
        remedy = 'add {0}'.format(known[name].get('description', name))
        return [make_finding(source, path, f'"{name}" is missing', remedy)]
    remedy = 'write {0}'.format(schema.get('description', 'an object'))
    return [make_finding(source, path, error.message, remedy)]


def _unknown_key(
    source: SourceFile,
    path: tuple[str | int, ...],
    key: str,
    known: Iterable[str],
) -> Finding:
    remedy = _suggest_key(key, list(known))
    return make_finding(source, (*path, key), f'unknown key "{key}"', remedy)


def _suggest_key(key: str, known: list[str]) -> str:
    stem = _UNIT_SUFFIX.sub('', key)
    same_stem = [name for name in known if _UNIT_SUFFIX.sub('', name) == stem]
    if same_stem:
        return f'write "{same_stem[0]}"; the suffix is the unit'
    close = difflib.get_close_matches(key, known, n=1)
    if close:
        return f'write "{close[0]}"'
    return 'known keys: {0}'.format(', '.join(known))
