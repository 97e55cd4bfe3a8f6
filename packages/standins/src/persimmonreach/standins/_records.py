"""Reads JSON objects as nested NamedTuples, with their defaults."""

from typing import Any, get_args, get_origin, get_type_hints

import msgspec


class RecordError(ValueError):
    """A JSON object does not have the fields of its type."""


def read_record(record_type: Any, raw: Any) -> Any:
    """Return ``raw``, decoded JSON, as a value of ``record_type``.

    msgspec maps a NamedTuple to a JSON array; settings are objects.

    Raises
    ------
    RecordError
        If a field is unknown, missing or of a wrong type.

    """
    if hasattr(record_type, '_fields'):
        if not isinstance(raw, dict):
            raise RecordError(f'{record_type.__name__}: not an object')
        return _read_fields(record_type, raw)
    if get_origin(record_type) is tuple and isinstance(raw, list):
        row_type = get_args(record_type)[0]
        return tuple(read_record(row_type, row) for row in raw)
    try:
        return msgspec.convert(raw, record_type)
    except msgspec.ValidationError as error:
        raise RecordError(str(error)) from error


def _read_fields(record_type: Any, raw: dict[str, Any]) -> Any:
    hints = get_type_hints(record_type)
    unknown = raw.keys() - hints.keys()
    if unknown:
        raise RecordError(f'unknown fields: {sorted(unknown)}')
    try:
        return record_type(
            **{name: read_record(hints[name], field) for name, field in raw.items()},
        )
    except TypeError as error:
        raise RecordError(str(error)) from error
