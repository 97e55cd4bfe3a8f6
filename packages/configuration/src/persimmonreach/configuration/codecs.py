"""Encoding of the configuration and of audit records as values in the store."""

import json
from typing import Annotated, Any, Final, NamedTuple, NotRequired, TypedDict

from msgspec import Meta

from persimmonreach.configuration._audit_record import AuditRecord, AuditResult
from persimmonreach.configuration._head import Head, ServiceReference
from persimmonreach.configuration._model import ServiceConfig
from persimmonreach.core import Endpoint, ServiceId, Zone
from persimmonreach.core.codecs import (
    Content,
    ContentError,
    Count,
    IpAddress,
    JsonDecoder,
    Name,
    Port,
    Quantity,
)
from persimmonreach.rules import (
    DEFAULT_PRIORITY,
    LOWEST_PRIORITY,
    TrafficClass,
    ZoneState,
)
from persimmonreach.store import StoreContentError


class _ReferenceRow(NamedTuple):
    service: Count
    version: Count
    publish_id: str


class _ZoneRow(NamedTuple):
    zone: Name
    out: bool = False
    sequence: Count = 0
    change_id: str = ''


class _HeadBody(TypedDict):
    version: Count
    publishes: tuple[str, ...]
    services: tuple[_ReferenceRow, ...]
    zones: tuple[_ZoneRow, ...]
    next_service: Count


class _ClassRow(NamedTuple):
    priority: Annotated[int, Meta(ge=0, le=LOWEST_PRIORITY)] = DEFAULT_PRIORITY
    objective_s: Quantity = 0
    timeout_s: Quantity = 0


class _ServiceBody(TypedDict):
    service: Count
    name: Name
    address: tuple[IpAddress, Port]
    slots: Count
    slow_start_floor: Quantity
    connections: Count
    largest_deadline_ms: Count
    retry_budget: Quantity
    drain_deadline_s: Quantity
    version: Count
    # Services that earlier versions have stored are without it.
    traffic_class: NotRequired[_ClassRow]


class _AuditBody(TypedDict):
    publish: Name
    operator: str
    wall_ms: Count
    from_version: Count
    to_version: Count
    summary: tuple[str, ...]
    result: AuditResult


_HEAD_DECODER: Final = JsonDecoder[_HeadBody](_HeadBody)
_SERVICE_DECODER: Final = JsonDecoder[_ServiceBody](_ServiceBody)
_AUDIT_DECODER: Final = JsonDecoder[_AuditBody](_AuditBody)


def encode_head(head: Head) -> bytes:
    """Serialize the head to its value in the store."""
    return json.dumps(head._asdict()).encode()


def decode_head(content: bytes) -> Head:
    """Deserialize the head from its value in the store.

    Raises
    ------
    StoreContentError
        If the value is not a valid head.

    """
    body = _decode(content, _HEAD_DECODER, 'configuration head')
    return Head(
        body['version'],
        body['publishes'],
        tuple(
            ServiceReference(ServiceId(row.service), row.version, row.publish_id)
            for row in body['services']
        ),
        tuple(
            ZoneState(Zone(row.zone), row.out, row.sequence, row.change_id)
            for row in body['zones']
        ),
        body['next_service'],
    )


def encode_service(service: ServiceConfig) -> bytes:
    """Serialize a service to its value in the store.

    A class of service is stored only if it is declared. Decoders of earlier versions
    ignore it.
    """
    body = service._asdict()
    if not service.traffic_class.is_declared:
        body.pop('traffic_class')
    return json.dumps(body).encode()


def decode_service(content: bytes) -> ServiceConfig:
    """Deserialize a service from its value in the store.

    Raises
    ------
    StoreContentError
        If the value is not a valid service.

    """
    body = _decode(content, _SERVICE_DECODER, 'service')
    return ServiceConfig(
        ServiceId(body['service']),
        body['name'],
        Endpoint(*body['address']),
        body['slots'],
        body['slow_start_floor'],
        body['connections'],
        body['largest_deadline_ms'],
        body['retry_budget'],
        body['drain_deadline_s'],
        body['version'],
        TrafficClass(*body.get('traffic_class', ())),
    )


def encode_record(record: AuditRecord) -> bytes:
    """Serialize an audit record to its value in the store."""
    return json.dumps(record._asdict()).encode()


def decode_record(content: bytes) -> AuditRecord:
    """Deserialize an audit record from its value in the store.

    Raises
    ------
    StoreContentError
        If the value is not a valid audit record.

    """
    body: dict[str, Any] = dict(_decode(content, _AUDIT_DECODER, 'audit record'))
    return AuditRecord(**body)


def _decode(content: bytes, decoder: JsonDecoder[Content], name: str) -> Content:
    try:
        return decoder.decode(content)
    except ContentError as error:
        raise StoreContentError(f'invalid {name} in the store: {error}') from error
