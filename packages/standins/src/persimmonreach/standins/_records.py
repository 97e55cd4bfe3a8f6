"""Converts JSON objects to nested NamedTuples with defaults."""

from typing import Any, get_args, get_origin, get_type_hints

import msgspec


class RecordError(ValueError):
    """A JSON value does not match the type that it is converted to."""


def read_record(record_type: Any, raw: Any) -> Any:
    """Return the decoded JSON value ``raw`` as a value of ``record_type``.

    msgspec converts only JSON arrays to NamedTuples, but settings are JSON
    objects.

    Raises
    ------
    RecordError
        If a field is unknown, missing or of another type.

    """
    if hasattr(record_type, '_fields'):
        if not isinstance(raw, dict):
            raise RecordError(f'{record_type.__name__}: expected a JSON object')
        return _read_fields(record_type, raw)
    if get_origin(record_type) is tuple and isinstance(raw, list):
        element_type = get_args(record_type)[0]
        return tuple(read_record(element_type, element) for element in raw)
    try:
        return msgspec.convert(raw, record_type)
    except msgspec.ValidationError as error:
        raise RecordError(str(error)) from error


def _read_fields(record_type: Any, raw: dict[str, Any]) -> Any:
    field_types = get_type_hints(record_type)
    unknown = raw.keys() - field_types.keys()
    if unknown:
        raise RecordError(f'unknown fields: {sorted(unknown)}')
    try:
        return record_type(
            **{
                name: read_record(field_types[name], field) for name, field in raw.items()
            },
        )
    except TypeError as error:
        raise RecordError(str(error)) from error
