"""Parsing and validation of declarations, without file access."""

import json
from collections.abc import Iterable, Sequence
from typing import Any, Final, NamedTuple

from persimmonreach.configuration._model import (
    DEFAULT_CONNECTIONS,
    DEFAULT_LARGEST_DEADLINE_MS,
    DEFAULT_RETRY_BUDGET,
    Declarations,
    ServiceConfig,
)
from persimmonreach.configuration._schema import is_zones_file, validate_document
from persimmonreach.configuration._sources import SourceFile, make_finding
from persimmonreach.core import Endpoint, Finding, ServiceId, raise_findings
from persimmonreach.rules import DEFAULT_CLASS, DEFAULT_PRIORITY, TrafficClass

# Placeholder for the id of a service until its change is planned.
UNASSIGNED_ID: Final = ServiceId(0)
_MS_PER_S: Final = 1000


class _ParsedFile(NamedTuple):
    source: SourceFile
    document: Any


def parse_declarations(files: Sequence[SourceFile]) -> Declarations:
    """Parse and validate declaration files.

    Raises
    ------
    FindingsError
        If files are not valid; contains all findings of all files.

    """
    findings: list[Finding] = []
    valid_files = list(_parse_files(files, findings))
    services = [
        (parsed.source, _make_service(parsed.document))
        for parsed in valid_files
        if not is_zones_file(parsed.source)
    ]
    zone_files = [source for source in files if is_zones_file(source)]
    findings.extend(_check_services(services))
    findings.extend(_check_zone_files(zone_files))
    raise_findings('invalid declarations', findings)
    zone_documents = [
        parsed.document for parsed in valid_files if is_zones_file(parsed.source)
    ]
    return Declarations(
        tuple(sorted((service for _, service in services), key=_get_name)),
        frozenset(zone_documents[0]['availability_zones']),
    )


def _get_name(service: ServiceConfig) -> str:
    return service.name


def _parse_files(
    files: Iterable[SourceFile],
    findings: list[Finding],
) -> Iterable[_ParsedFile]:
    for source in files:
        try:
            document = json.loads(source.text, object_pairs_hook=_reject_duplicate_keys)
        except ValueError as error:
            findings.append(_make_syntax_finding(source, error))
            continue
        document_findings = validate_document(source, document)
        findings.extend(document_findings)
        if not document_findings:
            yield _ParsedFile(source, document)


def _reject_duplicate_keys(pairs: list[tuple[str, Any]]) -> dict[str, Any]:
    names = [name for name, _ in pairs]
    for name in names:
        if names.count(name) > 1:
            raise ValueError(f'key "{name}" occurs more than once in one object')
    return dict(pairs)


def _make_syntax_finding(source: SourceFile, error: ValueError) -> Finding:
    line = error.lineno if isinstance(error, json.JSONDecodeError) else 0
    return Finding(
        source.name,
        '$',
        f'not valid JSON: {error}',
        'write one JSON object per file',
        line,
    )


def _make_service(document: dict[str, Any]) -> ServiceConfig:
    address = document['address']
    requests = document.get('requests', {})
    return ServiceConfig(
        service=UNASSIGNED_ID,
        name=document['name'],
        address=Endpoint(address['host'], address['port']),
        slots=document['slots'],
        slow_start_floor=document.get('slow_start', {}).get('floor', 1),
        connections=document.get('connections', DEFAULT_CONNECTIONS),
        largest_deadline_ms=requests.get(
            'largest_deadline_ms',
            DEFAULT_LARGEST_DEADLINE_MS,
        ),
        retry_budget=requests.get('retry_budget', DEFAULT_RETRY_BUDGET),
        drain_deadline_s=document.get('drain_deadline_s', 0),
        traffic_class=_make_class(document.get('class')),
    )


def _make_class(declared: dict[str, int] | None) -> TrafficClass:
    if declared is None:
        return DEFAULT_CLASS
    return TrafficClass(
        declared.get('priority', DEFAULT_PRIORITY),
        declared['latency_objective_ms'] / _MS_PER_S,
        declared.get('timeout_ms', 0) / _MS_PER_S,
    )


def _check_services(
    services: Sequence[tuple[SourceFile, ServiceConfig]],
) -> Iterable[Finding]:
    files_by_name: dict[str, str] = {}
    files_by_address: dict[Endpoint, str] = {}
    for source, service in services:
        file_with_name = files_by_name.setdefault(service.name, source.name)
        if file_with_name != source.name:
            yield make_finding(
                source,
                ('name',),
                f'service {service.name} is also declared in {file_with_name}',
                'give each service its own name',
            )
        file_with_address = files_by_address.setdefault(service.address, source.name)
        if file_with_address != source.name:
            yield make_finding(
                source,
                ('address',),
                f'address is also used in {file_with_address}',
                'give each service its own host and port',
            )
        if service.slow_start_floor > service.slots:
            yield make_finding(
                source,
                ('slow_start', 'floor'),
                'floor is above slots',
                f'at most {service.slots}',
            )


def _check_zone_files(zone_files: Sequence[SourceFile]) -> Iterable[Finding]:
    if not zone_files:
        yield Finding(
            'zones.json',
            '$',
            'no availability zone is declared',
            'add zones.json with {"availability_zones": ["a"]}',
        )
    for extra in zone_files[1:]:
        yield make_finding(
            extra,
            (),
            f'availability zones are also declared in {zone_files[0].name}',
            'keep one zones.json',
        )
